#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
TROUBLE=${TROUBLE:-1}
export TROUBLE
cd "$(dirname "$0")" || exit 2
exec python3 -B case.py
