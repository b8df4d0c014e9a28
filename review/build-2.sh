#!/usr/bin/env bash
# Builds the stand-ins of the cases of the second review, one program a case, into build/review-2. Run it after the build
# of the deploy file. The gateway's program is build/silverreach; no case starts another stand-in of the project.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build/review-2
for source in review/*/case.cpp; do
    number=$(basename "$(dirname "$source")")
    [ "$number" -ge 6 ] || continue
    g++ -std=c++20 -O1 -Wall -Wextra -o "build/review-2/case-$number" "$source"
    echo "built build/review-2/case-$number"
done
