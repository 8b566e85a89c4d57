#!/usr/bin/env bash
# Measures what control costs a router in fleets of several sizes at rest:
#   fleet-cost.sh [SIZE...]
# Prints for each size the mean per router of peer bytes read and written and of
# processor time in a second, and of memory.
set -euo pipefail
cd "$(dirname "$0")/.."

export ROSEVALVE_PORT_BASE=${ROSEVALVE_PORT_BASE:-25000}
export ROSEVALVE_RUN=${ROSEVALVE_RUN:-.run/fleet-cost}
BASE=$ROSEVALVE_PORT_BASE
RUN=$ROSEVALVE_RUN
SETTLE=${SETTLE:-15}
WINDOW=${WINDOW:-15}
SIZES=("$@")
[ $# -gt 0 ] || SIZES=(3 8 16 32 64)

trap 'scripts/fleet.sh down' EXIT

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

echo "routers read_B/s written_B/s processor_% memory_MB"
for size in "${SIZES[@]}"; do
  export ROSEVALVE_ROUTERS=$size
  scripts/fleet.sh up >/dev/null
  sleep "$SETTLE"
  read0=$(total peer_bytes_read) written0=$(total peer_bytes_written) ticks0=$(ticks) began=$(date +%s%N)
  sleep "$WINDOW"
  ms=$((($(date +%s%N) - began) / 1000000))
  ticks1=$(ticks) read1=$(total peer_bytes_read) written1=$(total peer_bytes_written)
  awk -v n="$size" -v ms="$ms" -v r=$((read1 - read0)) -v w=$((written1 - written0)) -v t=$((ticks1 - ticks0)) -v m="$(memory)" \
    'BEGIN {printf "%d %.0f %.0f %.2f %.1f\n", n, r / n / ms * 1000, w / n / ms * 1000, t / n / ms * 1000, m / n / 1024}'
  scripts/fleet.sh down
done
