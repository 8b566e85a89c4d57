#!/usr/bin/env bash
# Runs the tests with the race detector. Tests listed in KNOWN-RED.txt run apart
# and do not change the verdict; they are printed with what became of them. A name may be
# that of a subtest, such as TestSoak/seed=7; the other subtests count then.
set -euo pipefail
cd "$(dirname "$0")/.."

GO=${GO:-go}
red=$(awk -F'|' '!/^#/ && NF > 1 {gsub(/ /, "", $1); print $1}' KNOWN-RED.txt)

# pattern prints the pattern that matches exactly the test or subtest with a name.
pattern() {
  echo "^${1//\//\$/^}\$"
}

skip='^$'
for name in $red; do
  skip+="|$(pattern "$name")"
done
# The race detector itself crashes now and then on arm64 in this package, which runs without it there.
crashing=internal/budget/reclaim
# Tests of this package bound the memory of a process, and run apart from other load.
crowds=platform/crowds
packages=$("$GO" list ./... | grep -v "/$crowds\$")
if [ "$("$GO" env GOARCH)" = arm64 ]; then
  packages=$(grep -v "/$crashing\$" <<<"$packages")
  "$GO" test -skip "$skip" "./$crashing"
fi
# shellcheck disable=SC2086 # a list of packages
"$GO" test -race -skip "$skip" $packages
"$GO" test -race -skip "$skip" "./$crowds"

echo "known red tests:"
if [ -z "$red" ]; then
  echo "none"
  exit 0
fi
for name in $red; do
  if "$GO" test -race -run "$(pattern "$name")" ./... >/dev/null 2>&1; then
    echo "$name passes now: remove it from KNOWN-RED.txt"
  else
    echo "$name fails: $(grep "^$name " KNOWN-RED.txt)"
  fi
done
