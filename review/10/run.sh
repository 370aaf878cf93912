#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
export TROUBLE="${TROUBLE:-1}"
timeout -k 2 110 target/review-2/standin harmful . review/10/record.txt
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
