#!/usr/bin/env bash
# Measures what a request, a token and an open stream cost an entry and a sidecar, with the local fleet and fast engine
# stand-ins. docs/CAPACITY.md describes how the figures are used.
set -euo pipefail
cd "$(dirname "$0")/.."

work=$(mktemp -d)
jq '(.[] | select(.kind == "workspace") | .value) += {requestsPerSecond: 0, maxConcurrent: 0, burst: 0}' \
  examples/local/objects.json >"$work/objects.json"
key=$(jq -r '.[] | select(.kind == "workspace") | .value.key' "$work/objects.json")
entry=$(jq -r .http examples/local/entry-a1.json)
fleet=

stop_fleet() {
  if [ -n "$fleet" ]; then
    kill -TERM "$fleet" 2>/dev/null || true
    wait "$fleet" 2>/dev/null || true
    fleet=
  fi
}
trap stop_fleet EXIT

start_fleet() { # start_fleet ENGINE_FLAGS
  FIGHOLLOW_LOCAL_OBJECTS="$work/objects.json" FIGHOLLOW_LOCAL_ENGINE_FLAGS="$1" ./scripts/local.sh --keep >"$work/fleet.log" 2>&1 &
  fleet=$!
  for _ in $(seq 300); do
    if grep -q 'the fleet is running' "$work/fleet.log"; then return; fi
    sleep 0.1
  done
  echo "the fleet did not start" >&2
  cat "$work/fleet.log" >&2
  exit 1
}

pids() { pgrep -f "^bin/fighollow $1 " ; }

cpu_ms() { # CPU time of all processes of a kind, in milliseconds
  local hz total=0 pid
  hz=$(getconf CLK_TCK)
  for pid in $(pids "$1"); do
    total=$((total + $(awk '{print $14 + $15}' "/proc/$pid/stat") * 1000 / hz))
  done
  echo "$total"
}

rss_kb() { # largest resident memory of a process of a kind, in KiB
  local most=0 pid n
  for pid in $(pids "$1"); do
    n=$(awk '/^VmRSS/ {print $2}' "/proc/$pid/status")
    most=$((n > most ? n : most))
  done
  echo "$most"
}

load() { # load REQUESTS CONCURRENCY TOKENS [FLAGS]
  bin/standin load --entry "$entry" --key "$key" --model uw-models --requests "$1" --concurrency "$2" --tokens "$3" "${@:4}"
}

measure() { # measure REQUESTS CONCURRENCY TOKENS [FLAGS]
  local entry0 sidecar0
  entry0=$(cpu_ms entry)
  sidecar0=$(cpu_ms sidecar)
  load "$@" | tail -n +2
  echo "requests=$1 tokens=$(($1 * $3)) entryCpuMs=$(($(cpu_ms entry) - entry0)) sidecarCpuMs=$(($(cpu_ms sidecar) - sidecar0))"
}

echo "== time added on loopback: one request at a time, then eight"
start_fleet ""
for c in 1 8; do
  load 200 "$c" 32 --direct "$(jq -r .upstream.address examples/local/engine-a1.json)"
done
stop_fleet

echo "== CPU time: idle for 20 s, requests of 1 token, then of 64 and of 512 tokens"
start_fleet "--slots 64 --decode-rate 20000 --prefill-rate 2000000"
sleep 2
entry0=$(cpu_ms entry); sidecar0=$(cpu_ms sidecar); sleep 20
echo "idle: entriesCpuMs=$(($(cpu_ms entry) - entry0)) (2 processes) sidecarsCpuMs=$(($(cpu_ms sidecar) - sidecar0)) (5 processes)"
measure 4000 16 1
measure 2000 16 64
measure 500 16 512
measure 500 16 1 --prompt-bytes 400000
stop_fleet

echo "== memory: idle, with 50, 100 and 200 open streams, and after them"
start_fleet "--slots 64 --decode-rate 40"
echo "streams=0 entryKiB=$(rss_kb entry) sidecarKiB=$(rss_kb sidecar)"
for n in 50 100 200; do
  load "$n" "$n" 400 >"$work/load.log" &
  loader=$!
  sleep 6
  echo "streams=$n entryKiB=$(rss_kb entry) sidecarKiB=$(rss_kb sidecar)"
  wait "$loader"
  tail -n +2 "$work/load.log"
done
sleep 15
echo "after: entryKiB=$(rss_kb entry) sidecarKiB=$(rss_kb sidecar)"
