#!/usr/bin/env bash
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/daisygate ] && [ -x target/standin ] || exit 2
exec timeout -k 5 110 target/standin new-seeds review/2/record.txt
