#!/usr/bin/env bash
# Takes a key away while one relay hears of changes from another one that the store turns
# away. 0: the rule held, 1: broken, 2: the case couldn't run. TROUBLE=0 leaves the two
# disruptions of the store out.
set -uo pipefail
cd "$(dirname "$0")/../.."
[ -x target/jackdawbarrow ] && [ -x target/review-standin-2 ] || exit 2
exec target/review-standin-2 stale --dir review/9
