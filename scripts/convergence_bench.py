#!/usr/bin/env python3
"""Measures convergence time and control-plane cost of a mesh of real daemon processes on loopback.

The nodes are spread over 7 data centres in 2 regions. For each mesh size, one run loads a
configuration, measures the idle mesh, applies changes of one record each, then kills half of the
nodes and restarts them. Each run prints its row as text and as one line of JSON; at the end the
least-squares slope per node of each figure is printed.

Convergence times are taken from the daemons' log lines `config event=applied`, relative to that
line of the node that accepted the change, which it writes just before it responds to the CLI.
Resident memory (VmRSS in /proc) includes the pages of the program and its libraries in full for
each process; private memory (RssAnon) excludes them.
"""

import argparse
import concurrent.futures
import datetime
import http.client
import json
import math
import pathlib
import random
import re
import sys
import time

from mesh import Mesh, MeshError, wait_for

MAX_NODES = 96
MAX_TOTAL_KB = 4 << 20
# Data centre and region of each place: the design target has 7 data centres in 2 regions.
PLACES = [(f"dc{i + 1}", "r1" if i < 4 else "r2") for i in range(7)]
DESTINATIONS_PER_ROUTE = 3
CONVERGENCE_BOUND_S = 15
RESTART_TIMEOUT_S = 40
POLL_INTERVAL_S = 0.02
DUMP_PATH = "/v1/dump"
APPLIED_LINE = re.compile(
    r"^time=(\S+)Z .*module=config event=applied version=(\S+) ", re.MULTILINE
)
MAX_RECORDS_PER_CHANGE = 1000
NODE_FLAGS = {
    "default": [],
    "baseline": ["--watch=all", "--config-transfer=full"],
}


def quantile(values, q):
    """Returns the q-quantile by the nearest-rank method, or None without values."""
    ordered = sorted(values)
    return ordered[max(0, math.ceil(q * len(ordered)) - 1)] if ordered else None


def service(number, timeout_ms=2000):
    return {"schema": 1, "kind": "service", "name": f"service-{number}", "timeout_ms": timeout_ms}


def route(number, services):
    return {
        "schema": 2,
        "kind": "route",
        "name": f"route-{number}",
        "match": {"path_prefix": f"/area-{number % 40}/path-{number}", "methods": ["GET", "POST"]},
        "destinations": [
            {"service": f"service-{(number + i) % services}", "weight": i + 1}
            for i in range(min(DESTINATIONS_PER_ROUTE, services))
        ],
        "timeout_ms": 1500,
    }


def applied_times(node):
    """Returns from a node's log the Unix time at which each version came into force, by version."""
    times = {}
    for stamp, version in APPLIED_LINE.findall(node.log_path.read_text()):
        moment = datetime.datetime.fromisoformat(stamp + "+00:00")
        times[version] = moment.timestamp()
    return times


def request_json(address, path):
    host, port = address.split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=10)
    try:
        connection.request("GET", path)
        return json.loads(connection.getresponse().read())
    finally:
        connection.close()


