#!/usr/bin/env python3
"""Runs the main use case end to end on loopback and checks every step before printing it.

Starts a stand-in platform, three nodes in two data centres and four upstreams. An operator changes
the configuration twice, the second time while callers send requests; meanwhile one node is stopped
gracefully.
"""

import http.client
import json
import signal
import subprocess
import sys
import time

from mesh import Mesh, MeshError, wait_for

LOAD_RATE_PER_S = 200
LOAD_DURATION_S = 10
CONVERGENCE_BOUND_S = 15

FIRST_CHANGE = [
    {"schema": 1, "kind": "service", "name": "orders", "timeout_ms": 3000},
    {"schema": 1, "kind": "service", "name": "inventory"},
    {
        "schema": 1,
        "kind": "route",
        "name": "orders",
        "match": {"path_prefix": "/orders"},
        "service": "orders",
    },
    {
        "schema": 2,
        "kind": "route",
        "name": "catalogue",
        "match": {"path_prefix": "/catalogue"},
        "destinations": [{"service": "orders", "weight": 1}],
    },
]
SECOND_CHANGE = [
    {
        "schema": 2,
        "kind": "route",
        "name": "catalogue",
        "match": {"path_prefix": "/catalogue"},
        "destinations": [{"service": "inventory", "weight": 1}],
    }
]
INVALID_CHANGE = [
    {
        "schema": 2,
        "kind": "route",
        "name": "lost",
        "match": {"path_prefix": "/lost"},
        "destinations": [{"service": "no-such-service", "weight": 1}],
    }
]


def require(condition, message):
    if not condition:
        raise MeshError(message)


def print_step(text):
    print(f"demo: {text}", flush=True)


def call(node, method, path, body=None):
    """Sends one request as a caller; returns status, outcome header and body."""
    host, port = node.address("caller").split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=10)
    connection.request(method, path, body=body, headers={"X-Request-Key": f"demo-{path}"})
    response = connection.getresponse()
    body_text = response.read().decode()
    connection.close()
    return response.status, response.getheader("X-Camphorhoist-Outcome"), body_text


def apply_change(mesh, node, records, expect=0):
    path = mesh.directory / "change.json"
    path.write_text(json.dumps({"records": records}), encoding="utf-8")
    extra = [f"--wait-seconds={CONVERGENCE_BOUND_S}"] if expect == 0 else []
    return mesh.cli(node, "apply", "-f", str(path), *extra, expect=expect)


def check_calls(mesh):
    for node in mesh.nodes[:2]:
        for method, path in (("GET", "/orders/17"), ("POST", "/orders/18")):
            status, outcome, text = call(node, method, path, "x" if method == "POST" else None)
            require((status, outcome) == (200, "answered"), f"{method} {path}: {status} {text}")
            response = json.loads(text)
            require(response["method"] == method, f"answer to another method: {text}")
            require(response["path"] == path, f"answer to another path: {text}")
    status, outcome, _ = call(mesh.nodes[0], "GET", "/nowhere")
    require((status, outcome) == (404, "not-run"), f"no route: {status} {outcome}")
    print_step("GET and POST answered through two nodes; a path without a route is 404 not-run")


def check_versions(mesh, version):
    """Checks that every node has `version` in force and waits until its status shows it for all."""
    for node in mesh.nodes:
        in_force = mesh.status(node)["version"]
        require(in_force == version, f"{node.name} has {in_force} in force, not {version}")
    for node in mesh.nodes:
        wait_for(
            f"{node.name} reports {version} for all nodes",
            lambda node=node: {it["version"] for it in mesh.status(node)["members"]} == {version},
            CONVERGENCE_BOUND_S,
        )


def service_of(mesh, text):
    """Returns the service of the upstream that sent this response, by the instance id in it."""
    instance = json.loads(text)["instance"]
    for upstream in mesh.upstreams:
        if instance.endswith(f"-{upstream.pid}"):
            return upstream.service
    raise MeshError(f"response of an unknown instance: {text}")


def start_load(mesh):
    mix = [
        {"name": "lookup", "weight": 4, "path": "/catalogue/lots"},
        {"name": "order", "weight": 1, "method": "POST", "path": "/orders/new", "body_bytes": 200},
    ]
    ledgers = ",".join(mesh.upstream_address(it) for it in mesh.upstreams)
    return subprocess.Popen(
        [
            str(mesh.bin_dir / "camphorhoist_load"),
            "--target=" + ",".join(node.address("caller") for node in mesh.nodes[:2]),
            f"--rate={LOAD_RATE_PER_S}",
            f"--duration-s={LOAD_DURATION_S}",
            "--mix=" + json.dumps(mix),
            f"--json={mesh.directory / 'load.json'}",
            f"--results={mesh.directory / 'results.csv'}",
            f"--check-ledger={ledgers}",
        ],
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
    )


