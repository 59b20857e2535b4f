"""Starts a mesh of real processes on loopback, for the demo and the benchmarks.

On exit, also after an error, `Mesh` kills by process id every process that it started.
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


def wait_for(description, condition, timeout_s=30):
    """Polls `condition` until it returns a true value, and returns that value."""
    deadline = time.monotonic() + timeout_s
    while True:
        value = condition()
        if value:
            return value
        if time.monotonic() > deadline:
            raise MeshError(f"timed out after {timeout_s} s: {description}")
        time.sleep(0.05)


class Process:
    """A child process that prints its addresses in a ready line, the first line of its output."""

    def __init__(self, name, command, directory):
        self.name = name
        self.log_path = directory / f"{name}.log"
        self._log_file = open(self.log_path, "w", encoding="utf-8")
        self.child = subprocess.Popen(
            command, stdout=subprocess.PIPE, stderr=self._log_file, text=True
        )
        self.ready_line = self._read_ready_line()

    def _read_ready_line(self):
        line = self.child.stdout.readline().strip()
        if not line:
            raise MeshError(f"{self.name} did not start:\n{self.log_path.read_text()}")
        return line

    def address(self, name):
        """Returns the address called `name` from a ready line `ready NAME=IP:PORT ...`."""
        for item in self.ready_line.split():
            if item.startswith(name + "="):
                return item.split("=", 1)[1]
        raise MeshError(f"{self.name} printed no address for {name}: {self.ready_line}")

    @property
    def pid(self):
        return self.child.pid

    def send(self, signal_number):
        self.child.send_signal(signal_number)

    def stop(self):
        """Stops the process gracefully, also when it is paused; returns the exit code."""
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
    """A stand-in platform, nodes and upstreams, as a context manager."""

    def __init__(self, name, build_dir=None):
        self.bin_dir = (
            pathlib.Path(build_dir or os.environ.get("BUILD_DIR", ROOT / "build")) / "bin"
        )
        self.name = name
        self.directory = pathlib.Path(tempfile.mkdtemp(prefix=f"camphorhoist-{name}-"))
        self.processes = []
        self.platform = None
        self.nodes = []
        self.nodes_started = 0
        self.upstreams = []

    def __enter__(self):
        return self

    def __exit__(self, exc_type, exc_value, traceback):
        for process in self.processes:
            process.kill()

    def _start(self, name, command):
        process = Process(name, [str(part) for part in command], self.directory)
        self.processes.append(process)
        return process

    def start_platform(self):
        self.platform = self._start(
            "platform", [self.bin_dir / "standin_platform", "--listen", "127.0.0.1:0"]
        )
        return self.platform

    @property
    def platform_address(self):
        return self.platform.ready_line.split()[-1]

    def start_node(self, data_centre, region="r1", extra=(), node_listen="127.0.0.1:0"):
        # Two seeds are enough to join: the first and the last node, which are in the first and the
        # last data centre.
        seeds = [node.address("node") for node in (self.nodes[:1] + self.nodes[-1:])]
        command = [
            self.bin_dir / "camphorhoistd",
            f"--mesh={self.name}",
            f"--data-centre={data_centre}",
            f"--region={region}",
            "--caller-listen=127.0.0.1:0",
            f"--node-listen={node_listen}",
            f"--platform={self.platform_address}",
        ]
        if seeds:
            command.append("--seeds=" + ",".join(seeds))
        # Numbered by starts, so that a node that replaces a killed one has its own log file.
        self.nodes_started += 1
        node = self._start(f"node{self.nodes_started}", command + list(extra))
        node.data_centre = data_centre
        self.nodes.append(node)
        return node

    def start_upstream(self, service, nodes, slots=6, service_ms=1, extra=()):
        command = [
            self.bin_dir / "standin_upstream",
            "--listen=127.0.0.1:0",
            f"--service={service}",
            "--node=" + ",".join(node.address("upstream") for node in nodes),
            f"--slots={slots}",
            f"--service-ms={service_ms}",
            f"--seed={len(self.upstreams) + 1}",
        ]
        upstream = self._start(f"upstream{len(self.upstreams) + 1}", command + list(extra))
        upstream.service = service
        upstream.home_node = nodes[0]
        self.upstreams.append(upstream)
        return upstream

    @staticmethod
    def upstream_address(upstream):
        return upstream.ready_line.split()[-1]

    def cli(self, node, *arguments, expect=0, output="json"):
        """Runs the operator CLI and returns its output, parsed if it is JSON.

        Raises MeshError if the exit code is not `expect`.
        """
        command = [str(self.bin_dir / "camphorhoist"), *arguments]
        command += [f"--node={node.address('operator')}", f"--output={output}"]
        result = subprocess.run(command, capture_output=True, text=True, timeout=60, check=False)
        if result.returncode != expect:
            raise MeshError(
                f"{' '.join(command)}: exit code {result.returncode}, expected {expect}\n"
                f"{result.stdout}{result.stderr}"
            )
        return json.loads(result.stdout) if output == "json" and result.stdout else result.stdout

    def status(self, node):
        return self.cli(node, "status")

    def wait_live_members(self, count, timeout_s=30):
        """Waits until every node sees `count` live members."""
        for node in self.nodes:
            wait_for(
                f"{node.name} sees {count} members",
                lambda node=node: self.cli(node, "dump")["members"]["live"] == count,
                timeout_s,
            )

    def wait_endpoints(self, service, count, nodes=None):
        """Waits until the nodes (default: all) see `count` serving endpoints of `service`."""
        for node in nodes or self.nodes:
            wait_for(
                f"{node.name} sees {count} endpoints of {service}",
                lambda node=node: len(self.cli(node, "dump")["endpoints"].get(service, []))
                == count,
            )
