#!/usr/bin/env bash
# Builds the programs and runs the demo.
set -eu
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
cmake -S . -B "$build" -G Ninja >/dev/null
ninja -C "$build" --quiet
BUILD_DIR="$PWD/$build" python3 scripts/demo.py
