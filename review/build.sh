#!/usr/bin/env bash
# Builds the stand-ins that the scripts start.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
go build -o bin/standin ./standin
