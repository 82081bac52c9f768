#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out; the
# program reads it (harness.Trouble).
cd "$(dirname "$0")/../.." || exit 2
[ -x target/sequoiaspread ] && [ -x target/review-2/case-8 ] || exit 2
export TROUBLE="${TROUBLE:-1}"
exec target/review-2/case-8 review/8/record.txt
