#!/usr/bin/env bash
# Runs the benchmark of the planning policy, prints its table and writes run/policy.csv. Arguments are passed to the test,
# such as -policy.only=step or -policy.seeds=9.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p run
exec timeout 600 go test ./internal/policy -run '^(TestBench|TestFields)$' -count=1 -v -timeout 590s -args -policy.csv="$PWD/run/policy.csv" "$@"
