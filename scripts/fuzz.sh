#!/usr/bin/env bash
# Runs the state-machine tests with many cases and a new seed. A failure is reproduced with the printed seed:
#   go test ./internal/PACKAGE -rapid.seed=SEED -rapid.checks=CHECKS
# usage: scripts/fuzz.sh [CHECKS [SEED]]
set -euo pipefail
cd "$(dirname "$0")/.."

checks=${1:-30000}
seed=${2:-$(od -An -N4 -tu4 /dev/urandom | tr -d ' ')}
packages=$(grep -rl '"pgregory.net/rapid"' --include='*_test.go' internal | xargs -n1 dirname | sort -u)
status=0
for package in $packages; do
  echo "== $package checks=$checks seed=$seed"
  go test -count=1 -timeout 30m "./$package" -rapid.checks="$checks" -rapid.seed="$seed" || status=1
done
exit "$status"
