#!/usr/bin/env bash
# Starts a fleet, sends a streamed, a plain and a repeated request, and checks
# the answers, the bills and the budget.
set -euo pipefail
cd "$(dirname "$0")/.."

trap 'scripts/fleet.sh down' EXIT
scripts/fleet.sh up >/dev/null

RUN=${ROSEVALVE_RUN:-.run}
BASE=${ROSEVALVE_PORT_BASE:-7000}
FIRST=127.0.0.1:$((BASE + 1))
SECOND=127.0.0.1:$((BASE + 2))
THIRD=127.0.0.1:$((BASE + 3))
KEY=demo-workspace-key
AUTH="Authorization: Bearer $KEY"
JSON="Content-Type: application/json"
BODY='{"model":"demo","max_tokens":8,"messages":[{"role":"user","content":"which oak flitches suit a 2 m panel?"}]}'
STREAM_BODY=${BODY/\"max_tokens\"/\"stream\":true,\"max_tokens\"}

ctl() {
  bin/rosevalve ctl --router $FIRST --key demo-operator-key "$@"
}

fail() {
  echo "demo failed: $*" >&2
  exit 1
}

entry=$(curl -fsS "http://$SECOND/v1/entries" | grep -o 'http://[0-9.:]*' | head -n 1)
echo "== entries told us to use $entry"

echo "== a streamed request"
curl -fsS -N "$entry/v1/chat/completions" -H "$AUTH" -H "$JSON" -H 'Idempotency-Key: demo-1' -d "$STREAM_BODY" | tee $RUN/streamed
grep -q '^data: \[DONE\]' $RUN/streamed || fail "the stream has no end"

echo "== a whole request, and the same again"
curl -fsS "$entry/v1/chat/completions" -H "$AUTH" -H "$JSON" -H 'Idempotency-Key: demo-2' -d "$BODY" | tee $RUN/whole
echo
curl -fsS "$entry/v1/chat/completions" -H "$AUTH" -H "$JSON" -H 'Idempotency-Key: demo-2' -d "$BODY" >$RUN/repeated
cmp $RUN/whole $RUN/repeated || fail "the repeated request has another answer"

echo "== a reservation, which may run once, and the same again at another router"
curl -fsS -X POST "http://$FIRST/v1/services/stock/reserve" -H "$AUTH" -H 'Idempotency-Key: demo-3' -d '{"flitch":17}' | tee $RUN/reserved
echo
curl -fsS -X POST "http://$THIRD/v1/services/stock/reserve" -H "$AUTH" -H 'Idempotency-Key: demo-3' -d '{"flitch":17}' >$RUN/reserved-again
cmp $RUN/reserved $RUN/reserved-again || fail "the reservation ran twice"

sleep 1
echo "== the bills and the budget"
ctl --output plain 'show bills' | tee $RUN/bills
ctl --output plain 'show budgets' | tee $RUN/budgets
[ "$(grep -c 'demo-' $RUN/bills)" -eq 3 ] || fail "there are not exactly three bills"
billed=$(awk '/flitch-2026/ && NF == 5 && $1 == "gorenjska" && $2 == "flitch-2026" {print $4}' $RUN/budgets)
sum=$(awk '$3 ~ /^demo-/ {n += $4} END {print n}' $RUN/bills)
[ "$billed" = "$sum" ] || fail "the budget shows $billed tokens billed, the bills $sum"
echo "== demo passed"
