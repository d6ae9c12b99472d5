#!/usr/bin/env bash
# Runs one day of a site with the users' bench.
# usage: FLEETBENCH=PROGRAM tools/play.sh SITE DAY WHY [OPTION]...
set -euo pipefail
cd "$(dirname "$0")/.."
site=$1 day=$2 why=$3
shift 3
exec "${FLEETBENCH:?set it to the path of the bench}" run "$site" "$day" --jobs "$(($(nproc) / 2))" --why "$why" "$@"
