#!/usr/bin/env bash
# Fails if the committed protocol code differs from what its sources give.
set -euo pipefail
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
go tool -modfile=tools/go.mod buf generate --output "$out"
diff -r --exclude='*.proto' "$out/internal/api" internal/api || {
  echo "generated code is not up to date: run make generate" >&2
  exit 1
}
