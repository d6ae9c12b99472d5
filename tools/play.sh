#!/usr/bin/env bash
# Plays one day of a site on the users' bench: tools/play.sh SITE DAY WHY [OPTION]...
# FLEETBENCH names the bench's program.
set -euo pipefail
cd "$(dirname "$0")/.."
site=$1 day=$2 why=$3
shift 3
exec "${FLEETBENCH:?set it to the path of the bench}" run "$site" "$day" --jobs "$(($(nproc) / 2))" --why "$why" "$@"
