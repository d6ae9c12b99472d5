#!/usr/bin/env bash
# Formatter, linter and static analysis over the tracked sources.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B build-check -DMASTICPITCH_SANITIZE=ON -DMASTICPITCH_FAULTS=ON >/dev/null
mapfile -t formatted < <(git ls-files '*.c' '*.h' '*.cc' | grep -v 'pb-c')
clang-format --dry-run --Werror "${formatted[@]}"
mapfile -t sources < <(git ls-files 'src/*.c' 'platform/*.c' 'test/*.c' 'example/*.c' | grep -v -e 'pb-c' -e 'test/fuzz_')
printf '%s\0' "${sources[@]}" |
	xargs -0 -n 1 -P "$(nproc)" clang-tidy --quiet -p build-check 2> >(grep -v 'warnings generated\|Suppressed\|Use -header-filter' >&2)
cppcheck --quiet --error-exitcode=1 --inline-suppr -j "$(nproc)" \
	--enable=warning,portability --suppress=missingIncludeSystem \
	--suppress='*:src/masticpitch.pb-c.c' -I src -I . src platform
echo "lint: clean"
