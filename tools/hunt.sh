#!/usr/bin/env bash
# Hunts broken rules on the users' bench: tools/hunt.sh SITE DAYS
# usage: FLEETBENCH=PROGRAM WHY=TEXT tools/hunt.sh SITE DAYS
# Prints each broken rule with the command that plays the day again.
set -uo pipefail
cd "$(dirname "$0")/.."
mkdir -p build
site=$1 days=$2
out=build/hunt-$(basename "$site" .toml).txt
"${FLEETBENCH:?set it to the path of the bench}" hunt "$site" --days "$days" \
	--jobs "$(($(nproc) / 2))" --why "${WHY:?say why}" >"$out" 2>&1
grep -E 'BROKEN|replay|run |days|fault' "$out"
echo "whole output: $out"
