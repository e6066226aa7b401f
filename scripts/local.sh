#!/usr/bin/env bash
# Starts a small fleet on loopback (2 data centres, 2 entries, 4 engines, 1 plain service), sends a streamed chat
# completion and a plain-service call through it, shows the status and stops everything.
# With --keep the fleet runs until interrupted.
set -euo pipefail
cd "$(dirname "$0")/.."

keep=false
case "${1:-}" in
  "") ;;
  --keep) keep=true ;;
  *) echo "usage: scripts/local.sh [--keep]" >&2; exit 2 ;;
esac

dir=examples/local
# scripts/capacity.sh starts the same fleet with other objects and faster engines.
objects=${FIGHOLLOW_LOCAL_OBJECTS:-$dir/objects.json}
read -ra engine_flags <<<"${FIGHOLLOW_LOCAL_ENGINE_FLAGS:-}"
logs=$(mktemp -d)
api=127.0.0.1:17000
pids=()

stop_all() {
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
}
trap stop_all EXIT
trap 'exit 130' INT TERM

start() { # start LOG COMMAND...
  local log=$1
  shift
  "$@" >"$logs/$log.log" 2>&1 &
  pids+=($!)
}

wait_ready() { # wait_ready NAME ADMIN
  for _ in $(seq 200); do
    if curl -fs -o /dev/null "http://$2/readyz"; then return; fi
    sleep 0.1
  done
  echo "$1 is not ready after 20 s; see $logs/$1.log" >&2
  exit 1
}

field() { jq -r "$2" "$dir/$1.json"; }

echo "building"
mkdir -p bin
go build -o bin/ ./cmd/...

echo "starting the fleet; logs are in $logs"
start objects bin/standin objects --listen "$api" --load "$objects"
for _ in $(seq 100); do
  if bin/fighollow preset list --object-api "$api" >/dev/null 2>&1; then break; fi
  sleep 0.1
done
for preset in ordinary peak maintenance; do
  bin/fighollow preset put --object-api "$api" "$dir/preset-$preset.json"
done
bin/fighollow preset use --object-api "$api" ordinary

engines=(engine-a1 engine-a2 engine-b1 engine-b2)
entries=(entry-a1 entry-b1)
for e in "${engines[@]}"; do
  start "$e-engine" bin/standin engine --listen "$(field "$e" .upstream.address)" --checks-fence="$(field "$e" .upstream.checksFence)" --change 500ms "${engine_flags[@]}"
done
start broker-api-1-service bin/standin service --listen "$(field broker-api-1 .upstream.address)"
for s in "${engines[@]}" broker-api-1; do start "$s" bin/fighollow sidecar --settings "$dir/$s.json"; done
for e in "${entries[@]}"; do start "$e" bin/fighollow entry --settings "$dir/$e.json"; done
for p in "${entries[@]}" "${engines[@]}" broker-api-1; do wait_ready "$p" "$(field "$p" .admin)"; done

key="Authorization: Bearer $(jq -r '.[] | select(.kind == "workspace") | .value.key' "$dir/objects.json")"
http=$(field entry-a1 .http)

echo
echo "streamed chat completion through entry-a1:"
# An engine serves only after its first order. Until then the entry refuses requests with Retry-After.
curl -sN --retry 20 --retry-delay 1 --fail -D "$logs/headers" "http://$http/v1/chat/completions" -H "$key" -H 'Content-Type: application/json' \
  -d '{"model": "uw-models", "stream": true, "max_tokens": 16, "messages": [{"role": "user", "content": "Summarise the accounts of the workshop."}]}'
grep -i '^x-fighollow-upstream' "$logs/headers"

echo
echo "plain-service call through entry-b1:"
curl -s --retry 10 --retry-delay 1 --fail "http://$(field entry-b1 .http)/services/broker-api/applications/17" -H "$key"
echo

echo
bin/fighollow status --object-api "$api" --process "$(field entry-a1 .admin)" --process "$(field engine-b2 .admin)"

if $keep; then
  echo
  echo "the fleet is running; interrupt to stop it"
  echo "callers: http://$http and http://$(field entry-b1 .http); header '$key'"
  echo "operators: bin/fighollow status --object-api $api"
  wait
fi
echo
echo "stopping"
