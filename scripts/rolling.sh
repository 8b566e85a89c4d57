#!/usr/bin/env bash
# Replaces every router of a fleet, one after the other, while callers send
# requests, and audits that none was lost, cut off or billed twice.
#   FAULT=freeze   freezes the last router for 5 s meanwhile
#   FAULT=table    takes the table away for 4 s meanwhile
set -euo pipefail
cd "$(dirname "$0")/.."

export ROSEVALVE_PORT_BASE=${ROSEVALVE_PORT_BASE:-25000}
export ROSEVALVE_RUN=${ROSEVALVE_RUN:-.run/rolling}
export ROSEVALVE_ROUTERS=${ROSEVALVE_ROUTERS:-8}
BASE=$ROSEVALVE_PORT_BASE
RUN=$ROSEVALVE_RUN
PLATFORM=127.0.0.1:$((BASE + 900))
RATE=${RATE:-60}
DURATION=${DURATION:-60s}
DRAIN_SECONDS=30
FAULT=${FAULT:-none}

finish() {
  if [ -n "${LOAD:-}" ]; then
    kill "$LOAD" 2>/dev/null || true
  fi
  scripts/fleet.sh down
}

pid_of() {
  awk -v name="$1" '$1 == name {print $2}' "$RUN/pids" | tail -n 1
}

# wait_end waits until the process has ended.
wait_end() {
  for _ in $(seq $((DRAIN_SECONDS * 10))); do
    if ! kill -0 "$1" 2>/dev/null; then
      return
    fi
    sleep 0.1
  done
  echo "router with pid $1 did not end in $DRAIN_SECONDS s" >&2
  return 1
}

wait_ready() {
  for _ in $(seq 100); do
    if curl -fsS -o /dev/null "http://$1/readyz" 2>/dev/null; then
      return
    fi
    sleep 0.1
  done
  echo "router $1 is not ready" >&2
  return 1
}

# replace_router drains one router and starts another at its address.
replace_router() {
  local i=$1 pid began
  pid=$(pid_of "router-$i")
  began=$(date +%s%N)
  kill -TERM "$pid"
  wait_end "$pid"
  echo "router-$i drained in $((($(date +%s%N) - began) / 1000000)) ms"
  if ! grep -q ' drained ' "$RUN/router-$i.log"; then
    echo "router-$i did not drain:" >&2
    tail -n 3 "$RUN/router-$i.log" >&2
    return 1
  fi
  bin/rosevalve router --config "$RUN/router-$i.ini" >"$RUN/router-$i.log" 2>&1 &
  echo "router-$i $!" >>"$RUN/pids"
  wait_ready "127.0.0.1:$((BASE + 1 + i))"
}

# bring_fault brings about the fault that was asked for.
bring_fault() {
  case "$FAULT" in
  freeze)
    kill -STOP "$(pid_of "router-$((ROSEVALVE_ROUTERS - 1))")"
    sleep 5
    kill -CONT "$(pid_of "router-$((ROSEVALVE_ROUTERS - 1))")"
    ;;
  table)
    curl -fsS -o /dev/null -d '{"down":true}' "http://$PLATFORM/fault"
    sleep 4
    curl -fsS -o /dev/null -d '{}' "http://$PLATFORM/fault"
    ;;
  esac
}

trap finish EXIT
scripts/fleet.sh up >/dev/null
routers=
for i in $(seq "$ROSEVALVE_ROUTERS"); do
  routers+="${routers:+,}127.0.0.1:$((BASE + i))"
done
sleep 3
bin/rosevalve-standin load --strict --routers "$routers" --platform "$PLATFORM" \
  --engines "127.0.0.1:$((BASE + 801)),127.0.0.1:$((BASE + 802))" --services "127.0.0.1:$((BASE + 811))" \
  --workspaces gorenjska:demo-workspace-key:flitch-2026:1 \
  --rate "$RATE" --duration "$DURATION" --calls 0.1 >"$RUN/load.json" 2>"$RUN/load.log" &
LOAD=$!
sleep 2
(
  sleep 7
  bring_fault
) &
for i in $(seq 0 $((ROSEVALVE_ROUTERS - 1))); do
  replace_router "$i"
done
kill -0 "$LOAD" 2>/dev/null || echo "the load ended before the last router was replaced"
verdict=0
wait "$LOAD" || verdict=$?
LOAD=
cat "$RUN/load.json"
cat "$RUN/load.log" >&2
exit "$verdict"
