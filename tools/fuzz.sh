#!/usr/bin/env bash
# Runs each fuzz target for a fixed number of inputs from a fixed seed, so the
# result is the same on every run. RUNS sets the number of inputs.
set -euo pipefail
cd "$(dirname "$0")/.."
ls test/fuzz_*.c >/dev/null 2>&1 || { echo "no fuzz targets yet"; exit 0; }
CC=clang CXX=clang++ cmake -S . -B build-fuzz -DMASTICPITCH_FUZZ=ON >/dev/null
cmake --build build-fuzz -j "$(nproc)" -- --no-print-directory >/dev/null
for source in test/fuzz_*.c; do
	name=$(basename "$source" .c)
	build-fuzz/"$name" -seed=1 -runs="${RUNS:-20000}" -max_len=4096 -timeout=10 \
		-rss_limit_mb=1024 -print_final_stats=0 >"build-fuzz/$name.log" 2>&1 || {
		tail -40 "build-fuzz/$name.log"
		echo "FAILED: $name"
		exit 1
	}
	echo "fuzz: $name, ${RUNS:-20000} inputs, no fault"
done
