#!/usr/bin/env bash
# Runs clang-tidy over the sources of an existing build (default: build). Further arguments are
# regular expressions of the files to check. JOBS limits the number of parallel jobs.
set -eu
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
patterns=("$@")
[ "${#patterns[@]}" -gt 0 ] || patterns=('/(src|bench|examples)/.*\.cc$')
run-clang-tidy -quiet -j "${JOBS:-$(nproc)}" -p "$build" "${patterns[@]}" >"$build/tidy.log" 2>&1 || {
  grep -E '(error|warning):' "$build/tidy.log" | sort -u
  exit 1
}
