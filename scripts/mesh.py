"""Starts a mesh of real processes on loopback, for the demo and the measurements.

Every process is started by this script and ended by it, by process id, also after an error.
"""

import json
import os
import pathlib
import signal
import subprocess
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
READY_TIMEOUT_S = 20
STOP_TIMEOUT_S = 40


class MeshError(Exception):
    """A process or a request did not behave as expected."""


def wait_for(what, condition, timeout_s=30):
    """Polls `condition` until it returns a true value, which is returned."""
    limit = time.monotonic() + timeout_s
    while True:
        value = condition()
        if value:
            return value
        if time.monotonic() > limit:
            raise MeshError(f"timed out after {timeout_s} s: {what}")
        time.sleep(0.05)


class Process:
    """One child process whose first output line tells its addresses."""

    def __init__(self, name, command, directory):
        self.name = name
        self.log = directory / f"{name}.log"
        self._log_file = open(self.log, "w", encoding="utf-8")
        self.child = subprocess.Popen(
            command, stdout=subprocess.PIPE, stderr=self._log_file, text=True
        )
        self.ready = self._read_ready()

    def _read_ready(self):
        line = self.child.stdout.readline().strip()
        if not line:
            raise MeshError(f"{self.name} did not start:\n{self.log.read_text()}")
        return line

    def address(self, name):
        """An address from a ready line of the form `ready caller=IP:PORT ...`."""
        for item in self.ready.split():
            if item.startswith(name + "="):
                return item.split("=", 1)[1]
        raise MeshError(f"{self.name} printed no address for {name}: {self.ready}")

    @property
    def pid(self):
        return self.child.pid

    def send(self, number):
        self.child.send_signal(number)

    def stop(self):
        """Graceful stop; returns the exit code."""
        if self.child.poll() is None:
            self.child.send_signal(signal.SIGCONT)
            self.child.terminate()
        return self.child.wait(STOP_TIMEOUT_S)

    def kill(self):
        if self.child.poll() is None:
            self.child.kill()
        self.child.wait()

    def resident_kb(self):
        for line in pathlib.Path(f"/proc/{self.pid}/status").read_text().splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1])
        return 0

    def cpu_seconds(self):
        fields = pathlib.Path(f"/proc/{self.pid}/stat").read_text().rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


class Mesh:
    """A platform, nodes and upstreams. Use as a context manager."""

    def __init__(self, name, build=None):
        self.bin = pathlib.Path(build or os.environ.get("BUILD_DIR", ROOT / "build")) / "bin"
        self.name = name
        self.directory = pathlib.Path(tempfile.mkdtemp(prefix=f"camphorhoist-{name}-"))
        self.processes = []
        self.platform = None
        self.nodes = []
        self.nodes_started = 0
        self.upstreams = []

    def __enter__(self):
        return self

    def __exit__(self, kind, value, trace):
        for process in self.processes:
            process.kill()

    def _start(self, name, command):
        process = Process(name, [str(part) for part in command], self.directory)
        self.processes.append(process)
        return process

    def start_platform(self):
        self.platform = self._start(
            "platform", [self.bin / "standin_platform", "--listen", "127.0.0.1:0"]
        )
        return self.platform

    @property
    def platform_address(self):
        return self.platform.ready.split()[-1]

    def start_node(self, data_centre, region="r1", extra=(), node_listen="127.0.0.1:0"):
        # Two seeds, of the first data centre and of the last, are enough to join.
        seeds = [node.address("node") for node in (self.nodes[:1] + self.nodes[-1:])]
        command = [
            self.bin / "camphorhoistd",
            f"--mesh={self.name}",
            f"--data-centre={data_centre}",
            f"--region={region}",
            "--caller-listen=127.0.0.1:0",
            f"--node-listen={node_listen}",
            f"--platform={self.platform_address}",
        ]
        if seeds:
            command.append("--seeds=" + ",".join(seeds))
        # A node that replaces one that was killed gets a log of its own.
        self.nodes_started += 1
        node = self._start(f"node{self.nodes_started}", command + list(extra))
        node.data_centre = data_centre
        self.nodes.append(node)
        return node

    def start_upstream(self, service, nodes, slots=6, service_ms=1, extra=()):
        command = [
            self.bin / "standin_upstream",
            "--listen=127.0.0.1:0",
            f"--service={service}",
            "--node=" + ",".join(node.address("upstream") for node in nodes),
            f"--slots={slots}",
            f"--service-ms={service_ms}",
            f"--seed={len(self.upstreams) + 1}",
        ]
        upstream = self._start(f"upstream{len(self.upstreams) + 1}", command + list(extra))
        upstream.service = service
        upstream.home = nodes[0]
        self.upstreams.append(upstream)
        return upstream

    @staticmethod
    def upstream_address(upstream):
        return upstream.ready.split()[-1]

    def cli(self, node, *arguments, expect=0, output="json"):
        """Runs the operator CLI; returns the parsed JSON output."""
        command = [str(self.bin / "camphorhoist"), *arguments]
        command += [f"--node={node.address('operator')}", f"--output={output}"]
        done = subprocess.run(command, capture_output=True, text=True, timeout=60, check=False)
        if done.returncode != expect:
            raise MeshError(
                f"{' '.join(command)}: exit code {done.returncode}, expected {expect}\n"
                f"{done.stdout}{done.stderr}"
            )
        return json.loads(done.stdout) if output == "json" and done.stdout else done.stdout

    def status(self, node):
        return self.cli(node, "status")

    def wait_joined(self, count, timeout_s=30):
        """Waits until every node sees `count` live members."""
        for node in self.nodes:
            wait_for(
                f"{node.name} sees {count} members",
                lambda node=node: self.cli(node, "dump")["members"]["live"] == count,
                timeout_s,
            )

    def wait_endpoints(self, service, count, nodes=None):
        """Waits until the nodes see `count` serving endpoints of `service`."""
        for node in nodes or self.nodes:
            wait_for(
                f"{node.name} sees {count} endpoints of {service}",
                lambda node=node: len(self.cli(node, "dump")["endpoints"].get(service, []))
                == count,
            )
