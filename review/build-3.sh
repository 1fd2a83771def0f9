#!/usr/bin/env bash
# Builds the programs of the scripts of review/11 to review/15. Run it after the
# build of the deploy file; everything goes to target/review-3.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
cd review/stand-ins-3
out=../../target/review-3
flags=(-std=c++20 -O2 -Wall -Wextra -pthread)
for name in platform group_under_cut writing_clients; do
  g++ "${flags[@]}" -c $name.cc -o $out/$name.o
done
for name in rolling_release joining_replica late_commit withdrawn_key memory_limit; do
  g++ "${flags[@]}" $name.cc $out/platform.o $out/group_under_cut.o \
    $out/writing_clients.o -o $out/$name
done
