#!/usr/bin/env bash
# Measures what a router costs in fleets of several sizes, at rest or under load:
#   [RATE=requests a second for each router] fleet-cost.sh [SIZE...]
# Prints for each size the mean per router of peer bytes read and written, of
# processor time, of the table's commits and reads in a second, and of memory.
set -euo pipefail
cd "$(dirname "$0")/.."

export ROSEVALVE_PORT_BASE=${ROSEVALVE_PORT_BASE:-25000}
export ROSEVALVE_RUN=${ROSEVALVE_RUN:-.run/fleet-cost}
BASE=$ROSEVALVE_PORT_BASE
RUN=$ROSEVALVE_RUN
SETTLE=${SETTLE:-15}
WINDOW=${WINDOW:-15}
RATE=${RATE:-0}
SIZES=("$@")
[ $# -gt 0 ] || SIZES=(3 8 16 32 64)

finish() {
  if [ -n "${LOAD:-}" ]; then
    kill "$LOAD" 2>/dev/null || true
  fi
  scripts/fleet.sh down
}
trap finish EXIT

# start_load sends requests until the window has surely passed.
start_load() {
  local routers=
  for i in $(seq "$ROSEVALVE_ROUTERS"); do
    routers+="${routers:+,}127.0.0.1:$((BASE + i))"
  done
  bin/rosevalve-standin load --routers "$routers" --workspaces gorenjska:demo-workspace-key:flitch-2026:1 \
    --callers 256 --rate $((RATE * ROSEVALVE_ROUTERS)) --duration $((SETTLE + WINDOW + 5))s >"$RUN/load.json" 2>&1 &
  LOAD=$!
}

# table_count prints one count of the platform.
table_count() {
  curl -fsS "http://127.0.0.1:$((BASE + 900))/counts" | grep -o "\"$1\":[0-9]*" | grep -o '[0-9]*$'
}

# total sums one expvar over the routers.
total() {
  local sum=0 value
  for i in $(seq "$ROSEVALVE_ROUTERS"); do
    value=$(curl -fsS "http://127.0.0.1:$((BASE + i))/debug/vars" | grep -o "\"$1\": [0-9]*" | grep -o '[0-9]*$')
    sum=$((sum + value))
  done
  echo "$sum"
}

# ticks sums the processor time of the routers in hundredths of a second.
ticks() {
  local sum=0 pid
  while read -r _ pid; do
    sum=$((sum + $(awk '{print $14 + $15}' "/proc/$pid/stat")))
  done < <(grep '^router-' "$RUN/pids")
  echo "$sum"
}

# memory sums the resident memory of the routers in kB.
memory() {
  local pid
  while read -r _ pid; do
    awk '/VmRSS/ {print $2}' "/proc/$pid/status"
  done < <(grep '^router-' "$RUN/pids") | awk '{n += $1} END {print n}'
}

echo "routers read_B/s written_B/s processor_% memory_MB commits/s reads/s"
for size in "${SIZES[@]}"; do
  export ROSEVALVE_ROUTERS=$size
  scripts/fleet.sh up >/dev/null
  [ "$RATE" -eq 0 ] || start_load
  sleep "$SETTLE"
  read0=$(total peer_bytes_read) written0=$(total peer_bytes_written) ticks0=$(ticks)
  commits0=$(table_count commits) reads0=$(table_count reads) began=$(date +%s%N)
  sleep "$WINDOW"
  ms=$((($(date +%s%N) - began) / 1000000))
  commits=$(($(table_count commits) - commits0)) reads=$(($(table_count reads) - reads0))
  ticks1=$(ticks) read1=$(total peer_bytes_read) written1=$(total peer_bytes_written)
  awk -v n="$size" -v ms="$ms" -v r=$((read1 - read0)) -v w=$((written1 - written0)) -v t=$((ticks1 - ticks0)) -v m="$(memory)" -v c="$commits" -v g="$reads" \
    'BEGIN {printf "%d %.0f %.0f %.2f %.1f %.3f %.3f\n", n, r / n / ms * 1000, w / n / ms * 1000, t / n / ms * 1000, m / n / 1024, c / n / ms * 1000, g / n / ms * 1000}'
  finish
  LOAD=
done
