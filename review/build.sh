#!/bin/sh
# Builds the stand-ins of the review's scripts under target/review: the
# project's own, and as the package rig those of this folder. Nothing is
# fetched.
set -eu
cd "$(dirname "$0")/.."
out=target/review
rm -rf "$out"
mkdir -p "$out/tests/platform" "$out/rig"
cp tests/__init__.py "$out/tests/"
cp tests/platform/__init__.py "$out/tests/platform/"
cp -R tests/platform/standins "$out/tests/platform/"
cp review/*.py "$out/rig/"
touch "$out/rig/__init__.py"
find "$out" -name __pycache__ -prune -exec rm -rf {} +
python3 -m compileall -q "$out"
PYTHONPATH="$out:target/deps" python3 -c "import rig.scene"
