#!/usr/bin/env bash
# Checks each models/NAME.pml exhaustively at the bounds stated in it: safety
# (assertions, invalid end states) and each named ltl property. A first line
# "/* flags: ... */" gives additional compiler flags.
set -euo pipefail
cd "$(dirname "$0")/.."
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
passed=0
for spec in models/*.pml; do
	[ -e "$spec" ] || { echo "no specification yet"; exit 0; }
	if tools/model-check.sh "$spec" "$work"; then
		passed=$((passed + 1))
	else
		echo "FAILED: $spec"
		exit 1
	fi
done
echo "$passed specifications hold"
