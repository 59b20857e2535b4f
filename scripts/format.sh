#!/usr/bin/env bash
# Formats the C++ sources; with --check only reports what differs and fails.
set -eu
cd "$(dirname "$0")/.."
mode=(-i)
[ "${1:-}" = "--check" ] && mode=(--dry-run --Werror)
git ls-files -co --exclude-standard '*.h' '*.cc' | xargs -r clang-format "${mode[@]}"
