#!/bin/sh
# Builds the stand-ins that the scripts start. The program under review comes from the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
go build -tags review -o review/bin/ ./review/standins
