#!/usr/bin/env bash
# Restarts six relays one after the other with SIGTERM, under clients with kept
# connections. 0: the rule held, 1: broken, 2: the case couldn't run. TROUBLE=0 leaves
# the restarts out.
set -uo pipefail
cd "$(dirname "$0")/../.."
[ -x target/jackdawbarrow ] && [ -x target/review-standin-2 ] || exit 2
exec target/review-standin-2 drain --dir review/6
