#!/usr/bin/env bash
# Runs the scenario of one case: run-scenario.sh FOLDER. Exits with 1 if the
# rule was broken, with 0 if it held, and with 2 if the case could not run.
# TROUBLE=0 leaves out the disruption.
set -u
folder=$(cd "$1" && pwd)
root=$(cd "$(dirname "$0")/.." && pwd)
scenario=$root/target/review/scenario-$(basename "$folder")
if [ ! -x "$scenario" ] || [ ! -x "$root/target/packages/daemon/radishrelayd" ]; then
  echo "run the build of deploy/system.toml and review/build.sh first" >&2
  exit 2
fi
TMPDIR=$(mktemp -d)
export TMPDIR
trap 'rm -rf "$TMPDIR"' EXIT
timeout --signal=TERM --kill-after=2 110 "$scenario" "$root" "$folder"
result=$?
[ "$result" -le 1 ] || result=2
exit "$result"
