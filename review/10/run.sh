#!/bin/sh
# Runs the case; exit status: 1 rule broken, 0 rule held, 2 not run.
cd "$(dirname "$0")" || exit 2
exec python3 case.py
