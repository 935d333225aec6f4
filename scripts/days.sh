#!/usr/bin/env bash
# Plays the standard days of one site of the users' bench with several seeds, no
# processor time charged, and prints mean figures. Processor time apart, a run
# mostly repeats, so that two versions can be compared on the same seeds.
#
#   scripts/days.sh BENCH SITE "why" SEED...      JOBS=7 DAYS="quiet-1 scale-1"
set -euo pipefail
bench=$1 site=$2 why=$3
shift 3
days=${DAYS:-quiet-1 trouble-1 scale-1 trouble-2 scale-2 trouble-3}
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
"$bench" build > /dev/null
for seed in "$@"; do
  for day in $days; do
    echo "$day $seed"
  done
done | xargs -P "${JOBS:-7}" -L 1 bash -c '
  "$0" run "$1" "$4" --no-cpu --seed "$5" --report "$3/$4.$5.json" --why "$2" > "$3/$4.$5.log" 2>&1 ||
    { echo "$4 with seed $5:"; tail -n 3 "$3/$4.$5.log"; }
' "$bench" "$site" "$why" "$out"
jq -rn '
  def mean(f): (map(f) | add) / length;
  def round4: . * 10000 | round / 10000;
  def row($name): [$name, length] +
    ([mean(.G), mean(.served), mean(.unserved), mean(.refused), mean(.all.late / .all.n),
      mean([.prices[][2]] | add)] | map(round4)) + [(map(.breaks | length) | add)];
  [inputs | . + {day: (input_filename | sub(".*/"; "") | sub("\\..*"; ""))}] as $runs |
  (["day", "runs", "worth", "earned", "unserved", "refused", "late", "prices", "broken"] | @tsv),
  ($runs | group_by(.day)[] | row(.[0].day) | @tsv),
  ($runs | map(select(.day | startswith("quiet") | not)) | if length > 0 then row("trouble") | @tsv else empty end)
' "$out"/*.json
