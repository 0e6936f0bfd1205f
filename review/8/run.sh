#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# Writes record.txt beside it. TROUBLE=0 leaves the disruption out. Build first: the deploy file's build, and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/rig ] && [ -x target/release/auburnspoke ] || exit 2
SCRATCH=$(mktemp -d) || exit 2
export SCRATCH
trap 'rm -rf "$SCRATCH"' EXIT
target/review-2/rig endless-error review/8
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
