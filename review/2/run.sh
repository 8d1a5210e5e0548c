#!/usr/bin/env bash
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/daisygate ] && [ -x target/standin ] || exit 2
timeout -k 5 110 target/standin new-seeds review/2/record.txt &
pid=$!
trap 'kill "$pid"' TERM INT
wait "$pid"
code=$?
trap - TERM INT
wait "$pid" 2>/dev/null
case $code in
  0 | 1) exit "$code" ;;
  *) exit 2 ;;
esac
