#!/usr/bin/env bash
# Searches a site's days for violated rules with the users' bench.
# usage: FLEETBENCH=PROGRAM WHY=TEXT tools/hunt.sh SITE DAYS
# Prints each violated rule with the command that replays the day.
set -uo pipefail
cd "$(dirname "$0")/.."
mkdir -p build
site=$1 days=$2
out=build/hunt-$(basename "$site" .toml).txt
"${FLEETBENCH:?set it to the path of the bench}" hunt "$site" --days "$days" \
	--jobs "$(($(nproc) / 2))" --why "${WHY:?say why}" >"$out" 2>&1
grep -E 'BROKEN|replay|run |days|fault' "$out"
echo "complete output: $out"
