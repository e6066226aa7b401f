#!/usr/bin/env bash
# Runs the whole fault table over separate processes and prints it. Arguments go to go test, as
# -run TestCompletion/mid-stream.
set -euo pipefail
cd "$(dirname "$0")/.."
table=$(mktemp)
trap 'cat "$table"; rm -f "$table"' EXIT
FAULTS_ALL=1 FAULTS_TABLE="$table" go test -count=1 -timeout 15m -parallel "${FAULTS_PARALLEL:-6}" ./internal/faults "$@"