class Bench:
    """One run: a mesh of one size with one kind of node flags."""

    def __init__(self, mesh, options, kind, count):
        self.mesh = mesh
        self.options = options
        self.kind = kind
        self.count = count
        self.row = {"kind": kind, "nodes": count, "seed": options.seed}
        self.random = random.Random(options.seed)

    def start_node(self, place, node_listen="127.0.0.1:0"):
        data_centre, region = place
        node = self.mesh.start_node(
            data_centre, region, extra=NODE_FLAGS[self.kind], node_listen=node_listen
        )
        node.place = place
        return node

    def dump(self, node):
        return request_json(node.address("operator"), DUMP_PATH)

    def dumps(self):
        with concurrent.futures.ThreadPoolExecutor(8) as pool:
            return list(pool.map(self.dump, self.mesh.nodes))

    def meter(self):
        return request_json(self.mesh.platform_address, "/meter")

    def platform_calls(self):
        return sum(self.meter()["calls"].values())

    def traffic(self):
        """Returns the UDP and RPC bytes sent, summed over the nodes.

        Received bytes are left out, because one node receives what another sends.
        """
        dumps = self.dumps()
        udp = sum(it["members"]["datagram_bytes_sent"] for it in dumps)
        rpc = sum(it["node_connections"]["bytes_sent"] for it in dumps)
        return udp, rpc

    def cpu_seconds(self):
        return sum(thread_cpu_seconds(node) for node in self.mesh.nodes)

    def check_memory(self):
        total = sum(node.resident_kb() for node in self.mesh.nodes)
        if total > MAX_TOTAL_KB:
            raise MeshError(f"the nodes hold {total} KB, more than {MAX_TOTAL_KB} KB")

    def start(self):
        began = time.monotonic()
        self.mesh.start_platform()
        for i in range(self.count):
            self.start_node(PLACES[i % len(PLACES)])
        self.row["start_s"] = round(time.monotonic() - began, 2)
        self.wait_full_membership(began)

    def wait_full_membership(self, began):
        """Waits until every node sees all members, at most `--join-seconds`.

        A mesh that misses this bound is measured in the state that it is in.
        """
        while True:
            views = [it["members"]["live"] for it in self.dumps()]
            seconds = time.monotonic() - began
            if min(views) == self.count or seconds > self.options.join_seconds:
                break
            time.sleep(0.1)
        self.row["joined_s"] = round(seconds, 2)
        self.row["incomplete_views"] = sum(it < self.count for it in views)

    def apply(self, node, records):
        path = self.mesh.directory / "change.json"
        path.write_text(json.dumps({"records": records}), encoding="utf-8")
        began = time.monotonic()
        result = self.mesh.cli(node, "apply", "-f", str(path))
        if result["outcome"] != "accepted":
            raise MeshError(f"change not accepted: {result}")
        return result["version"], time.monotonic() - began

    def wait_in_force(self, version):
        wait_for(
            f"{version} in force on {self.count} nodes",
            lambda: all(version in applied_times(node) for node in self.mesh.nodes),
            2 * CONVERGENCE_BOUND_S,
        )

    def load_configuration(self):
        services = self.options.services
        records = [service(i) for i in range(services)]
        records += [route(i, services) for i in range(self.options.routes)]
        for i in range(0, len(records), MAX_RECORDS_PER_CHANGE):
            node = self.mesh.nodes[0]
            version, _ = self.apply(node, records[i : i + MAX_RECORDS_PER_CHANGE])
            self.wait_in_force(version)
            delays = self.delays(version, node)
            self.row["load_max_ms"] = round(max(delays))

    def delays(self, version, accepting):
        """Returns the ms from acceptance to in force on each node but the accepting one."""
        origin = applied_times(accepting)[version]
        return [
            (applied_times(it)[version] - origin) * 1000
            for it in self.mesh.nodes
            if it is not accepting
        ]

    def measure_idle(self):
        time.sleep(self.options.settle_seconds)
        udp, rpc = self.traffic()
        # The dumps in `traffic` use CPU time of the nodes, so the CPU interval excludes them.
        began, cpu, calls = time.monotonic(), self.cpu_seconds(), self.platform_calls()
        time.sleep(self.options.rest_seconds)
        seconds = time.monotonic() - began
        cpu, calls = self.cpu_seconds() - cpu, self.platform_calls() - calls
        udp_end, rpc_end = self.traffic()
        nodes = self.count
        self.row.update(
            rest_bytes_per_s=round((udp_end - udp + rpc_end - rpc) / seconds / nodes, 1),
            rest_udp_bytes_per_s=round((udp_end - udp) / seconds / nodes, 1),
            rest_platform_calls_per_s=round(calls / seconds, 3),
            rest_cpu_percent=round(cpu / seconds / nodes * 100, 3),
        )
        self.idle_byte_rates = ((udp_end - udp) / seconds, (rpc_end - rpc) / seconds)
        self.idle_platform_calls_per_s = self.row["rest_platform_calls_per_s"]

    def measure_changes(self):
        delays, response_times = [], []
        versions = []
        began, (udp, rpc), calls = time.monotonic(), self.traffic(), self.platform_calls()
        for i in range(self.options.changes):
            node = self.random.choice(self.mesh.nodes)
            record = service(self.random.randrange(self.options.services), 2001 + i)
            version, response_time = self.apply(node, [record])
            response_times.append(response_time * 1000)
            versions.append((version, node))
            time.sleep(self.options.change_seconds)
        for version, node in versions:
            self.wait_in_force(version)
            delays += self.delays(version, node)
        udp_end, rpc_end = self.traffic()
        seconds = time.monotonic() - began
        count = self.options.changes
        udp_extra = udp_end - udp - self.idle_byte_rates[0] * seconds
        rpc_extra = rpc_end - rpc - self.idle_byte_rates[1] * seconds
        calls_extra = self.platform_calls() - calls - self.idle_platform_calls_per_s * seconds
        self.row.update(
            changes=count,
            converge_p50_ms=round(quantile(delays, 0.5)),
            converge_p99_ms=round(quantile(delays, 0.99)),
            converge_max_ms=round(max(delays)),
            answer_p50_ms=round(quantile(response_times, 0.5)),
            change_udp_bytes=round(udp_extra / count / self.count),
            change_rpc_bytes=round(rpc_extra / count / self.count),
            change_platform_calls=round(calls_extra / count, 2),
        )

    def measure_memory(self):
        self.check_memory()
        resident = [node.resident_kb() for node in self.mesh.nodes]
        private = [private_kb(node) for node in self.mesh.nodes]
        self.row.update(
            resident_mb=round(max(resident) / 1024, 2),
            private_mb=round(max(private) / 1024, 2),
        )

    def measure_restart_storm(self):
        """Kills half of the nodes and restarts them on the same node addresses."""
        victims = self.random.sample(self.mesh.nodes, self.count // 2)
        calls_before_kill = self.platform_calls()
        for node in victims:
            node.kill()
            self.mesh.nodes.remove(node)
        time.sleep(self.options.down_seconds)
        began = time.monotonic()
        calls_at_restart = self.platform_calls()
        restarted = [
            self.start_node(node.place, node_listen=node.address("node")) for node in victims
        ]
        self.row["storm_start_s"] = round(time.monotonic() - began, 2)
        peak = 0.0
        pending = list(restarted)
        last, last_calls = time.monotonic(), calls_at_restart
        deadline = began + RESTART_TIMEOUT_S
        serving = []
        while pending and time.monotonic() < deadline:
            for node in list(pending):
                if self.dump(node)["config"]["may_serve"] and applied_times(node):
                    pending.remove(node)
                    serving.append(time.monotonic() - began)
            if time.monotonic() - last >= 1:
                now, count = time.monotonic(), self.platform_calls()
                peak = max(peak, (count - last_calls) / (now - last))
                last, last_calls = now, count
            time.sleep(POLL_INTERVAL_S)
        if pending:
            raise MeshError(f"{len(pending)} nodes do not serve after {RESTART_TIMEOUT_S} s")
        seconds = time.monotonic() - began
        total = self.platform_calls() - calls_at_restart
        peak = max(peak, (self.platform_calls() - last_calls) / max(1, time.monotonic() - last))
        self.row.update(
            storm_serving_s=round(max(serving), 2),
            storm_platform_calls=total,
            storm_calls_per_s=round(total / seconds, 2),
            storm_peak_calls_per_s=round(peak, 2),
            storm_down_calls=calls_at_restart - calls_before_kill,
            storm_process_serving_ms=round(1000 * max(process_start_delay(it) for it in restarted)),
        )

    def run(self):
        began = time.monotonic()
        self.start()
        self.load_configuration()
        self.measure_idle()
        self.measure_changes()
        self.measure_memory()
        self.measure_restart_storm()
        self.row["row_s"] = round(time.monotonic() - began, 1)
        return self.row


def thread_cpu_seconds(node):
    """Returns the CPU time of a node's threads, at the resolution of the scheduler."""
    tasks = pathlib.Path(f"/proc/{node.pid}/task").glob("*/schedstat")
    return sum(int(it.read_text().split()[0]) for it in tasks) / 1e9


def private_kb(node):
    for line in pathlib.Path(f"/proc/{node.pid}/status").read_text().splitlines():
        if line.startswith("RssAnon:"):
            return int(line.split()[1])
    return 0


def process_start_delay(node):
    """Returns the seconds from a process's log line `started` to its first version in force."""
    started = re.search(r"^time=(\S+)Z .*event=started", node.log_path.read_text(), re.MULTILINE)
    moment = datetime.datetime.fromisoformat(started.group(1) + "+00:00").timestamp()
    return min(applied_times(node).values()) - moment


def slope(points):
    """Returns the least-squares slope of (x, y) points, or None if all x are equal."""
    mean_x = sum(x for x, _ in points) / len(points)
    mean_y = sum(y for _, y in points) / len(points)
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    return sum((x - mean_x) * (y - mean_y) for x, y in points) / spread if spread else None


def print_slopes(rows):
    for kind in NODE_FLAGS:
        kind_rows = [row for row in rows if row["kind"] == kind]
        if len({row["nodes"] for row in kind_rows}) < 2:
            continue
        slopes = {"kind": kind, "slopes_per_node": {}}
        for key, value in kind_rows[0].items():
            if isinstance(value, (int, float)) and key not in ("nodes", "seed", "changes", "row_s"):
                figure = slope([(row["nodes"], row[key]) for row in kind_rows])
                slopes["slopes_per_node"][key] = float(f"{figure:.4g}")
        print(json.dumps(slopes), flush=True)


def parse_arguments():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("nodes", nargs="*", type=int, help="sizes (default 12 24 48)")
    parser.add_argument("--baseline", action="store_true", help="also run the baselines")
    parser.add_argument("--only-baseline", action="store_true", help="run the baselines alone")
    parser.add_argument("--services", type=int, default=240)
    parser.add_argument("--routes", type=int, default=760)
    parser.add_argument("--changes", type=int, default=4)
    parser.add_argument("--join-seconds", type=float, default=CONVERGENCE_BOUND_S)
    parser.add_argument("--change-seconds", type=float, default=2)
    parser.add_argument("--settle-seconds", type=float, default=4)
    parser.add_argument("--rest-seconds", type=float, default=10)
    parser.add_argument("--down-seconds", type=float, default=1)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--rows", help="file to which the JSON rows are appended")
    parser.add_argument("--slopes-of", help="only print the slopes of the rows of this file")
    options = parser.parse_args()
    options.nodes = options.nodes or [12, 24, 48]
    if any(not 2 <= it <= MAX_NODES for it in options.nodes):
        parser.error(f"sizes are 2 to {MAX_NODES}")
    return options


def measure(options, kind, count):
    with Mesh("convergence") as mesh:
        row = Bench(mesh, options, kind, count).run()
    print(" ".join(f"{key}={value}" for key, value in row.items()), flush=True)
    print(json.dumps(row), flush=True)
    if options.rows:
        with open(options.rows, "a", encoding="utf-8") as file:
            file.write(json.dumps(row) + "\n")
    return row


def main():
    options = parse_arguments()
    if options.slopes_of:
        lines = pathlib.Path(options.slopes_of).read_text().splitlines()
        print_slopes([json.loads(line) for line in lines])
        return 0
    kinds = ["baseline"] if options.only_baseline else ["default"]
    if options.baseline and not options.only_baseline:
        kinds.append("baseline")
    rows = []
    try:
        for count in options.nodes:
            for kind in kinds:
                rows.append(measure(options, kind, count))
    except MeshError as error:
        print(f"convergence_bench: FAILED: {error}", file=sys.stderr)
        return 1
    print_slopes(rows)
    return 0


if __name__ == "__main__":
    sys.exit(main())
