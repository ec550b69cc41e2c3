#!/usr/bin/env bash
# Fails if a name of the users' platform (platform/names.txt) occurs outside platform/
# and deploy/, or if a package other than the daemon and tests imports platform/.
set -euo pipefail
cd "$(dirname "$0")/.."

found=$(git ls-files -co --exclude-standard '*.go' '*.sh' '*.toml' |
  grep -v '^platform/\|^deploy/\|\.pb\.go$\|\.twirp\.go$' | xargs grep -nEf platform/names.txt || true)
if [ -n "$found" ]; then
  echo "names of the platform outside platform/ and deploy/:" >&2
  echo "$found" >&2
  exit 1
fi

importers=$(go list -f '{{.ImportPath}} {{join .Imports " "}}' ./... |
  awk '$1 !~ /\/(platform(\/objectstore)?|cmd\/wigeonspringd)$/ || $1 ~ /\/(internal|standin)\// {
    for (i = 2; i <= NF; i++) if ($i ~ /^wigeonspring\.example\/wigeonspring\/platform(\/|$)/) print $1 " imports " $i
  }')
if [ -n "$importers" ]; then
  echo "only the daemon imports platform/: $importers" >&2
  exit 1
fi
echo "platform names: ok"
