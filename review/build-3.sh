#!/usr/bin/env bash
# Builds the programs of the scripts of review/11 to review/15. Run it after the
# build of the deploy file; everything goes to target/review-3.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
cd review/stand-ins-3
out=../../target/review-3
flags=(-std=c++20 -O2 -Wall -Wextra -pthread)
g++ "${flags[@]}" -c platform.cc -o $out/platform.o
g++ "${flags[@]}" -c group_under_cut.cc -o $out/group_under_cut.o
for name in joining_replica memory_limit late_commit withdrawn_key; do
  g++ "${flags[@]}" $name.cc $out/platform.o $out/group_under_cut.o -o $out/$name
done
