#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/4 to review/8 start.
set -euo pipefail
cd "$(dirname "$0")/stand-2"
GOFLAGS=-mod=mod GOWORK=off go build -buildvcs=false -o stand2 .
