#!/usr/bin/env bash
# Regenerates the committed Cap'n Proto code. Needs the `capnproto` package; the build does not.
set -eu
cd "$(dirname "$0")/../src/libnode"
for schema in *.capnp; do
  capnp compile -oc++ "$schema"
done
