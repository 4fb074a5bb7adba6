#!/bin/sh
# Plays the regression runs and compares their worth with the committed figures.
#
#   scripts/regression.sh BENCH SITES [update]
#
# BENCH is the users' bench, SITES the folder of their site files. Each site plays DAYS with
# SEEDS, without the cost of processor time, JOBS at a time. A site whose mean worth falls
# by more than TOLERANCE fails the script. With "update" the figures are replaced instead.
set -eu
bench=$1 sites=$2 mode=${3:-compare}
cd "$(dirname "$0")/.."

SITES_PLAYED="further/gcra-rollouts further-grown/gcra-rollouts-grown large/bnr-pomelo-large grown/bnr-pomelo-grown grown/cerniere-etna-grown"
DAYS="trouble-3 scale-2"
SEEDS="11 12"
JOBS=${JOBS:-3}
TOLERANCE=0.03 # the bench's own figure for noise
FIGURES=docs/measurements/data/regression.csv

out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
"$bench" build >/dev/null
for site in $SITES_PLAYED; do
  for day in $DAYS; do
    for seed in $SEEDS; do echo "$site $day $seed"; done
  done
done | xargs -P "$JOBS" -L 1 sh -c '
  "$0" run "$1/$3.toml" "$4" --no-cpu --seed "$5" --why "Regression run" >"$2/$(echo "$3-$4-$5" | tr / _)" 2>&1 || true
' "$bench" "$sites" "$out"

{
  echo "site,day,seed,worth,served,failed"
  for site in $SITES_PLAYED; do
    for day in $DAYS; do
      for seed in $SEEDS; do
        awk -v key="$site,$day,$seed" -v day="$day" '$1 == day { print key "," $4 "," $5 "," $7 }' "$out/$(echo "$site-$day-$seed" | tr / _)"
      done
    done
  done
} >"$out/figures.csv"

if [ "$mode" = update ]; then
  cp "$out/figures.csv" "$FIGURES"
  exit 0
fi
awk -F, -v tolerance="$TOLERANCE" '
  FNR == 1 { next }
  NR == FNR { before[$1, $2, $3] = $4; expected[$1]++; next }
  { print $1, $2, "seed", $3, before[$1, $2, $3], "->", $4; old[$1] += before[$1, $2, $3]; new[$1] += $4; n[$1]++ }
  END {
    for (site in expected) {
      if (n[site] != expected[site]) { print site ": " n[site] + 0 " of " expected[site] " days played"; bad = 1; continue }
      printf "%s: mean worth %.3f -> %.3f\n", site, old[site] / n[site], new[site] / n[site]
      if (new[site] / n[site] < old[site] / n[site] - tolerance) bad = 1
    }
    exit bad
  }' "$FIGURES" "$out/figures.csv"
