#!/usr/bin/env bash
# Runs every check that a change must pass: formatter, linter, module list, vet, build, unit tests with the race detector, process tests.
set -euo pipefail
cd "$(dirname "$0")/.."

LINT_VERSION=v2.15.0
LINT="$(go env GOPATH)/bin/golangci-lint"
if ! "$LINT" version 2>/dev/null | grep -q "${LINT_VERSION#v}"; then
  (cd /tmp && go install "github.com/golangci/golangci-lint/v2/cmd/golangci-lint@${LINT_VERSION}")
fi

echo "== format"
unformatted="$("$LINT" fmt --diff 2>/dev/null || true)"
if [ -n "$unformatted" ]; then
  echo "$unformatted"
  exit 1
fi
echo "== lint"
"$LINT" run --allow-parallel-runners ./...
echo "== modules"
go mod tidy -diff
echo "== vet"
go vet ./...
echo "== build"
mkdir -p bin
go build -o bin/ ./cmd/...
echo "== unit tests with the race detector"
go test -race -count=1 -timeout 5m $(go list ./... | grep -v '/internal/faults$')
if [ -d internal/faults ]; then
  echo "== process tests"
  go test -count=1 -timeout 5m ./internal/faults
fi
