#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this folder start, into review/bin/.
set -euo pipefail
cd "$(dirname "$0")/standin"
GOFLAGS=-buildvcs=false GOWORK=off go build -o ../bin/review-case .
