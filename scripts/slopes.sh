#!/usr/bin/env bash
# Reruns the benchmarks behind the figures in docs/CAPACITY.md. Takes about three minutes on an idle
# machine; starts at most 24 daemons at a time.
set -eu
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
cmake -S . -B "$build" -G Ninja >/dev/null
ninja -C "$build" --quiet
export BUILD_DIR="$PWD/$build"
echo "== membership: bytes, messages and CPU by the number of members"
"$build/bin/member_bench" 48 96 192
echo "== configuration: sizes, memory and CPU"
"$build/bin/config_bench"
echo "== real nodes: convergence, bytes, memory, CPU"
scripts/convergence_bench.py 12 24 --changes 3 --rest-seconds 5
echo "== calls: added latency and CPU per call"
scripts/latency_bench.py
