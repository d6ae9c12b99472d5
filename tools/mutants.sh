#!/usr/bin/env bash
# Breaks each specification in one named way at a time and fails if the
# checker still passes. models/mutants/SPEC-NAME.sed is applied to
# models/SPEC.pml; it must change the file.
set -euo pipefail
cd "$(dirname "$0")/.."
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
caught=0
for mutant in models/mutants/*.sed; do
	[ -e "$mutant" ] || { echo "no mutants yet"; exit 0; }
	name=$(basename "$mutant" .sed)
	spec=models/${name%%-*}.pml
	sed -f "$mutant" "$spec" >"$work/$name.pml"
	if cmp -s "$spec" "$work/$name.pml"; then
		echo "FAILED: $name does not change $spec"
		exit 1
	fi
	status=0
	tools/model-check.sh "$work/$name.pml" "$work" >"$work/out" 2>&1 || status=$?
	if [ $status -ne 1 ]; then
		cat "$work/out"
		echo "FAILED: $name is not caught (status $status)"
		exit 1
	fi
	echo "caught: $name"
	caught=$((caught + 1))
done
echo "$caught mutants caught"
