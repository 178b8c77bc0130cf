#!/bin/sh
# TROUBLE=0 runs the same without the disruptions.
cd "$(dirname "$0")/../.."
PYTHONPATH=target/review:target/deps exec python3 review/4/case.py
