#!/bin/sh
# Puts the run-time libraries and the workspace's packages under target/deps.
# What is there already and has not changed stays untouched.
set -eu
deps=target/deps
mkdir -p "$deps"
if ! cmp -s deploy/requirements.txt target/libraries
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
    copy="$deps/$(basename "$package")"
    if ! diff -rq -x __pycache__ "$package" "$copy" >/dev/null 2>&1
    then
        rm -rf "$copy"
        cp -R "$package" "$copy"
    fi
done
python3 -m compileall -q "$deps" || true
