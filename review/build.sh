#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review. They need a compiler and
# nlohmann-json3-dev, which the deploy file lists.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
jobs=()
for source in review/*/case.cc; do
  number=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O2 -Wall -Wextra -pthread \
    -o "target/review/case-$number" "$source" &
  jobs+=($!)
done
for job in "${jobs[@]}"; do
  wait "$job"
done
