#!/bin/sh
# Builds the stand-ins of the cases 4 to 6. They use the standard library only.
cd "$(dirname "$0")/.." && exec go build -o target/play2 ./review/_play2
