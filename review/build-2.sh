#!/usr/bin/env bash
# Builds what the scripts of cases 6 to 10 start besides the build of the deploy file: the harness with all stand-ins.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
(cd review/harness && go build -o ../../target/review-harness .)
