#!/bin/sh
# Builds the program that plays the cases, with all stand-ins that these start.
set -e
cd "$(dirname "$0")/.."
go build -o target/review/play ./review/_play
