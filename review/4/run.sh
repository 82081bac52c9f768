#!/bin/sh
# Plays the case on loopback; with TROUBLE=0 the same without the disruption (the stand-in reads it). Exit code 1: the rule was broken; 0: it held; 2: the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/bin/standin ] && [ -x target/sequoiaspread ] || exit 2
TROUBLE="${TROUBLE:-1}"
export TROUBLE
exec review/bin/standin versions review/4
