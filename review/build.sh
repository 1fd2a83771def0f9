#!/usr/bin/env bash
# Builds the stand-ins and scenarios that the scripts of the cases start, into
# target/review. Needs the packages of deploy/system.toml, nothing else.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
jobs=()
for scenario in review/[1-5]/scenario.cc; do
  name=$(basename "$(dirname "$scenario")")
  g++ -std=c++20 -Wall -Wextra -O1 -g -pthread -Ireview/stand-ins \
    "$scenario" -o "target/review/scenario-$name" &
  jobs+=($!)
done
failed=0
for job in "${jobs[@]}"; do wait "$job" || failed=1; done
exit "$failed"
