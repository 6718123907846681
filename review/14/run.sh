#!/usr/bin/env bash
# TROUBLE=0 does the same without the disruption.
export TROUBLE="${TROUBLE:-1}" PYTHONDONTWRITEBYTECODE=1
exec python3 "$(dirname "$0")/scenario.py"
