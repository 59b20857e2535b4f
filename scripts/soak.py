#!/usr/bin/env python3
"""Randomized soak test of camphorhoist_sidecar: real processes on loopback with injected faults.

Starts a stand-in store and a number of sidecars, each with one upstream and several callers, and
injects overlapping faults: sidecars are killed, paused, stopped and restarted by signals; the store
refuses requests, stops responding, loses responses, entries or history; the connections to the store,
to the upstreams and of the callers go through relays that delay, reset or stall them in one or both
directions. Callers reuse their connections until these close, and pipeline some idempotent requests.
The checks use only what callers and upstreams observe:

  bytes    a 200 response has the complete body of the upstream's response to the same request
  once     a non-idempotent request runs at most once
  refused  a refused request (408, 421, 429, 503) never runs, neither before nor after the refusal
  drain    an upstream gets no request later than 2 s after its draining report was acknowledged
  hang     a request gets a response or its connection ends in time, unless a fault delays it
  exit     no process exits unless it was told to
  config   every node knows a new route within 2.5 s, unless a fault was injected shortly before
  recover  after the last fault at least 95% of the requests get status 200

Exit status: 0 if all checks hold, 1 otherwise; then the seed, the violations and the log directory are
printed. There are no relays between sidecars; only signals to the processes disturb those connections.
"""

import argparse
import asyncio
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import zlib

TIMEOUT_S = 1.0               # timeout of callers and of the routes
HANG_SLACK_S = 1.5            # a machine with many processes delays them by some hundred ms
DRAIN_BOUND_S = 2.0           # platform's documented bound after the acknowledgement of a leave
CONFIG_BOUND_S = 2.5          # platform's documented bound for a new configuration, plus slack
CONTACT_S = 3.0               # time for which a disturbed link may still delay requests
IDLE_TIMEOUT_S = 5            # of the configuration
MAX_IDLE_S = 0.8 * IDLE_TIMEOUT_S  # longest time for which the platform's callers reuse a connection
RECOVERY_S = 4.0              # time after a fault until the bounds hold again
GRACE_PERIOD_S = 6.0
SIGNAL_HANDLER_READY_S = 0.3  # programs take some tens of ms to load
HEARTBEAT_S = 1.0
BULK_BODY_BYTES = 60000
PIPELINE_SHARE = 0.1          # share of the idempotent calls that are several pipelined requests
MAX_PIPELINED = 4
REFUSAL_STATUSES = (408, 421, 429, 503)


def expected_body(request_id, path):
    """Returns the response body of the upstreams, derived from the request id."""
    size = BULK_BODY_BYTES if path.startswith("/bulk/") else 200
    seed = zlib.crc32(request_id.encode())
    return random.Random(seed).randbytes(size)


PORTS_PER_RUN = 1000


def claim_ports():
    """Yields ports that no other run uses, below those that the kernel takes for outgoing connections.
    The first port of the range stays bound until the run ends."""
    for first in range(10000, 32000, PORTS_PER_RUN):
        lock = socket.socket()
        try:
            lock.bind(("127.0.0.1", first))
        except OSError:
            lock.close()
            continue
        yield from range(first + 1, first + PORTS_PER_RUN)
        lock.close()
        return


PORTS = claim_ports()


def free_port(ip):
    for port in PORTS:
        with socket.socket() as probe:
            try:
                probe.bind((ip, port))
            except OSError:
                continue
            return port
    raise OSError("no free port")


async def read_message(reader):
    """Returns (start line, headers, body) of an HTTP message with Content-Length, or None at EOF."""
    head = b""
    while not head.endswith(b"\r\n\r\n"):
        line = await reader.readline()
        if not line:
            return None
        head += line
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return lines[0], headers, body


def encode_message(start_line, headers, body=b""):
    text = start_line + "\r\n"
    for name, value in headers.items():
        text += f"{name}: {value}\r\n"
    return (text + f"Content-Length: {len(body)}\r\n\r\n").encode() + body


