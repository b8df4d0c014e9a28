#!/usr/bin/env bash
# The command line: exit codes, help of each command, standard input, signals. $1: the program, $2: the source root.
set -u
program=$1 root=$2 failed=0
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
expect() {  # case name, expected exit code, expected text, command...
    local case_name=$1 expected_code=$2 expected_text=$3 output exit_code
    shift 3
    output=$("$@" 2>&1 </dev/stdin)
    exit_code=$?
    if [ "$exit_code" != "$expected_code" ] || ! grep -qF -- "$expected_text" <<<"$output"; then
        echo "$case_name: exit $exit_code, expected $expected_code with '$expected_text': $output"
        failed=1
    fi
}
for command in "" serve node check routes drill standin "standin host" "standin client" "standin relay" "standin roster"; do
    # shellcheck disable=SC2086
    expect "help of '$command'" 0 "Usage" "$program" $command --help
done
expect "no command" 2 "subcommand" "$program"
expect "unknown command" 2 "" "$program" sing
expect "missing option" 2 "--config" "$program" serve
expect "missing file" 3 "cannot be read" "$program" check --config "$work/none"
echo 'listen { address: "x" }' >"$work/bad"
expect "bad configuration" 1 "bad:1: listen.address" "$program" check --config "$work/bad"
expect "several problems" 1 "problems" "$program" check --config "$work/bad"
expect "routes" 0 "/v1/audits" "$program" routes "$root/scenarios/birds.yaml"
expect "routes from standard input" 0 "/v1/audits" "$program" routes - <"$root/scenarios/birds.yaml"
echo 'openapi: 3.1.0' >"$work/api.yaml"
expect "bad description" 1 "paths: expected" "$program" routes "$work/api.yaml"
cat >"$work/good" <<EOF
listen { address: "127.0.0.1:0" }
api { description: "api.yaml" }
class { name: "read" aim_ms: 100 deadline_ms: 500 }
hosts { file: "hosts.json" }
EOF
expect "configuration with a bad description" 1 "paths: expected" "$program" check --config "$work/good"
expect "serving with a bad description" 3 "paths: expected" "$program" serve --config "$work/good"
printf 'openapi: 3.1.0\nx-silverreach-class: read\nx-silverreach-units: 1\npaths: {/a: {get: {}}}\n' >"$work/api.yaml"
expect "check" 0 "1 routes" "$program" check --config "$work/good"
echo '{"clusterName":"hosts","endpoints":[]}' >"$work/hosts.json"
"$program" serve --config "$work/good" >"$work/out" 2>"$work/log" &
server=$!
for _ in $(seq 100); do grep -q "listening on port" "$work/out" && break || sleep 0.05; done
kill -HUP "$server"
sleep 0.3
kill -TERM "$server"
wait "$server" || { echo "SIGTERM: exit $?"; failed=1; }
grep -q description_changed "$work/log" || { echo "SIGHUP did not reload the description: $(cat "$work/log")"; failed=1; }
# The first instance still uses the address; the second one retries and starts once the first has stopped.
"$program" serve --config "$work/good" >"$work/first" 2>/dev/null &
first=$!
for _ in $(seq 100); do grep -q "listening on port" "$work/first" && break || sleep 0.05; done
port=$(grep -o '[0-9]*$' "$work/first")
sed "s/127.0.0.1:0/127.0.0.1:$port/" "$work/good" >"$work/same"
"$program" serve --config "$work/same" >"$work/second" 2>"$work/delayed" &
second=$!
for _ in $(seq 60); do grep -q start_delayed "$work/delayed" && break || sleep 0.05; done
kill -TERM "$first"
wait "$first"
for _ in $(seq 100); do grep -q "listening on port $port" "$work/second" && break || sleep 0.05; done
grep -q start_delayed "$work/delayed" && grep -q "listening on port $port" "$work/second" ||
    { echo "start while the address is in use: $(cat "$work/second" "$work/delayed")"; failed=1; }
kill -TERM "$second" && wait "$second" || { echo "second: exit $?"; failed=1; }
NODE_CONFIG="" expect "node without a configuration" 2 "NODE_CONFIG" "$program" node
NODE_CONFIG="$work/none" expect "node with a missing file" 3 "cannot be read" "$program" node
echo '{' >"$work/node.json"
NODE_CONFIG="$work/node.json" expect "node with bad JSON" 1 "one JSON object" "$program" node
echo '{"listen":"127.0.0.1:0"}' >"$work/node.json"
NODE_CONFIG="$work/node.json" expect "node without a discovery" 1 "discovery: expected" "$program" node
cat >"$work/node.json" <<EOF
{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","settings":{"rank":0,"instances":1,
"requestClasses":[{"name":"lookup","effect":"retryable","deadlineUs":500000}],"ceilings":{"maxAttempts":2},"guarantees":{}}}
EOF
NODE_CONFIG="$work/node.json" "$program" node 2>"$work/log" &
node=$!
for _ in $(seq 100); do grep -q " ready " "$work/log" && break || sleep 0.05; done
kill -HUP "$node"
sleep 0.2
echo 'no JSON' >"$work/node.json"
kill -HUP "$node"
sleep 0.2
kill -TERM "$node"
sleep 0.05
kill -TERM "$node"
wait "$node" || { echo "node, SIGTERM: exit $?"; failed=1; }
grep -q "configuration discovery" "$work/log" && grep -q configuration_kept "$work/log" && grep -q stopped "$work/log" ||
    { echo "node: $(cat "$work/log")"; failed=1; }
expect "bad scenario" 1 "expected a value" "$program" drill "$work/api.yaml"
exit $failed
