#!/usr/bin/env bash
# Regenerates the committed Cap'n Proto code. Requires the `capnproto` package, which
# the build does not need.
set -eu
cd "$(dirname "$0")/../src"
for schema in $(git ls-files '*.capnp'); do
  (cd "$(dirname "$schema")" && capnp compile -oc++ "$(basename "$schema")")
done
