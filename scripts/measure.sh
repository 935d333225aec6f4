#!/usr/bin/env bash
# Prints every table of docs/MEASUREMENTS.md and docs/CAPACITY.md. Takes about
# twenty minutes; run nothing else beside it.
set -euo pipefail
bench=$(mktemp)
trap 'rm -f "$bench"' EXIT
go build -o "$bench" ./cmd/pearshelf-bench
for part in demo detection picking control latency scale; do
  echo "== pearshelf-bench $part"
  "$bench" "$part"
done