class Server:
    """HTTP server that can abort all of its connections."""

    def __init__(self, ip):
        self.ip, self.port, self.writers, self.server = ip, free_port(ip), set(), None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, self.port)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (request := await read_message(reader)) is not None:
                await self.handle(request, writer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass  # the peer closed the connection, which is one of the injected faults
        finally:
            self.writers.discard(writer)
            writer.close()

    def abort_connections(self):
        for writer in list(self.writers):
            writer.transport.abort()


class Store(Server):
    """Stand-in of the store: objects by kind and name, lists, watches and writes, with faults."""

    def __init__(self):
        super().__init__("127.0.0.1")
        self.revision, self.oldest_revision = 10, 10
        self.kinds, self.history, self.mode = {}, [], "ok"
        self.outages = 0  # silent ones; requests that are pending when one begins get no response
        self.changed = asyncio.Condition()
        self.ended = asyncio.Event()

    async def put(self, kind, name, spec):
        objects = self.kinds.setdefault(kind, {})
        if name in objects and objects[name]["spec"] == spec:
            return objects[name]
        self.revision += 1
        objects[name] = {"metadata": {"name": name, "revision": self.revision}, "spec": spec}
        await self.record(kind, objects[name], False)
        return objects[name]

    async def delete(self, kind, name):
        removed = self.kinds.get(kind, {}).pop(name, None)
        if removed is not None:
            self.revision += 1
            await self.record(kind, removed, True)

    async def record(self, kind, stored_object, deleted):
        self.history.append((self.revision, kind, stored_object, deleted))
        async with self.changed:
            self.changed.notify_all()

    async def compact(self):
        self.history, self.oldest_revision = [], self.revision
        async with self.changed:
            self.changed.notify_all()

    async def handle(self, request, writer):
        first, _, body = request
        method, target, _ = first.split(" ")
        outages = self.outages
        if self.mode == "silent":
            await self.ended.wait()
        if self.mode == "slow":
            await asyncio.sleep(0.3)
        if self.mode == "busy":
            writer.write(encode_message("HTTP/1.1 503 Busy", {}, b"null"))
            return
        path, _, query = target.partition("?")
        options = dict(it.split("=") for it in query.split("&") if it)
        parts = path.split("/")[2:]
        if "watch" in options:
            status, response = await self.watch(parts[0], int(options["watch"]), int(options["waitMs"]))
        elif method == "GET":
            items = list(self.kinds.get(parts[0], {}).values())
            status, response = 200, {"items": items, "hasMore": False, "asOf": self.revision}
        else:
            status, response = await self.write(method, parts, json.loads(body))
            if self.mode == "lost":
                writer.transport.abort()
                return
        if self.outages != outages:
            await self.ended.wait()
        writer.write(encode_message(f"HTTP/1.1 {status} X", {}, json.dumps(response).encode()))

    async def write(self, method, parts, body):
        objects = self.kinds.setdefault(parts[0], {})
        name = parts[1] if len(parts) > 1 else body["metadata"]["name"]
        if method == "POST" and name in objects:
            return 409, objects[name]
        if method == "PUT" and name not in objects:
            return 404, None
        return 200, await self.put(parts[0], name, body["spec"])

    async def watch(self, kind, since, wait_ms):
        end = time.monotonic() + wait_ms / 1000
        while True:
            if since < self.oldest_revision:
                return 410, None
            events = [{"object": stored_object, "deleted": deleted}
                      for revision, event_kind, stored_object, deleted in self.history
                      if event_kind == kind and revision > since]
            remaining = end - time.monotonic()
            if events or remaining <= 0:
                return 200, {"events": events, "asOf": self.revision}
            try:
                async with self.changed:
                    await asyncio.wait_for(self.changed.wait(), remaining)
            except asyncio.TimeoutError:
                pass  # wait_ms has passed; the loop returns the events so far


class Relay(Server):
    """TCP relay to `target` that can delay, stall or reset its connections."""

    def __init__(self, ip, target):
        super().__init__(ip)
        self.target, self.mode, self.harmed_at = target, "ok", -CONTACT_S

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            target_reader, target_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            self.writers.discard(writer)
            return
        self.writers.add(target_writer)
        await asyncio.gather(self.forward(reader, target_writer, "to"),
                             self.forward(target_reader, writer, "from"))
        for it in (writer, target_writer):
            self.writers.discard(it)
            it.close()

    async def forward(self, reader, writer, direction):
        try:
            while data := await reader.read(65536):
                while self.mode in ("silent", direction):
                    await asyncio.sleep(0.02)
                if self.mode == "delay":
                    await asyncio.sleep(0.15)
                writer.write(data)
                await writer.drain()
            writer.write_eof()
        except OSError:
            writer.transport.abort()


class Upstream(Server):
    """Runs requests, with faults, and records in `Soak.runs` which instance ran each request."""

    def __init__(self, soak, number):
        super().__init__("127.0.0.1")
        self.soak, self.number = soak, number
        self.relay = None
        self.start_new_instance()
        self.slow_factor, self.loss_probability, self.heartbeats_on = 1.0, 0.0, True

    def start_new_instance(self):
        self.instance = f"i-{self.number}-{self.soak.rng.randrange(1 << 30):x}"
        self.started_ms, self.sequence, self.drain_acknowledged_at = int(time.time() * 1000), 0, None

    async def handle(self, request, writer):
        first, headers, _ = request
        request_id, path = headers.get("x-request-id", ""), first.split(" ")[1]
        response_headers = {"X-Request-Id": request_id}
        if headers.get("x-expect-instance") != self.instance:
            writer.write(encode_message("HTTP/1.1 421 Other", response_headers))
            return
        # A request that was sent before the drain may be held on a disturbed link until after it.
        held_up = self.relay.mode != "ok" or time.monotonic() - self.relay.harmed_at < CONTACT_S
        if (self.drain_acknowledged_at is not None and not held_up
                and time.monotonic() - self.drain_acknowledged_at > DRAIN_BOUND_S):
            self.soak.add_violation("drain", f"{request_id} reached {self.instance} too late")
        self.soak.runs.setdefault(request_id, []).append(self.instance)
        await asyncio.sleep(self.slow_factor * self.soak.rng.expovariate(1 / 0.01))
        body = expected_body(request_id, path)
        if self.soak.rng.random() < self.loss_probability:
            response = encode_message("HTTP/1.1 200 OK", response_headers, body)
            writer.write(response[:self.soak.rng.randrange(len(response))])
            await writer.drain()
            writer.transport.abort()
            return
        response_headers["X-Response-Stamp"] = "s"
        writer.write(encode_message("HTTP/1.1 200 OK", response_headers, body))

    async def report(self, node, state):
        """Reports `state` to the sidecar; returns whether it acknowledged the report."""
        self.sequence += 1
        body = {"service": "s", "address": f"{self.relay.ip}:{self.relay.port}", "zone": node.zone,
                "version": "v1", "slots": 4, "state": state, "coldLeftS": 0, "seq": self.sequence,
                "born": self.started_ms}
        method = "Deregister" if state == "gone" else "Heartbeat"
        request = encode_message(f"POST /Instances.{method}/{self.instance} HTTP/1.1", {"Host": "x"},
                          json.dumps(body).encode())
        try:
            reader, writer = await asyncio.open_connection(node.ip, node.ports["control"])
            writer.write(request)
            response = await asyncio.wait_for(read_message(reader), 1)
            writer.close()
            return response is not None and " 200" in response[0]
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False  # the sidecar is down or paused; the next heartbeat reports again

    async def send_heartbeats(self, node):
        while True:
            if self.heartbeats_on:
                await self.report(node, "ready")
            await asyncio.sleep(HEARTBEAT_S)


class Node:
    """One sidecar process with its upstream and the relays of its connections."""

    def __init__(self, soak, number):
        self.soak, self.number = soak, number
        self.name, self.ip, self.zone = f"node-{number}", f"127.0.0.{20 + number}", "ab"[number % 2]
        self.upstream = Upstream(soak, number)
        self.store_relay = Relay("127.0.0.1", (soak.store.ip, soak.store.port))
        self.upstream.relay = Relay("127.0.0.1", (self.upstream.ip, self.upstream.port))
        names = ("outbound", "inbound", "ready", "control", "peers", "metrics")
        self.ports = {name: free_port(self.ip) for name in names}
        self.caller_relay = Relay("127.0.0.1", (self.ip, self.ports["outbound"]))
        self.process, self.exit_expected, self.disturbed_until = None, False, 0.0
        self.settings_file = os.path.join(soak.directory, self.name + ".json")

    def disturb(self, seconds):
        """Suspends the checks of time bounds for a fault of this duration and the recovery."""
        self.disturbed_until = max(self.disturbed_until, time.monotonic() + seconds + RECOVERY_S)

    async def start(self):
        for server in (self.upstream, self.store_relay, self.upstream.relay, self.caller_relay):
            await server.start()
        # The sidecar uses the first port of portRange for its peers and the last for metrics.
        while self.ports["metrics"] <= self.ports["peers"]:
            self.ports["metrics"] = free_port(self.ip)
        listen = {name: f"{self.ip}:{self.ports[name]}" for name in ("outbound", "ready", "control")}
        with open(self.settings_file, "w") as out:
            json.dump({"node": self.name, "zone": self.zone, "ip": self.ip, "service": "s",
                       "listen": listen, "portRange": [self.ports["peers"], self.ports["metrics"]],
                       "heartbeatS": HEARTBEAT_S, "limits": {"linkMbps": 1000.0},
                       "appAddr": f"{self.upstream.relay.ip}:{self.upstream.relay.port}",
                       "bounds": {"graceS": GRACE_PERIOD_S, "retryBudget": 0.2, "budgetWindowS": 10,
                                  "budgetExtra": 60},
                       "provider": {"address": f"127.0.0.1:{self.store_relay.port}",
                                    "form": "objects"}}, out)
        await self.start_process()

    async def start_process(self):
        log = open(os.path.join(self.soak.directory, self.name + ".log"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            self.soak.binary, "--settings", self.settings_file, stdout=log, stderr=log)
        log.close()
        # Set only now: a fault that comes during the start must not start another process.
        self.exit_expected, self.started_at = False, time.monotonic()
        self.soak.spawn(self.check_exit(self.process))

    async def check_exit(self, process):
        code = await process.wait()
        if not self.exit_expected and process is self.process and not self.soak.finished:
            self.soak.add_violation("exit", f"{self.name} ended with {code}")

    def signal(self, signal_number):
        if self.process.returncode is None:
            self.process.send_signal(signal_number)

    def reload(self):
        # Before the program has installed its handler, SIGHUP would end the process.
        if time.monotonic() - self.started_at > SIGNAL_HANDLER_READY_S:
            self.signal(signal.SIGHUP)

    async def end_and_restart(self, signal_number, pause):
        if self.exit_expected:
            self.signal(signal_number)  # a second signal while the process is stopping
            return
        self.exit_expected = True
        self.signal(signal_number)
        await self.process.wait()
        await asyncio.sleep(pause)
        if not self.soak.finished:
            await self.start_process()


def cpu_wait(pid):
    """Returns the time in s for which a process was ready to run and had no CPU, or None."""
    try:
        with open(f"/proc/{pid}/schedstat") as stat:
            return int(stat.read().split()[1]) / 1e9
    except (OSError, IndexError):
        return None


class CpuWaits:
    """Records how long the processes of a run wait for a CPU, so that a violated time bound can be
    told from a machine that has no time for them."""

    INTERVAL_S = 0.2

    def __init__(self):
        self.samples = []  # (time, {name: total wait in s})

    async def run(self, soak):
        while not soak.finished:
            pids = {"soak": os.getpid()}
            pids.update((it.name, it.process.pid) for it in soak.nodes if it.process is not None)
            waits = {name: cpu_wait(pid) for name, pid in pids.items()}
            self.samples.append((time.monotonic(), waits))
            await asyncio.sleep(self.INTERVAL_S)

    def since(self, start):
        """Describes the waits since `start`, the longest first."""
        samples = [waits for at, waits in self.samples if at >= start - self.INTERVAL_S]
        if not samples:
            return "CPU waits unknown"
        waited = {}
        for name in samples[-1]:
            totals = [it[name] for it in samples if it.get(name) is not None]
            if totals:
                # The total starts anew with each process.
                waited[name] = sum(max(0.0, b - a) for a, b in zip(totals, totals[1:]))
        longest = sorted(waited.items(), key=lambda it: -it[1])[:4]
        times = [at for at, _ in self.samples if at >= start - self.INTERVAL_S]
        stall = max((b - a for a, b in zip(times, times[1:])), default=0.0) - self.INTERVAL_S
        return ("CPU waits " + ", ".join(f"{name} {seconds:.2f} s" for name, seconds in longest)
                + f"; the soak stood still for {max(stall, 0.0):.2f} s")


class Soak:
    """One run: starts the processes, injects the faults and collects the violations."""

    def __init__(self, options):
        self.seed = options.seed
        self.seconds, self.node_count = options.seconds, options.nodes
        self.callers, self.pause_s = options.callers, options.pause
        self.rng = random.Random(options.seed)
        self.directory = tempfile.mkdtemp(prefix="soak-")
        # Run a copy, so that a concurrent build cannot replace the program during the test.
        self.binary = shutil.copy(options.binary, self.directory)
        self.violations, self.tasks, self.finished = [], set(), False
        self.runs, self.refused, self.results, self.unsafe = {}, {}, [], []
        self.disturbed_until, self.faults_until = 0.0, 0.0
        self.cpu_waits = CpuWaits()
        self.next_id, self.version, self.extra_routes = 0, 1, 0

    def add_violation(self, check, text):
        self.violations.append(f"{check}: {text}")

    def spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def put_config(self):
        def route(prefix, kind):
            return [prefix, "h.example", prefix, kind, TIMEOUT_S, 0.3, 1, 2, "s"]
        rows = [route("/safe/", "safe"), route("/unsafe/", "unsafe"), route("/bulk/", "download")]
        rows += [route(f"/extra{i}/", "safe") for i in range(1, self.extra_routes + 1)]
        await self.store.put("config", "main", {
            "version": f"r{self.version}",
            "routes": {"columns": ["name", "hostname", "pathPrefix", "kind", "timeoutS", "sloS",
                                   "priority", "attempts", "service"], "rows": rows},
            "services": {"columns": ["name", "healthPath", "maxConns"],
                         "rows": [["s", "/healthz", 110]]},
            "limits": {"maxHeaderBytes": 4096, "maxBodyBytes": 100000, "headerTimeoutS": 2,
                       "idleTimeoutS": IDLE_TIMEOUT_S}})

    async def call(self, node, connection, path, method, count=1):
        """Sends `count` requests, pipelined. Returns (status of the first or None, connection to reuse
        or None)."""
        request_ids = [f"{self.seed:x}x{self.next_id + i:x}" for i in range(1, count + 1)]
        self.next_id += count
        if path == "/unsafe/":
            self.unsafe += request_ids
        start = time.monotonic()
        statuses = []
        try:
            if connection is None:
                connection = await asyncio.wait_for(
                    asyncio.open_connection("127.0.0.1", node.caller_relay.port), 1)
            reader, writer = connection
            writer.write(b"".join(encode_message(f"{method} {path}x HTTP/1.1", {
                "Host": "h.example", "X-Request-Id": request_id,
                "X-Timeout-Ms": str(int(TIMEOUT_S * 1000))}) for request_id in request_ids))
            for request_id in request_ids:
                left = start + TIMEOUT_S + HANG_SLACK_S - time.monotonic()
                response = await asyncio.wait_for(read_message(reader), left)
                if response is None:
                    connection = None
                    break
                statuses.append(int(response[0].split(" ")[1]))
                self.check_response(request_id, path, statuses[-1], response)
                if response[1].get("connection") == "close":
                    writer.close()
                    connection = None
                    break
        except asyncio.TimeoutError:
            if time.monotonic() > max(node.disturbed_until, self.disturbed_until):
                self.add_violation("hang", f"{request_ids[len(statuses)]} at {node.name}, "
                                           f"begun {start:.2f}, " + self.cpu_waits.since(start))
            connection = None
        except (OSError, asyncio.IncompleteReadError):
            connection = None  # aborted by a relay, or the process has exited
        statuses += [None] * (count - len(statuses))
        self.results += [(start, node.number, status) for status in statuses]
        return statuses[0], connection

    def check_response(self, request_id, path, status, response):
        if status == 200 and response[2] != expected_body(request_id, path):
            self.add_violation("bytes", f"{request_id} {path} got {len(response[2])} wrong bytes")
        if status in REFUSAL_STATUSES:
            self.refused[request_id] = status

    async def run_caller(self, node):
        kinds = (("/safe/", "GET"), ("/unsafe/", "POST"), ("/bulk/", "GET"))
        connection = None
        while not self.finished:
            path, method = self.rng.choices(kinds, (6, 4, 1))[0]
            pipelines = path != "/unsafe/" and self.rng.random() < PIPELINE_SHARE
            count = self.rng.randint(2, MAX_PIPELINED) if pipelines else 1
            _, connection = await self.call(node, connection, path, method, count)
            pause = self.rng.expovariate(1 / self.pause_s)
            await asyncio.sleep(pause)
            if connection is not None and pause > MAX_IDLE_S:
                connection[1].close()
                connection = None

    async def change_config(self):
        """Adds a route and checks that every node without a recent fault knows it in time."""
        self.version += self.rng.randrange(1, 9)
        self.extra_routes += 1
        prefix = f"/extra{self.extra_routes}/"
        await self.put_config()
        changed = time.monotonic()
        await asyncio.sleep(CONFIG_BOUND_S)
        for node in self.nodes:
            if max(node.disturbed_until, self.disturbed_until) > changed:
                continue
            status, connection = await self.call(node, None, prefix, "GET")
            if connection is not None:
                connection[1].close()
            undisturbed = max(node.disturbed_until, self.disturbed_until) <= changed
            if status == 404 and undisturbed:
                self.add_violation("config", f"{prefix} is unknown at {node.name} after {CONFIG_BOUND_S} s")

    async def drain(self, node):
        """Drains the upstream gracefully, then replaces it by a new instance."""
        upstream = node.upstream
        upstream.heartbeats_on = False
        acknowledged = await upstream.report(node, "draining")
        if acknowledged:
            upstream.drain_acknowledged_at = time.monotonic()
        await asyncio.sleep(DRAIN_BOUND_S + 1)
        await upstream.report(node, "gone")
        upstream.abort_connections()
        upstream.start_new_instance()
        upstream.heartbeats_on = True

    async def relay_fault(self, node, relay, seconds):
        relay.mode = self.rng.choice(("delay", "silent", "to", "from", "reset"))
        if relay.mode == "reset":
            relay.abort_connections()
        await asyncio.sleep(seconds)
        relay.mode, relay.harmed_at = "ok", time.monotonic()

    async def upstream_fault(self, node, seconds):
        upstream = node.upstream
        kind = self.rng.choice(("slow", "lose", "cut"))
        if kind == "slow":
            upstream.slow_factor = 20.0
        elif kind == "lose":
            upstream.loss_probability = 0.3
        else:
            upstream.abort_connections()
        await asyncio.sleep(seconds)
        upstream.slow_factor, upstream.loss_probability = 1.0, 0.0

    async def store_fault(self, seconds):
        kind = self.rng.choice(("silent", "slow", "busy", "lost", "lapse", "compact", "cut"))
        if kind == "lapse":
            for name in list(self.store.kinds.get("sidecars", {})):
                await self.store.delete("sidecars", name)
        elif kind == "compact":
            await self.store.compact()
        elif kind == "cut":
            self.store.abort_connections()
        else:
            self.store.mode = kind
            if kind == "silent":
                self.store.outages += 1
            await asyncio.sleep(seconds)
            self.store.mode = "ok"
            if kind != "silent":
                self.store.abort_connections()

    async def pause(self, node, seconds):
        node.signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        node.signal(signal.SIGCONT)

    async def inject(self):
        end = time.monotonic() + self.seconds
        while time.monotonic() < end:
            await asyncio.sleep(self.rng.expovariate(1 / 0.6))
            node = self.rng.choice(self.nodes)
            seconds = self.rng.uniform(0.2, 3)
            kind = self.rng.choice(("kill", "term", "pause", "hup", "store", "store relay",
                                    "upstream relay", "caller relay", "upstream", "drain", "config",
                                    "config", "herd"))
            print(f"{time.monotonic():.2f} {kind} {node.name} {seconds:.2f}", file=self.log, flush=True)
            if kind == "config":
                self.spawn(self.change_config())
                continue
            if kind == "hup":
                node.reload()
                continue
            node.disturb(seconds + (GRACE_PERIOD_S if kind == "term" else 0))
            # Delays of one process also affect the callers of the other nodes.
            self.disturbed_until = max(self.disturbed_until, time.monotonic() + seconds + RECOVERY_S)
            if kind == "kill":
                self.spawn(node.end_and_restart(signal.SIGKILL, seconds / 2))
            elif kind == "term":
                self.spawn(node.end_and_restart(signal.SIGTERM, seconds / 2))
            elif kind == "herd":
                for it in self.nodes:
                    if self.rng.random() < 0.6:
                        it.disturb(seconds)
                        self.spawn(it.end_and_restart(signal.SIGKILL, seconds / 2))
            elif kind == "pause":
                self.spawn(self.pause(node, seconds))
            elif kind == "store":
                self.spawn(self.store_fault(seconds))
            elif kind == "store relay":
                self.spawn(self.relay_fault(node, node.store_relay, seconds))
            elif kind == "upstream relay":
                self.spawn(self.relay_fault(node, node.upstream.relay, seconds))
            elif kind == "caller relay":
                self.spawn(self.relay_fault(node, node.caller_relay, seconds))
            elif kind == "upstream":
                self.spawn(self.upstream_fault(node, seconds))
            elif kind == "drain" and node.upstream.heartbeats_on:
                self.spawn(self.drain(node))

    def check_runs(self):
        for request_id, instances in self.runs.items():
            if request_id in self.refused:
                self.add_violation("refused", f"{request_id} got {self.refused[request_id]} and ran")
        for request_id in self.unsafe:
            if len(self.runs.get(request_id, ())) > 1:
                self.add_violation("once", f"{request_id} ran at {self.runs[request_id]}")

    def on_exception(self, loop, context):
        # Closing the loop cancels the connections that are still open; ignore their exceptions.
        if not self.finished:
            loop.default_exception_handler(context)

    async def run(self):
        self.log = open(os.path.join(self.directory, "faults.log"), "w")
        asyncio.get_running_loop().set_exception_handler(self.on_exception)
        self.store = Store()
        await self.store.start()
        await self.put_config()
        self.nodes = [Node(self, i) for i in range(self.node_count)]
        for node in self.nodes:
            await node.start()
            self.spawn(node.upstream.send_heartbeats(node))
        self.spawn(self.cpu_waits.run(self))
        await asyncio.sleep(3)
        for node in self.nodes:
            for _ in range(self.callers):
                self.spawn(self.run_caller(node))
        await asyncio.sleep(1)
        await self.inject()
        # Wait for the longest fault, a stop with its grace period, and for the recovery after it.
        await asyncio.sleep(3 + GRACE_PERIOD_S + 1.5 + RECOVERY_S)
        recovered_at = time.monotonic()
        await asyncio.sleep(4)
        self.finished = True
        recent = [status for start, _, status in self.results if start >= recovered_at]
        served = sum(status == 200 for status in recent)
        if served < 0.95 * len(recent):
            self.add_violation("recover", f"{served} of {len(recent)} requests are served at the end, "
                               + self.cpu_waits.since(recovered_at))
        await asyncio.sleep(TIMEOUT_S + HANG_SLACK_S)
        for node in self.nodes:
            node.exit_expected = True
            node.signal(signal.SIGCONT)
            node.signal(signal.SIGKILL)
            await node.process.wait()
        self.store.ended.set()
        await asyncio.sleep(0.1)
        self.store.abort_connections()
        await asyncio.sleep(0.1)
        self.check_runs()
        self.log.close()
        statuses = {}
        for _, _, status in self.results:
            statuses[status] = statuses.get(status, 0) + 1
        return statuses


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--binary", default="build/bin/camphorhoist_sidecar")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=20, help="time in which faults are injected")
    parser.add_argument("--nodes", type=int, default=6)
    parser.add_argument("--callers", type=int, default=4, help="callers of each node")
    parser.add_argument("--pause", type=float, default=0.05,
                        help="mean time in s between the requests of a caller")
    options = parser.parse_args()
    soak = Soak(options)
    statuses = asyncio.run(soak.run())
    print(f"seed {options.seed}: {len(soak.results)} requests, results {statuses}")
    if not soak.violations:
        shutil.rmtree(soak.directory)
        return 0
    for it in soak.violations[:20]:
        print("violation", it)
    print(f"{len(soak.violations)} violations; logs in {soak.directory}")
    return 1


if __name__ == "__main__":
    sys.exit(main())
