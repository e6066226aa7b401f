#!/usr/bin/env bash
# Builds target/review3/standin3, which plays the scripted cases of the third review with the project's own stand-ins. The sources are laid
# over cmd/standin3, since they import packages of the main module.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review3
overlay=target/review3/overlay.json
{
  echo '{"Replace":{'
  separator=''
  for f in review/standin3/*.go; do
    printf '%s"%s/cmd/standin3/%s":"%s/%s"' "$separator" "$PWD" "$(basename "$f")" "$PWD" "$f"
    separator=$',\n'
  done
  echo '}}'
} >"$overlay"
go build -tags review -overlay "$overlay" -o target/review3/standin3 ./cmd/standin3
