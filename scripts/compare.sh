#!/usr/bin/env bash
# Plays two versions of this repository on the same days and seeds of the users' bench, in
# pairs and without processor time, and prints the differences by day with their spread.
#
#   scripts/compare.sh BENCH "why" VERSION VERSION SITE... -- SEED...
#
# A VERSION is a commit, or a patch file for the commit that is checked out.
# DAYS="quiet-1 scale-1" JOBS=4 choose days and how many are played at a time. Worth is the
# bench's; a verdict needs a mean difference of over two standard errors. The journal's
# entries of both versions are kept in journal/.
set -euo pipefail
bench=$(realpath "$1") why=$2 versions=("$3" "$4")
shift 4
sites=()
while [[ $1 != -- ]]; do
  sites+=("$(realpath "$1")")
  shift
done
shift
days=${DAYS:-quiet-1 trouble-1 scale-1 trouble-2 scale-2 trouble-3}
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
for i in 0 1; do
  git clone -q . "$out/tree$i"
  if [[ -f ${versions[$i]} ]]; then
    git -C "$out/tree$i" apply "$(realpath "${versions[$i]}")"
  else
    git -C "$out/tree$i" checkout -q "${versions[$i]}"
  fi
  (cd "$out/tree$i" && "$bench" build > /dev/null)
done
play() {
  local tree=$1 site=$2 day=$3 seed=$4
  local name="$out/$(basename "$site" .toml).$day.$seed.$tree"
  cd "$out/tree$tree"
  "$bench" run "$site" "$day" --no-cpu --seed "$seed" --report "$name.json" --why "$why (version $tree)" > "$name.log" 2>&1 ||
    { echo "$name:" >&2; tail -n 3 "$name.log" >&2; }
  echo "played $(basename "$name")" >&2
}
export -f play
export out bench why
for seed in "$@"; do
  for site in "${sites[@]}"; do
    for day in $days; do
      printf '%s\n' "0 $site $day $seed" "1 $site $day $seed"
    done
  done
done | xargs -P "${JOBS:-4}" -L 1 bash -c 'play "$@"' compare
cp -n "$out"/tree?/journal/*.json journal/
jq -rn '
  def mean: add / length;
  def round4: . * 10000 | round / 10000;
  def spread: mean as $m | if length < 2 then null else (map((. - $m) * (. - $m)) | add / (length - 1) / length | sqrt) end;
  def verdict($m; $s): if $s == null then "one pair" elif ($m | fabs) > 2 * $s then (if $m > 0 then "second" else "first" end) else "none" end;
  def row($name): map(.[1].G - .[0].G) as $d | ($d | mean) as $m | ($d | spread) as $s |
    [$name, length, (map(.[0].G) | mean | round4), (map(.[1].G) | mean | round4), ($m | round4),
      (if $s == null then "-" else $s | round4 end), verdict($m; $s),
      (map(.[0].unserved) | mean | round4), (map(.[1].unserved) | mean | round4),
      (map(.[0].breaks | length) | add), (map(.[1].breaks | length) | add)] | @tsv;
  [inputs | . + {name: (input_filename | sub(".*/"; ""))}] |
  map(. + (.name | capture("^(?<site>.*)\\.(?<day>[^.]*)\\.(?<seed>[^.]*)\\.(?<tree>[01])\\.json$"))) |
  group_by([.site, .day, .seed]) | map(select(length == 2) | sort_by(.tree)) as $pairs |
  (["day", "pairs", "worth 1", "worth 2", "difference", "error", "better", "unserved 1", "unserved 2", "broken 1", "broken 2"] | @tsv),
  ($pairs | group_by([.[0].site, .[0].day])[] | row(.[0][0].site + " " + .[0][0].day)),
  ($pairs | group_by(.[0].site)[] | row(.[0][0].site)),
  ($pairs | row("all"))
' "$out"/*.json
