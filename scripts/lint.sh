#!/usr/bin/env bash
# Runs clang-tidy with the compilation database of an existing build (BUILD_DIR, default build).
# Arguments are regular expressions that select the files to check (default: src, bench and
# examples). JOBS limits the number of parallel jobs.
set -eu
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
patterns=("$@")
[ "${#patterns[@]}" -gt 0 ] || patterns=('/(src|bench|examples)/.*\.cc$')
run-clang-tidy -quiet -j "${JOBS:-$(nproc)}" -p "$build" "${patterns[@]}" >"$build/tidy.log" 2>&1 || {
  grep -E '(error|warning):' "$build/tidy.log" | sort -u
  exit 1
}
