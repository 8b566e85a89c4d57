#!/usr/bin/env bash
# Compares the time to the first token through a router with that of a request
# sent straight to the engine, at RATE requests a second, both in one run.
set -euo pipefail
cd "$(dirname "$0")/.."

export ROSEVALVE_PORT_BASE=${ROSEVALVE_PORT_BASE:-26000}
export ROSEVALVE_RUN=${ROSEVALVE_RUN:-.run/latency}
export ROSEVALVE_ENGINE_FLAGS=${ROSEVALVE_ENGINE_FLAGS:---token-interval 1ms --slots 512}
BASE=$ROSEVALVE_PORT_BASE
RATE=${RATE:-300}
DURATION=${DURATION:-10s}
LOAD=(bin/rosevalve-standin load --workspaces gorenjska:demo-workspace-key:flitch-2026:1
  --rate "$RATE" --duration "$DURATION" --urgent 1 --urgent-tokens 4)

first_token() {
  sed -n '/"classes"/,/"workspaces"/p' | sed -n '/"first_token"/,/}/p' | grep -E 'count|p50|p95|p99' | tr -d ' \n'
  echo
}

trap 'scripts/fleet.sh down' EXIT
scripts/fleet.sh up >/dev/null
for round in 1 2 3; do
  echo "round $round, straight to the engine: $("${LOAD[@]}" --seed "$((10 + round))" --direct "127.0.0.1:$((BASE + 801))" | first_token)"
  echo "round $round, through the routers:    $("${LOAD[@]}" --seed "$((20 + round))" --routers "127.0.0.1:$((BASE + 1)),127.0.0.1:$((BASE + 2)),127.0.0.1:$((BASE + 3))" | first_token)"
done
