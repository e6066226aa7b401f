#!/usr/bin/env bash
# Plays the case versions and writes record.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 plays it
# without the disruption. Needs the build of the deploy file and review/build-3.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review3/standin3 ] && [ -x target/fighollow ] || { echo "run the build of deploy/system.toml and review/build-3.sh first" >&2; exit 2; }
exec target/review3/standin3 versions review/15/record.txt
