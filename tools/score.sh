#!/usr/bin/env bash
# Scores sites with the users' bench, one site per call, and prints a line per day.
# usage: FLEETBENCH=PROGRAM WHY=TEXT tools/score.sh SITE...
# The complete output of each site goes to build/score-NAME.txt.
set -uo pipefail
cd "$(dirname "$0")/.."
mkdir -p build
for site in "$@"; do
	out=build/score-$(basename "$site" .toml).txt
	"${FLEETBENCH:?set it to the path of the bench}" score "$site" --jobs "$(($(nproc) / 2))" \
		--why "${WHY:?say why}" >"$out" 2>&1
	grep -E '^(day|quiet|trouble|scale|fresh|drawn|[a-z]+-[0-9]+ |.*GATE|.*score )' "$out"
	echo "complete output: $out"
done
