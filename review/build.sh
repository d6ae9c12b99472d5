#!/bin/sh
# Builds what the scripts start besides the program of the deploy file. Their stand-ins are
# Python programs of the standard library, so there is only a check that they can be read.
set -eu
cd "$(dirname "$0")"
for file in standins/*.py */case.py; do
	python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$file"
done
