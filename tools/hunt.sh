#!/usr/bin/env bash
# Searches a site's days for violated rules with the users' bench.
# usage: FLEETBENCH=PROGRAM WHY=TEXT tools/hunt.sh SITE DAYS
# Prints each violated rule with the command that replays the day, and the days whose
# worth or number of platform calls differs from the others.
set -uo pipefail
cd "$(dirname "$0")/.."
mkdir -p build
site=$1 days=$2
out=build/hunt-$(basename "$site" .toml).txt
"${FLEETBENCH:?set it to the path of the bench}" hunt "$site" --days "$days" \
	--jobs "$(($(nproc) / 2))" --why "${WHY:?say why}" >"$out" 2>&1
grep -E 'BROKEN|replay|run |days|fault' "$out"
entry=$(ls -t journal/*.json | xargs grep -l "\"site\": *\"$(basename "$site" .toml)\"" |
	xargs grep -l '"cmd": *"hunt"' | head -1)
[ -z "$entry" ] || tools/worth.py --outliers "$entry"
echo "complete output: $out"
