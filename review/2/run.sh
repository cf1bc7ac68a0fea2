#!/bin/sh
# Plays the case "leave": exit code 1 if the rule was broken, 0 if it held, 2 if
# the case could not run.  TROUBLE=0 plays it without the disruption.
set -u
cd "$(dirname "$0")/../.." || exit 2
[ -x target/kumquatloftd ] && [ -x target/review/stand ] || exit 2
STAND=$(mktemp -d) || exit 2
trap 'rm -rf "$STAND"' EXIT
export STAND RECORD="review/2/record.txt"
timeout 115 target/review/stand leave
status=$?
[ $status -le 1 ] || status=2
exit $status
