#!/usr/bin/env bash
# Formatter, vet, linter and layer check.
set -euo pipefail
cd "$(dirname "$0")/.."

unformatted=$(gofmt -l $(git ls-files -co --exclude-standard '*.go' | grep -v '\.pb\.go$\|\.twirp\.go$'))
if [ -n "$unformatted" ]; then
  echo "not formatted: $unformatted" >&2
  exit 1
fi
go vet ./...
go tool staticcheck ./...
bash scripts/layers.sh
bash scripts/platform.sh
