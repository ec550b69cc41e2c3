#!/usr/bin/env bash
# Fails if a package imports a package of a higher layer. Layers from bottom to
# top: state, coordination, protocol, transport.
set -euo pipefail
cd "$(dirname "$0")/.."

go list -f '{{.ImportPath}} {{join .Imports " "}}' ./internal/... | awk '
function layer(path) {
  if (path ~ /\/internal\/state(\/|$)/) return 1
  if (path ~ /\/internal\/coordination(\/|$)/) return 2
  if (path ~ /\/internal\/protocol(\/|$)/) return 3
  if (path ~ /\/internal\/transport(\/|$)/) return 4
  if (path ~ /wigeonspring.example\/wigeonspring\/internal\//) return 0
  if (path ~ /wigeonspring.example\/wigeonspring\//) return 5
  return -1
}
{
  for (i = 2; i <= NF; i++) {
    if (layer($i) > layer($1)) {
      print "layer violation: " $1 " imports " $i
      bad = 1
    }
  }
}
END { exit bad }'
echo "layers: ok"
