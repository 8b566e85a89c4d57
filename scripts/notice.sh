#!/usr/bin/env bash
# Measures on 8 routers how long it takes until all others suspect a killed
# router, and how many suspicions and removals a minute of short pauses brings.
set -euo pipefail
cd "$(dirname "$0")/.."

export ROSEVALVE_PORT_BASE=${ROSEVALVE_PORT_BASE:-25000}
export ROSEVALVE_RUN=${ROSEVALVE_RUN:-.run/notice}
export ROSEVALVE_ROUTERS=8
BASE=$ROSEVALVE_PORT_BASE
RUN=$ROSEVALVE_RUN
PAUSES=${PAUSES:-10}
VICTIM_ADDR=127.0.0.1:$((BASE + 108))

pid_of() {
  awk -v name="$1" '$1 == name {print $2}' "$RUN/pids" | tail -n 1
}

# counted sums one count of membership over the first seven routers.
counted() {
  local sum=0 value
  for i in $(seq 7); do
    value=$(curl -fsS "http://127.0.0.1:$((BASE + i))/debug/state" | grep -o "\"$1\":[0-9]*" | head -n 1 | grep -o '[0-9]*$')
    sum=$((sum + value))
  done
  echo "$sum"
}

# believers counts the first seven routers that believe the victim alive.
believers() {
  local n=0
  for i in $(seq 7); do
    if curl -fsS "http://127.0.0.1:$((BASE + i))/debug/state" | grep -o "\"inner_addr\":\"$VICTIM_ADDR\"[^}]*" | grep -q '"state":0'; then
      n=$((n + 1))
    fi
  done
  echo "$n"
}

trap 'scripts/fleet.sh down' EXIT
scripts/fleet.sh up >/dev/null
sleep 5
victim=$(pid_of router-7)
for _ in $(seq "$PAUSES"); do
  kill -STOP "$victim"
  sleep 2
  kill -CONT "$victim"
  sleep 4
done
echo "after $PAUSES pauses of 2 s: suspicions $(counted suspicions), removals $(counted removals), believers $(believers) of 7"
kill -9 "$victim"
began=$(date +%s%N)
while [ "$(believers)" -gt 0 ]; do
  sleep 0.05
done
echo "killed router suspected by all after $((($(date +%s%N) - began) / 1000000)) ms"
