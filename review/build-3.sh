#!/usr/bin/env bash
# Builds the program that runs cases 11 to 15, with all their stand-ins, into target/. It needs no
# package and no network.
set -euo pipefail
cd "$(dirname "$0")/rig3"
GOFLAGS=-mod=mod GOTOOLCHAIN=local go build -o ../../target/rig3 .
