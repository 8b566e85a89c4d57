#!/usr/bin/env bash
# Brings about one fault under load with real processes and audits the outcome:
#   faults.sh SCENARIO...   or   faults.sh all
set -uo pipefail
cd "$(dirname "$0")/.."

export ROSEVALVE_PORT_BASE=${ROSEVALVE_PORT_BASE:-27000}
export ROSEVALVE_RUN=${ROSEVALVE_RUN:-.run/faults}
export ROSEVALVE_ROUTERS=${ROSEVALVE_ROUTERS:-4}
BASE=$ROSEVALVE_PORT_BASE
RUN=$ROSEVALVE_RUN
PLATFORM=127.0.0.1:$((BASE + 900))
RATE=${RATE:-60}
DURATION=${DURATION:-12s}
SETTLE=${SETTLE:-40s}
SCENARIOS=(none kill_router freeze_router platform_down platform_lossy platform_slow kill_engine engine_silent silent_connections crossed_answers stop_router kill_router_platform_down freeze_router_platform_lossy kill_two_routers)

pid_of() {
  awk -v name="$1" '$1 == name {print $2}' "$RUN/pids" | tail -n 1
}

platform_fault() {
  curl -fsS -o /dev/null -d "$1" "http://$PLATFORM/fault"
}

engine_fault() {
  curl -fsS -o /dev/null -d "$1" "http://127.0.0.1:$((BASE + 801))/fault"
}

none() { :; }
kill_router() { kill -9 "$(pid_of router-0)"; }
kill_two_routers() { kill -9 "$(pid_of router-0)" "$(pid_of router-1)"; }
freeze_router() {
  kill -STOP "$(pid_of router-0)"
  sleep 8
  kill -CONT "$(pid_of router-0)"
}
platform_down() {
  platform_fault '{"down":true}'
  sleep 6
  platform_fault '{}'
}
platform_lossy() {
  platform_fault '{"lose_answers":0.3}'
  sleep 6
  platform_fault '{}'
}
platform_slow() {
  platform_fault '{"slow_ms":400}'
  sleep 6
  platform_fault '{}'
}
kill_engine() { kill -9 "$(pid_of "engine-$((BASE + 801))")"; }
engine_silent() {
  engine_fault '{"silent":true}'
  sleep 4
  engine_fault '{}'
}
silent_connections() {
  # The connection that orders it goes silent too.
  curl -sS -m 1 -o /dev/null -d '{"silence_open":true}' "http://127.0.0.1:$((BASE + 801))/fault" || true
}
crossed_answers() {
  engine_fault '{"crossed":true}'
  sleep 4
  engine_fault '{}'
}
stop_router() { kill -TERM "$(pid_of router-0)"; }
kill_router_platform_down() {
  platform_fault '{"down":true}'
  sleep 1
  kill_router
  sleep 5
  platform_fault '{}'
}
freeze_router_platform_lossy() {
  platform_fault '{"lose_answers":0.3}'
  freeze_router
  platform_fault '{}'
}

routers() {
  local out=
  for i in $(seq "$ROSEVALVE_ROUTERS"); do
    out+="${out:+,}127.0.0.1:$((BASE + i))"
  done
  echo "$out"
}

run_scenario() {
  local scenario=$1
  local engines="127.0.0.1:$((BASE + 801)),127.0.0.1:$((BASE + 802))"
  if [ "$scenario" = kill_engine ]; then
    engines="127.0.0.1:$((BASE + 802))"
  fi
  scripts/fleet.sh up >"$RUN.up.log" 2>&1 || { cat "$RUN.up.log"; return 1; }
  bin/rosevalve-standin load --platform "$PLATFORM" --routers "$(routers)" \
    --engines "$engines" --services "127.0.0.1:$((BASE + 811))" \
    --workspaces gorenjska:demo-workspace-key:flitch-2026:1 \
    --rate "$RATE" --duration "$DURATION" --calls 0.2 --settle-limit "$SETTLE" --strict \
    >"$RUN/report-$scenario.json" 2>"$RUN/load.log" &
  local load=$!
  sleep 3
  "$scenario"
  wait "$load"
  local verdict=$?
  scripts/fleet.sh down
  summary "$scenario" "$verdict"
  return "$verdict"
}

summary() {
  local file=$RUN/report-$1.json
  local state=ok
  [ "$2" -eq 0 ] || state=FAILED
  echo "== $1: $state"
  grep -E '"(requests|answered|tries|wrong_answers|cut_answers|unreachable|false_refusals)"' "$file" | head -n 7 | tr -d '\n'
  echo
  sed -n '/"refusals"/,/}/p' "$file" | tr -d '\n'
  echo
  sed -n '/"audit"/,/}/p' "$file" | tr -d '\n'
  echo
}

mkdir -p "$RUN"
trap 'scripts/fleet.sh down' EXIT
chosen=("$@")
if [ "${1:-all}" = all ]; then
  chosen=("${SCENARIOS[@]}")
fi
failed=0
for scenario in "${chosen[@]}"; do
  run_scenario "$scenario" || failed=$((failed + 1))
done
echo "$((${#chosen[@]} - failed)) passed, $failed failed"
[ "$failed" -eq 0 ]
