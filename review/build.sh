#!/bin/sh
# Builds the stand-ins that the scripts start. It needs the Go toolchain alone: the module has no dependency.
set -e
cd "$(dirname "$0")/stand"
GOFLAGS=-mod=mod GOWORK=off go build -o ../bin/stand .
