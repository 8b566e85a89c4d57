#!/usr/bin/env bash
# Runs the tests with the race detector. Tests listed in KNOWN-RED.txt run apart
# and do not change the verdict; they are printed with what became of them.
set -euo pipefail
cd "$(dirname "$0")/.."

GO=${GO:-go}
red=$(awk -F'|' '!/^#/ && NF > 1 {gsub(/ /, "", $1); print $1}' KNOWN-RED.txt)
skip='^$'
if [ -n "$red" ]; then
  skip="^($(echo "$red" | paste -sd '|'))\$"
fi
"$GO" test -race -skip "$skip" ./...

echo "known red tests:"
if [ -z "$red" ]; then
  echo "none"
  exit 0
fi
for name in $red; do
  if "$GO" test -race -run "^$name\$" ./... >/dev/null 2>&1; then
    echo "$name passes now: remove it from KNOWN-RED.txt"
  else
    echo "$name fails: $(grep "^$name " KNOWN-RED.txt)"
  fi
done
