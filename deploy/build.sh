#!/bin/sh
# Puts the run-time libraries and the workspace's packages under target/deps.
set -eu
deps=target/deps
mkdir -p target
if [ ! -f target/libraries ] || ! cmp -s deploy/requirements.txt target/libraries
then
    rm -rf "$deps"
    python3 -m pip install -q --no-compile --target "$deps" \
        -r deploy/requirements.txt
    cp deploy/requirements.txt target/libraries
fi
for package in packages/fescuestile/src/fescuestile \
    packages/fescuestile-daemon/src/fescuestile_daemon \
    platform/src/fescuestile_platform
do
    rm -rf "$deps/$(basename "$package")"
    cp -R "$package" "$deps/"
done
python3 -m compileall -q "$deps" || true
