#!/usr/bin/env bash
# Runs a router that cannot reach the platform beside three that can, and checks
# that it serves, bills, claims and tops up through them, and stops with 0.
set -euo pipefail
cd "$(dirname "$0")/.."

export ROSEVALVE_PORT_BASE=${ROSEVALVE_PORT_BASE:-25000}
export ROSEVALVE_RUN=${ROSEVALVE_RUN:-.run/cutoff}
export ROSEVALVE_ROUTERS=3
BASE=$ROSEVALVE_PORT_BASE
RUN=$ROSEVALVE_RUN
CUT=127.0.0.1:$((BASE + 4))
AUTH="Authorization: Bearer demo-workspace-key"
BODY='{"model":"demo","max_tokens":8,"messages":[{"role":"user","content":"which flitches match?"}]}'

ctl() {
  bin/rosevalve ctl --router "$1" --key demo-operator-key "$2"
}

trap 'scripts/fleet.sh down' EXIT
scripts/fleet.sh up >/dev/null
cat >"$RUN/router-cut.ini" <<INI
[router]
listen = $CUT
inner_listen = 127.0.0.1:$((BASE + 104))
failure_domain = fd-4
entry_max_age = 1s

[platform]
addr = 127.0.0.1:$((BASE + 999))

[fleet]
seeds = 127.0.0.1:$((BASE + 101)),127.0.0.1:$((BASE + 102))

[operator]
key = demo-operator-key
INI
bin/rosevalve router --config "$RUN/router-cut.ini" >"$RUN/router-cut.log" 2>&1 &
ROUTER=$!
echo "router-cut $ROUTER" >>"$RUN/pids"
for _ in $(seq 100); do
  if curl -fsS -o /dev/null "http://$CUT/readyz" 2>/dev/null; then
    break
  fi
  sleep 0.1
done
curl -fsS -o /dev/null "http://$CUT/v1/chat/completions" -H "$AUTH" -H 'Idempotency-Key: cut-1' -d "$BODY"
curl -fsS -o /dev/null -X POST "http://$CUT/v1/services/stock/reserve" -H "$AUTH" -H 'Idempotency-Key: cut-2' -d '{"flitch":17}'
ctl "$CUT" 'top up budget "flitch-2026" workspace "gorenjska" by 1000'
sleep 2
bills=$(ctl "127.0.0.1:$((BASE + 1))" 'show bills' | grep -c ' cut-') || true
if [ "$bills" -ne 2 ]; then
  echo "there are $bills bills, not 2" >&2
  exit 1
fi
curl -fsS "http://$CUT/debug/vars" | grep table_relayed
kill -TERM "$ROUTER"
verdict=0
wait "$ROUTER" || verdict=$?
echo "the router that was cut off stopped with $verdict"
exit "$verdict"
