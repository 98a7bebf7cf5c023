#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# With TROUBLE=0, the disruption is left out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/jackdawbarrow ] && [ -x target/review-standin ] || { echo "build first"; exit 2; }
TROUBLE="${TROUBLE:-1}" exec target/review-standin 3 review/3/record.txt
