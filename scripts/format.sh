#!/usr/bin/env bash
# Formats the C++ sources. With --check, changes nothing and fails if a file is not formatted.
set -eu
cd "$(dirname "$0")/.."
mode=(-i)
[ "${1:-}" = "--check" ] && mode=(--dry-run --Werror)
git ls-files -co --exclude-standard '*.h' '*.cc' | xargs -r clang-format "${mode[@]}"
