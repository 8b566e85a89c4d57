#!/usr/bin/env bash
# Builds what the scripts of the third review start: one program with the stand-ins and the clients. Run it after the build of the
# deploy file. It needs nothing but the standard library.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-3 ./review/_drivers-3
