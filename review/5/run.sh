#!/bin/sh
# Plays the case on loopback. Exit code 1: the rule was broken; 0: it held; 2: the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/bin/standin ] && [ -x target/sequoiaspread ] || exit 2
exec review/bin/standin takeup review/5
