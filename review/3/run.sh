#!/usr/bin/env bash
# Plays the case, after the build of the deploy file and review/build.sh; TROUBLE=0 leaves the disruption out.
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
TROUBLE="${TROUBLE:-1}" target/review/standin watchers-lost review/3 &
child=$!
trap 'kill "$child"' INT TERM
wait "$child"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
