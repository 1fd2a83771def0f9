#!/usr/bin/env bash
# Builds the programs of the scripts of review/11 to review/15. Run it after the
# build of the deploy file; everything goes to target/review-3.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
cd review/stand-ins-3
for name in platform group_under_cut; do
  g++ -std=c++20 -O2 -Wall -Wextra -c $name.cpp -o ../../target/review-3/$name.o
done
for name in joining_replica; do
  g++ -std=c++20 -O2 -Wall -Wextra $name.cpp ../../target/review-3/platform.o \
    ../../target/review-3/group_under_cut.o -pthread -o ../../target/review-3/$name
done
