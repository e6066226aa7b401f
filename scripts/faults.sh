#!/usr/bin/env bash
# Runs all cells of the fault table against separate processes and prints the table. Arguments are passed to go test, such
# as -run TestCompletion/mid-stream.
set -euo pipefail
cd "$(dirname "$0")/.."
table=$(mktemp)
trap 'cat "$table"; rm -f "$table"' EXIT
FAULTS_ALL=1 FAULTS_TABLE="$table" go test -count=1 -timeout 15m -parallel "${FAULTS_PARALLEL:-6}" ./internal/faults "$@"
