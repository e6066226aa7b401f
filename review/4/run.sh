#!/usr/bin/env bash
# Plays the case. Exit status: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")" || exit 2
[ -x ../bin/standin ] && [ -x ../../target/fighollow ] || exit 2
exec ../bin/standin lost .
