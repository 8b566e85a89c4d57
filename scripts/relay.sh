#!/usr/bin/env bash
# Measures what relaying costs one router: relay.sh tokens | idle
# PROCS bounds the cores of the router, STREAMS is the number of streams.
# Goals and limits of engines are wide, so that no stream is refused or resumed.
set -euo pipefail
cd "$(dirname "$0")/.."

BASE=${ROSEVALVE_PORT_BASE:-22000}
RUN=${ROSEVALVE_RUN:-.run/relay}
STREAMS=${STREAMS:-}
PLATFORM=127.0.0.1:$((BASE + 900))
ROUTER=127.0.0.1:$((BASE + 1))
case "${1:-}" in
tokens) ENGINES=1 INTERVAL=2ms STREAMS=${STREAMS:-250} TIMES="--warm 3s --duration 5s" ;;
idle) ENGINES=${ENGINES:-40} INTERVAL=10s STREAMS=${STREAMS:-5000} TIMES="--warm 25s --duration 10s" ;;
*)
  echo "usage: relay.sh tokens | idle" >&2
  exit 2
  ;;
esac

mkdir -p "$RUN"
pids=()
trap 'kill -9 "${pids[@]}" 2>/dev/null || true' EXIT
bin/rosevalve-standin platform --listen "$PLATFORM" >"$RUN/platform.log" 2>&1 &
pids+=($!)
for i in $(seq "$ENGINES"); do
  bin/rosevalve-standin engine --listen "127.0.0.1:$((BASE + 800 + i))" --token-interval $INTERVAL --slots 20000 >"$RUN/engine-$i.log" 2>&1 &
  pids+=($!)
done
sleep 1
cat >"$RUN/router.ini" <<INI
[router]
listen = $ROUTER
inner_listen = 127.0.0.1:$((BASE + 101))
failure_domain = fd-1
[platform]
addr = $PLATFORM
[request]
progress_timeout = 1m
[load]
initial_limit = 512
first_token_goal = 1h
token_gap_goal = 1h
[operator]
key = demo-operator-key
INI
env ${PROCS:+GOMAXPROCS=$PROCS} bin/rosevalve router --config "$RUN/router.ini" >"$RUN/router.log" 2>&1 &
router=$!
pids+=("$router")
ctl() {
  bin/rosevalve ctl --router "$ROUTER" --key demo-operator-key "$@" >/dev/null
}
for _ in $(seq 50); do
  curl -fsS -o /dev/null "http://$ROUTER/readyz" 2>/dev/null && break
  sleep 0.1
done
ctl 'create workspace "gorenjska" key "demo-workspace-key"'
ctl 'create budget "flitch-2026" workspace "gorenjska" tokens 100000000000'
for i in $(seq "$ENGINES"); do
  ctl "create target \"127.0.0.1:$((BASE + 800 + i))\" models \"demo\""
done
sleep 2
# shellcheck disable=SC2086
bin/rosevalve-standin relay --router "$ROUTER" --pid "$router" --streams "$STREAMS" $TIMES
