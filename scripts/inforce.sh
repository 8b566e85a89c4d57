#!/usr/bin/env bash
# Measures how fast configuration comes into force on 8 routers, with the table
# well, slow, and losing answers.
set -euo pipefail
cd "$(dirname "$0")/.."

export ROSEVALVE_PORT_BASE=${ROSEVALVE_PORT_BASE:-24000}
export ROSEVALVE_RUN=${ROSEVALVE_RUN:-.run/inforce}
export ROSEVALVE_ROUTERS=${ROSEVALVE_ROUTERS:-8}
CHANGES=${CHANGES:-100}
PLATFORM=127.0.0.1:$((ROSEVALVE_PORT_BASE + 900))

trap 'scripts/fleet.sh down' EXIT
scripts/fleet.sh up >/dev/null
routers=$(for i in $(seq "$ROSEVALVE_ROUTERS"); do echo -n "127.0.0.1:$((ROSEVALVE_PORT_BASE + i)),"; done)

measure() {
  curl -fsS -o /dev/null -d "$2" "http://$PLATFORM/fault"
  echo -n "$1: "
  bin/rosevalve-standin inforce --routers "${routers%,}" --key demo-operator-key --changes "$3"
  curl -fsS -o /dev/null -d '{}' "http://$PLATFORM/fault"
}

measure "table well" '{}' "$CHANGES"
measure "table slow by 400 ms" '{"slow_ms":400}' $((CHANGES / 5))
measure "table loses 30% of answers" '{"lose_answers":0.3}' "$CHANGES"
bin/rosevalve ctl --router "127.0.0.1:$((ROSEVALVE_PORT_BASE + 1))" --key demo-operator-key 'show config'
