#!/usr/bin/env bash
# Case 2: one instance, four hosts, 4 bad clients, then eight shared connections, 25 s. Exits with 1 if the rule was broken, 0 if it
# held, 2 if the case could not run. TROUBLE=0 leaves the bad clients out.
set -uo pipefail
case_folder=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$case_folder/../.." && pwd)
standin=$root/review/build/long_requests
run=$(sed -n 's/^run = "\(.*\)"$/\1/p' "$root/deploy/balancer.toml")
if [ ! -x "$standin" ] || [ ! -x "$root/build/silverreach" ] || [ -z "$run" ]; then
    echo "build the project and review/build.sh first" >&2
    exit 2
fi
work=$(mktemp -d)
instance= peer=
end() {
    for pid in $instance $peer; do kill -TERM "$pid" 2>/dev/null; done
    for _ in $(seq 50); do
        kill -0 $instance 2>/dev/null || break
        sleep 0.1
    done
    for pid in $instance $peer; do kill -KILL "$pid" 2>/dev/null; done
    rm -rf "$work"
}
trap end EXIT

"$standin" "$work" "$case_folder/record.txt" &
peer=$!
for _ in $(seq 100); do
    [ -f "$work/config.json" ] && break
    sleep 0.1
done
[ -f "$work/config.json" ] || exit 2
(cd "$root" && NODE_CONFIG=$work/config.json exec /bin/sh -c "$run") 2>"$work/log" &
instance=$!
wait "$peer"
code=$?
peer=
if ! kill -0 "$instance" 2>/dev/null; then
    echo "the instance has ended" | tee -a "$case_folder/record.txt"
    [ "$code" -eq 0 ] && code=2
fi
exit "$code"
