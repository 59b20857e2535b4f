#!/usr/bin/env python3
"""Measures the latency that the mesh adds to a call and the CPU time per call on each node.

One upstream with a fixed service time is called directly, through its own node, and through another
node, with the same seeds and rates. Callers' results are compared with the upstream's ledger.
"""

import argparse
import json
import subprocess
import sys

from mesh import Mesh, MeshError

ADDED_LATENCY_BOUND_MS = 0.96
RECORDS = [
    {"schema": 1, "kind": "service", "name": "orders"},
    {
        "schema": 1,
        "kind": "route",
        "name": "orders",
        "match": {"path_prefix": "/"},
        "service": "orders",
    },
]


def run_load(mesh, name, target, rate, options):
    """Runs the load tool; returns its totals and each node's CPU time per call in microseconds."""
    report_path = mesh.directory / f"{name}-{rate}.json"
    before = [node.cpu_seconds() for node in mesh.nodes]
    result = subprocess.run(
        [
            str(mesh.bin_dir / "camphorhoist_load"),
            f"--target={target}",
            f"--rate={rate}",
            f"--duration-s={options.seconds}",
            f"--seed={options.seed}",
            f"--json={report_path}",
            f"--check-ledger={mesh.upstream_address(mesh.upstreams[0])}",
        ],
        capture_output=True,
        text=True,
        timeout=120,
        check=False,
    )
    if result.returncode != 0:
        raise MeshError(f"{name} at {rate}/s: {result.stdout}{result.stderr}")
    total = json.loads(report_path.read_text())["total"]
    cpu = [node.cpu_seconds() - start for node, start in zip(mesh.nodes, before)]
    return total, [round(1e6 * it / total["requests"]) for it in cpu]


def run(mesh, options):
    mesh.start_platform()
    for _ in range(2):
        mesh.start_node("dc1", extra=options.node_flag)
    mesh.wait_live_members(2)
    upstream = mesh.start_upstream(
        "orders", [mesh.nodes[0]], slots=options.slots, service_ms=options.service_ms
    )
    mesh.wait_endpoints("orders", 1)
    path = mesh.directory / "records.json"
    path.write_text(json.dumps(RECORDS), encoding="utf-8")
    mesh.cli(mesh.nodes[0], "apply", "-f", str(path), "--wait-seconds=15")
    targets = {
        "direct": mesh.upstream_address(upstream),
        "own node": mesh.nodes[0].address("caller"),
        "other node": mesh.nodes[1].address("caller"),
    }
    for rate in options.rates:
        direct = None
        for name, target in targets.items():
            total, cpu = run_load(mesh, name.replace(" ", "-"), target, rate, options)
            direct = direct or total
            row = {
                "path": name,
                "rate": rate,
                "requests": total["requests"],
                "answered": total["answered"],
                "p50_ms": total["p50_ms"],
                "p99_ms": total["p99_ms"],
                "added_p50_ms": round(total["p50_ms"] - direct["p50_ms"], 3),
                "added_p99_ms": round(total["p99_ms"] - direct["p99_ms"], 3),
                "bound_ms": ADDED_LATENCY_BOUND_MS,
                "cpu_us_per_call": cpu,
            }
            print(json.dumps(row), flush=True)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("rates", nargs="*", type=int, default=[100, 300, 1000])
    parser.add_argument("--seconds", type=int, default=4)
    parser.add_argument("--seed", type=int, default=3)
    parser.add_argument("--slots", type=int, default=12)
    parser.add_argument("--service-ms", type=int, default=1)
    parser.add_argument("--node-flag", action="append", default=[], help="flag for the nodes")
    try:
        with Mesh("latency") as mesh:
            run(mesh, parser.parse_args())
    except MeshError as error:
        print(f"latency_bench: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
