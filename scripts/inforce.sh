#!/usr/bin/env bash
# Measures how fast configuration comes into force on 8 routers, with the table
# well, slow, and losing answers; then restarts a router while the table is down.
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

version_of() {
  curl -fsS "http://127.0.0.1:$((ROSEVALVE_PORT_BASE + $1))/debug/state" | grep -o '"config_version":[0-9]*'
}

echo "restart of a router while the table is down:"
curl -fsS -o /dev/null -d '{"down":true}' "http://$PLATFORM/fault"
kill -9 "$(awk '$1 == "router-0" {print $2}' "$ROSEVALVE_RUN/pids")"
bin/rosevalve router --config "$ROSEVALVE_RUN/router-0.ini" >"$ROSEVALVE_RUN/router-0-again.log" 2>&1 &
echo "router-0-again $!" >>"$ROSEVALVE_RUN/pids"
began=$(date +%s%N)
until curl -fsS -o /dev/null "http://127.0.0.1:$((ROSEVALVE_PORT_BASE + 1))/readyz" 2>/dev/null; do
  if [ $((($(date +%s%N) - began) / 1000000000)) -ge 15 ]; then
    echo "not ready after 15 s" >&2
    exit 1
  fi
  sleep 0.02
done
echo "ready after $((($(date +%s%N) - began) / 1000000)) ms"
[ "$(version_of 1)" = "$(version_of 2)" ] || {
  echo "router 1 has $(version_of 1), router 2 has $(version_of 2)" >&2
  exit 1
}
