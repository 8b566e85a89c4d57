#!/usr/bin/env bash
# Builds what the scripts of the second review start, the project's own stand-ins included. Run it after the build of the
# deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-2 ./review/_drivers-2
