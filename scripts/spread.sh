#!/usr/bin/env bash
# Measures the cost of membership and object distribution (internal/spread) at several fleet sizes.
# Arguments: size:dataCentres ...; the defaults take about 9 minutes.
set -euo pipefail
cd "$(dirname "$0")/.."
sizes="${*:-50:2 100:2 200:2 300:2 168:1}"
SPREAD_MEASURE="${sizes// /,}" go test -count=1 -timeout 15m -run '^TestMeasure$' ./internal/spread -v | grep --line-buffered -v '^=== '
