#!/usr/bin/env bash
# Builds the stand-ins and clients of the cases 6 to 10 into target/review-2.
# Needs the packages of the deploy file only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for number in 6 7 8 9 10; do
  source=review/$number/case.cc
  [ -f "$source" ] || continue
  c++ -std=c++20 -O1 -g -Wall -Wextra -pthread -I review/stand-ins-2 \
    "$source" -o "target/review-2/case-$number"
done
