#!/usr/bin/env bash
# Builds the stand-ins of the cases into review/build. Needs the C++ compiler of the project's packages only.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build
for source in standins/*.cpp; do
    name=$(basename "$source" .cpp)
    ${CXX:-c++} -std=c++20 -O2 -Wall -Wextra -pthread "$source" -o "build/$name"
done
