#!/bin/sh
# Plays the case; see claim.txt. TROUBLE=0 leaves out the disturbance.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/play ] || { echo "run review/build.sh first" >&2; exit 2; }
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
exec target/review/play -case planned-stop -trouble=$trouble -record review/3/record.txt
