#!/usr/bin/env bash
# Exit 1: the rule was broken; 0: it held; 2: the case could not run.
# TROUBLE=0 does the same without the disruption.
export TROUBLE=${TROUBLE:-1}
cd "$(dirname "$0")" || exit 2
root=$(cd ../.. && pwd)
program=$root/target/review-3/late_commit
[ -x "$program" ] || exit 2
folder=$(mktemp -d) || exit 2
RADISHRELAY_ROOT=$root timeout -k 5 110 "$program" "$folder"
result=$?
rm -rf "$folder"
[ $result -le 1 ] || result=2
exit $result