def move_traffic(mesh):
    status, _, text = call(mesh.nodes[0], "GET", "/catalogue/1")
    require(status == 200 and service_of(mesh, text) == "orders", f"before: {status} {text}")
    started = time.monotonic()
    result = apply_change(mesh, mesh.nodes[1], SECOND_CHANGE)
    seconds = time.monotonic() - started
    require(result["outcome"] == "accepted", f"second change: {result}")
    check_versions(mesh, result["version"])
    for node in mesh.nodes:
        status, _, text = call(node, "GET", "/catalogue/1")
        require(service_of(mesh, text) == "inventory", f"after: {status} {text}")
    print_step(
        f"second change accepted as {result['version']}, in force on every node after "
        f"{seconds:.2f} s, traffic of one route moved to another service"
    )


def stop_node(mesh):
    node = mesh.nodes[2]
    started = time.monotonic()
    code = node.stop()
    require(code == 0, f"{node.name} exited with {code}")
    print_step(
        f"one node stopped gracefully on SIGTERM in {time.monotonic() - started:.2f} s, exit 0"
    )
    mesh.nodes.pop()


def check_load(mesh, load):
    output, _ = load.communicate(timeout=90)
    require(load.returncode == 0, f"load tool exited with {load.returncode}:\n{output}")
    report = json.loads((mesh.directory / "load.json").read_text())
    total = report["total"]
    require(total["answered"] == total["requests"], f"failed calls: {total['outcomes']}")
    require(not report["wrong_answers"], f"wrong answers: {report['wrong_answers'][:3]}")
    require(not report["violations"], f"violations: {report['violations'][:3]}")
    require(total["requests"] > LOAD_RATE_PER_S * LOAD_DURATION_S / 2, f"too few requests: {total}")
    print_step(
        f"{total['requests']} calls during both events: all answered whole, none run twice "
        f"(compared with the upstreams' ledgers), p99 {total['p99_ms']:.1f} ms"
    )


def stop_all(mesh):
    for process in mesh.nodes + mesh.upstreams + [mesh.platform]:
        code = process.stop()
        require(code == 0, f"{process.name} exited with {code}")
    print_step("every process stopped gracefully with exit code 0")


def run(mesh):
    mesh.start_platform()
    for data_centre in ("dc1", "dc1", "dc2"):
        mesh.start_node(data_centre)
    mesh.wait_live_members(3)
    print_step("platform and three nodes in two data centres run, each node sees all three")
    for number, service in enumerate(("orders", "orders", "inventory", "inventory")):
        # The first address is the home node, the second the fallback after its graceful stop.
        home_node = mesh.nodes[number % 3]
        mesh.start_upstream(service, [home_node, mesh.nodes[0] if number % 3 else mesh.nodes[1]])
    for service in ("orders", "inventory"):
        mesh.wait_endpoints(service, 2)
    print_step("four upstreams announced themselves and are known on every node")

    result = apply_change(mesh, mesh.nodes[0], FIRST_CHANGE)
    require(result["outcome"] == "accepted", f"first change: {result}")
    check_versions(mesh, result["version"])
    print_step(
        f"first change (two schema versions) accepted as {result['version']}, in force everywhere"
    )
    rejected = apply_change(mesh, mesh.nodes[1], INVALID_CHANGE, expect=1)
    require(rejected["outcome"] == "rejected" and rejected["findings"], f"bad change: {rejected}")
    check_versions(mesh, result["version"])
    print_step(f"a route to a missing service is rejected: {rejected['findings'][0]}")
    check_calls(mesh)

    load = start_load(mesh)
    try:
        time.sleep(1)
        move_traffic(mesh)
        stop_node(mesh)
        check_load(mesh, load)
    finally:
        if load.poll() is None:
            load.send_signal(signal.SIGKILL)
    stop_all(mesh)


def main():
    try:
        with Mesh("demo") as mesh:
            run(mesh)
    except MeshError as error:
        print(f"demo: FAILED: {error}", file=sys.stderr)
        return 1
    print("demo: passed")
    return 0


if __name__ == "__main__":
    sys.exit(main())
