#!/usr/bin/env bash
# usage: model-check.sh SPEC WORKDIR; exit 0 if SPEC holds, 1 if it is violated,
# 2 if the search could not be completed.
set -euo pipefail
spec=$(realpath "$1")
work=$2
name=$(basename "$spec" .pml)
flags=$(sed -n '1s|^/\* flags: \(.*\) \*/$|\1|p' "$spec")
mkdir -p "$work/$name"
cd "$work/$name"
cp "$spec" spec.pml

run() # title, spin arguments, pan arguments
{
	spin -a $2 spec.pml >spin.out 2>&1 || { cat spin.out; return 2; }
	# shellcheck disable=SC2086
	gcc -O2 -w -DMEMLIM=6000 -DVECTORSZ=4096 $flags -o pan pan.c
	./pan -m2000000 $3 >pan.out 2>&1 || true
	if grep -q 'max search depth too small\|out of memory\|Search not completed' pan.out &&
	   ! grep -q 'errors: [1-9]' pan.out; then
		echo "$name $1: search not completed"
		return 2
	fi
	states=$(sed -n 's/^ *\([0-9.e+]*\) states, stored.*/\1/p' pan.out | head -1)
	errors=$(sed -n 's/.*errors: \([0-9]*\).*/\1/p' pan.out | head -1)
	echo "$name $1: states ${states:-?}, errors ${errors:-?}"
	[ "${errors:-1}" = 0 ]
}

status=0
run safety "-DSAFETY_ONLY" "" || status=$?
[ $status -eq 0 ] || exit $status
for property in $(sed -n 's/^ltl \([a-z_0-9]*\).*/\1/p' spec.pml); do
	run "ltl $property" "" "-a -N $property" || exit $?
done
