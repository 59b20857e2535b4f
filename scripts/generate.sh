#!/usr/bin/env bash
# Regenerates the committed Cap'n Proto code. Needs the `capnproto` package; the build does not.
set -eu
cd "$(dirname "$0")/../src"
for schema in lib*/*.capnp; do
  (cd "$(dirname "$schema")" && capnp compile -oc++ "$(basename "$schema")")
done
