#!/bin/sh
# TROUBLE=0 leaves out the disruption.
TROUBLE="${TROUBLE:-1}" exec python3 "$(dirname "$0")/case.py"
