#!/usr/bin/env bash
# Starts or ends a small fleet on loopback: fleet.sh up | down.
# ROSEVALVE_SECOND names another build of the program, which every second router runs.
set -euo pipefail
cd "$(dirname "$0")/.."

RUN=${ROSEVALVE_RUN:-.run}
BASE=${ROSEVALVE_PORT_BASE:-7000}
ROUTER_COUNT=${ROSEVALVE_ROUTERS:-3}
PLATFORM=127.0.0.1:$((BASE + 900))
ENGINES=("127.0.0.1:$((BASE + 801))" "127.0.0.1:$((BASE + 802))")
ENGINE_FLAGS=${ROSEVALVE_ENGINE_FLAGS:-}
SERVICE=127.0.0.1:$((BASE + 811))
SECOND=${ROSEVALVE_SECOND:-bin/rosevalve}
ROUTERS=()
INNER=()
for i in $(seq "$ROUTER_COUNT"); do
  ROUTERS+=("127.0.0.1:$((BASE + i))")
  INNER+=("127.0.0.1:$((BASE + 100 + i))")
done
WORKSPACE=gorenjska
WORKSPACE_KEY=demo-workspace-key
BUDGET=flitch-2026
OPERATOR_KEY=demo-operator-key

start() {
  local name=$1
  shift
  "$@" >"$RUN/$name.log" 2>&1 &
  echo "$name $!" >>"$RUN/pids"
}

wait_for() {
  local url=$1
  for _ in $(seq 100); do
    if curl -fsS -o /dev/null "$url" 2>/dev/null; then
      return
    fi
    sleep 0.1
  done
  echo "no answer from $url" >&2
  exit 1
}

ctl() {
  bin/rosevalve ctl --router "${ROUTERS[0]}" --key "$OPERATOR_KEY" "$@"
}

join() {
  local IFS=,
  echo "$*"
}

write_router_settings() {
  local i=$1
  cat >"$RUN/router-$i.ini" <<INI
[router]
listen = ${ROUTERS[$i]}
inner_listen = ${INNER[$i]}
failure_domain = fd-$((i + 1))
entry_max_age = 1s

[platform]
addr = $PLATFORM

[fleet]
seeds = $(join "${INNER[@]}")

[operator]
key = $OPERATOR_KEY
INI
}

configure() {
  ctl "create workspace \"$WORKSPACE\" key \"$WORKSPACE_KEY\""
  ctl "create budget \"$BUDGET\" workspace \"$WORKSPACE\" tokens 5000000"
  for engine in "${ENGINES[@]}"; do
    ctl "create target \"$engine\" models \"demo\""
  done
  ctl 'create service "stock" idempotent "GET /lookup"'
  ctl "create target \"$SERVICE\" service \"stock\""
}

quote_urls() {
  local out=
  for addr in "$@"; do
    out+="${out:+, }\"http://$addr\""
  done
  echo "$out"
}

write_description() {
  cat >"$RUN/fleet.json" <<JSON
{
  "platform": "http://$PLATFORM",
  "routers": [$(quote_urls "${ROUTERS[@]}")],
  "targets": [$(quote_urls "${ENGINES[@]}" "$SERVICE")],
  "workspace": "$WORKSPACE",
  "workspace_key": "$WORKSPACE_KEY",
  "budget": "$BUDGET",
  "operator_key": "$OPERATOR_KEY"
}
JSON
}

# wait_in_force waits until every router serves the demo's model and service.
wait_in_force() {
  for router in "${ROUTERS[@]}"; do
    for _ in $(seq 100); do
      if [ "$(curl -fsS "http://$router/debug/state" | grep -o '"addr":' | wc -l)" -ge 3 ]; then
        continue 2
      fi
      sleep 0.1
    done
    echo "configuration is not in force on $router" >&2
    exit 1
  done
}

up() {
  if [ -e "$RUN/pids" ]; then
    echo "a fleet is running; end it with: make down" >&2
    exit 1
  fi
  mkdir -p "$RUN"
  start platform bin/rosevalve-standin platform --listen "$PLATFORM"
  for engine in "${ENGINES[@]}"; do
    start "engine-${engine#*:}" bin/rosevalve-standin engine --listen "$engine" $ENGINE_FLAGS
  done
  start service bin/rosevalve-standin service --listen "$SERVICE"
  wait_for "http://$PLATFORM/counts"
  for i in "${!ROUTERS[@]}"; do
    write_router_settings "$i"
    local program=bin/rosevalve
    if [ $((i % 2)) -eq 1 ]; then
      program=$SECOND
    fi
    start "router-$i" "$program" router --config "$RUN/router-$i.ini"
  done
  for router in "${ROUTERS[@]}"; do
    wait_for "http://$router/readyz"
  done
  configure
  wait_in_force
  write_description
}

down() {
  if [ ! -e "$RUN/pids" ]; then
    return
  fi
  while read -r _ pid; do
    kill -9 "$pid" 2>/dev/null || true
  done <"$RUN/pids"
  rm -f "$RUN/pids" "$RUN/fleet.json"
}

case "${1:-}" in
up) up ;;
down) down ;;
*)
  echo "usage: fleet.sh up | down" >&2
  exit 2
  ;;
esac
