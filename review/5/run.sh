#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/pearshelfd ] && [ -x target/play2 ] || { echo "build deploy/system.toml and run review/build-2.sh first"; exit 2; }
exec target/play2 retired review/5/record.txt
