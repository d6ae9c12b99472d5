#!/usr/bin/env bash
# Applies each models/mutants/SPEC-NAME.sed on its own to models/SPEC.pml, which
# it must change, and fails if the checker passes the mutated specification. At
# most four run in parallel, because each may use 2 GB of memory.
set -euo pipefail
cd "$(dirname "$0")/.."
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

check_mutant() # mutant file, work directory
{
	name=$(basename "$1" .sed)
	spec=models/${name%%-*}.pml
	sed -f "$1" "$spec" >"$2/$name.pml"
	if cmp -s "$spec" "$2/$name.pml"; then
		echo "FAILED: $name does not change $spec"
		return 1
	fi
	status=0
	tools/model-check.sh "$2/$name.pml" "$2" >"$2/$name.out" 2>&1 || status=$?
	if [ $status -ne 1 ]; then
		cat "$2/$name.out"
		echo "FAILED: $name is not caught (status $status)"
		return 1
	fi
	echo "caught: $name"
}
export -f check_mutant

printf '%s\0' models/mutants/*.sed |
	xargs -0 -P 4 -I '{}' bash -c 'check_mutant "$1" "$2"' _ '{}' "$work"
echo "$(ls models/mutants/*.sed | wc -l) mutants caught"
