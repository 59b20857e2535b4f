#!/usr/bin/env python3
"""Randomized soak of camphorhoist_sidecar: real processes on loopback, with faults from outside.

Starts sidecars with a stand-in of the store, an upstream beside each and callers on each, and injects
faults in overlapping series: processes are killed, paused, stopped and restarted by signals; the store
refuses, falls silent, loses answers, entries or history; connections to the store, to the upstreams and
of the callers pass relays that delay, reset or silence them, one way or both. Callers keep their
connections until these close. It checks from what callers and upstreams see:

  bytes    a 200 has the whole body of the upstream's response to this very request
  once     a non-idempotent request runs at most once
  refused  a request that was refused (408, 421, 429, 503) does not run, before or after
  drain    an upstream whose leaving was acknowledged gets nothing after 2 s
  hang     a request has an answer, or its connection ends, in time, unless a fault holds it up
  exit     no process ends by itself
  config   a new route is known everywhere within 2.5 s while no fault is near
  recover  after the last fault 95% of the requests are served

Exit status: 0 if all hold, 1 if one does not; then the seed, the violations and the folder with the
logs are printed. Connections between sidecars are disturbed by signals only.
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

TIMEOUT_S = 1.0          # time that callers wait; also the timeout of the routes
HANG_SLACK_S = 1.5       # a machine that runs many processes is late by some hundred ms
DRAIN_S = 2.0            # bound of the platform's pages for the acknowledgement of a leave
CONFIG_S = 2.5           # bound of the platform's pages for a new configuration, and the slack here
CALM_S = 4.0             # after a fault, bounds hold once this time has passed
GRACE_S = 6.0
LOAD_S = 0.3             # a program is loaded in some tens of ms
HEARTBEAT_S = 1.0
BULK_BYTES = 60000
REFUSALS = (408, 421, 429, 503)


def body_of(request_id, path):
    size = BULK_BYTES if path.startswith("/bulk/") else 200
    seed = zlib.crc32(request_id.encode())
    return random.Random(seed).randbytes(size)


def free_port(ip):
    with socket.socket() as sock:
        sock.bind((ip, 0))
        return sock.getsockname()[1]


async def read_message(reader):
    """Returns (first line, headers, body) of an HTTP message with Content-Length, or None at the end."""
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


def message(first, headers, body=b""):
    text = first + "\r\n"
    for name, value in headers.items():
        text += f"{name}: {value}\r\n"
    return (text + f"Content-Length: {len(body)}\r\n\r\n").encode() + body


class Server:
    """HTTP server whose connections can be cut."""

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
            pass  # the other side has cut the connection, which is one of the faults
        finally:
            self.writers.discard(writer)
            writer.close()

    def cut(self):
        for writer in list(self.writers):
            writer.transport.abort()


class Store(Server):
    """Objects by kind and name, lists, watches and writes, with faults."""

    def __init__(self):
        super().__init__("127.0.0.1")
        self.revision, self.start_of_history = 10, 10
        self.kinds, self.history, self.mode = {}, [], "ok"
        self.changed = asyncio.Condition()

    async def put(self, kind, name, spec):
        objects = self.kinds.setdefault(kind, {})
        if name in objects and objects[name]["spec"] == spec:
            return objects[name]
        self.revision += 1
        objects[name] = {"metadata": {"name": name, "revision": self.revision}, "spec": spec}
        await self.record(kind, objects[name], False)
        return objects[name]

    async def delete(self, kind, name):
        gone = self.kinds.get(kind, {}).pop(name, None)
        if gone is not None:
            self.revision += 1
            await self.record(kind, gone, True)

    async def record(self, kind, thing, deleted):
        self.history.append((self.revision, kind, thing, deleted))
        async with self.changed:
            self.changed.notify_all()

    async def compact(self):
        self.history, self.start_of_history = [], self.revision
        async with self.changed:
            self.changed.notify_all()

    async def handle(self, request, writer):
        first, _, body = request
        method, target, _ = first.split(" ")
        if self.mode == "silent":
            await asyncio.sleep(3600)
        if self.mode == "slow":
            await asyncio.sleep(0.3)
        if self.mode == "busy":
            writer.write(message("HTTP/1.1 503 Busy", {}, b"null"))
            return
        path, _, query = target.partition("?")
        options = dict(it.split("=") for it in query.split("&") if it)
        parts = path.split("/")[2:]
        if "watch" in options:
            status, answer = await self.watch(parts[0], int(options["watch"]), int(options["waitMs"]))
        elif method == "GET":
            items = list(self.kinds.get(parts[0], {}).values())
            status, answer = 200, {"items": items, "hasMore": False, "asOf": self.revision}
        else:
            status, answer = await self.write(method, parts, json.loads(body))
            if self.mode == "lost":
                writer.transport.abort()
                return
        writer.write(message(f"HTTP/1.1 {status} X", {}, json.dumps(answer).encode()))

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
            if since < self.start_of_history:
                return 410, None
            events = [{"object": thing, "deleted": deleted}
                      for revision, its_kind, thing, deleted in self.history
                      if its_kind == kind and revision > since]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "asOf": self.revision}
            try:
                async with self.changed:
                    await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass  # the time of the watch is over


class Relay(Server):
    """Passes connections on to `target`, or harms them."""

    def __init__(self, ip, target):
        super().__init__(ip)
        self.target, self.mode = target, "ok"

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            there_reader, there = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            self.writers.discard(writer)
            return
        self.writers.add(there)
        await asyncio.gather(self.pump(reader, there, "to"), self.pump(there_reader, writer, "from"))
        for it in (writer, there):
            self.writers.discard(it)
            it.close()

    async def pump(self, reader, writer, way):
        try:
            while data := await reader.read(65536):
                while self.mode in ("silent", way):
                    await asyncio.sleep(0.02)
                if self.mode == "delay":
                    await asyncio.sleep(0.15)
                writer.write(data)
                await writer.drain()
            writer.write_eof()
        except OSError:
            writer.transport.abort()


class Upstream(Server):
    """Runs requests and keeps a ledger of what it ran and when."""

    def __init__(self, soak, number):
        super().__init__("127.0.0.1")
        self.soak, self.number = soak, number
        self.relay = None
        self.new_start()
        self.slowness, self.lose, self.beating = 1.0, 0.0, True

    def new_start(self):
        self.instance = f"i-{self.number}-{self.soak.rng.randrange(1 << 30):x}"
        self.born, self.sequence, self.left_at = int(time.time() * 1000), 0, None

    async def handle(self, request, writer):
        first, headers, _ = request
        request_id, path = headers.get("x-request-id", ""), first.split(" ")[1]
        answer = {"X-Request-Id": request_id}
        if headers.get("x-expect-instance") != self.instance:
            writer.write(message("HTTP/1.1 421 Other", answer))
            return
        if self.left_at is not None and time.monotonic() - self.left_at > DRAIN_S:
            self.soak.violation("drain", f"{request_id} reached {self.instance} too late")
        self.soak.ran.setdefault(request_id, []).append(self.instance)
        await asyncio.sleep(self.slowness * self.soak.rng.expovariate(1 / 0.01))
        body = body_of(request_id, path)
        if self.soak.rng.random() < self.lose:
            cut = message("HTTP/1.1 200 OK", answer, body)
            writer.write(cut[:self.soak.rng.randrange(len(cut))])
            await writer.drain()
            writer.transport.abort()
            return
        answer["X-Response-Stamp"] = "s"
        writer.write(message("HTTP/1.1 200 OK", answer, body))

    async def report(self, node, state):
        """Returns whether the report was acknowledged."""
        self.sequence += 1
        body = {"service": "s", "address": f"{self.relay.ip}:{self.relay.port}", "zone": node.zone,
                "version": "v1", "slots": 4, "state": state, "coldLeftS": 0, "seq": self.sequence,
                "born": self.born}
        call = "Deregister" if state == "gone" else "Heartbeat"
        request = message(f"POST /Instances.{call}/{self.instance} HTTP/1.1", {"Host": "x"},
                          json.dumps(body).encode())
        try:
            reader, writer = await asyncio.open_connection(node.ip, node.ports["control"])
            writer.write(request)
            answer = await asyncio.wait_for(read_message(reader), 1)
            writer.close()
            return answer is not None and " 200" in answer[0]
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False  # the sidecar is down or paused; the next report follows

    async def beat(self, node):
        while True:
            if self.beating:
                await self.report(node, "ready")
            await asyncio.sleep(HEARTBEAT_S)


class Node:
    """One sidecar process with its upstream and the relays around it."""

    def __init__(self, soak, number):
        self.soak, self.number = soak, number
        self.name, self.ip, self.zone = f"node-{number}", f"127.0.0.{20 + number}", "ab"[number % 2]
        self.upstream = Upstream(soak, number)
        self.store_relay = Relay("127.0.0.1", (soak.store.ip, soak.store.port))
        self.upstream.relay = Relay("127.0.0.1", (self.upstream.ip, self.upstream.port))
        names = ("outbound", "inbound", "ready", "control", "peers", "metrics")
        self.ports = {name: free_port(self.ip) for name in names}
        self.caller_relay = Relay("127.0.0.1", (self.ip, self.ports["outbound"]))
        self.process, self.expected_end, self.disturbed_until = None, False, 0.0
        self.settings = os.path.join(soak.folder, self.name + ".json")

    def disturb(self, seconds):
        self.disturbed_until = max(self.disturbed_until, time.monotonic() + seconds + CALM_S)

    async def start(self):
        for server in (self.upstream, self.store_relay, self.upstream.relay, self.caller_relay):
            await server.start()
        # The sidecar takes the first port of the range for others, and the last for metrics.
        while self.ports["metrics"] <= self.ports["peers"]:
            self.ports["metrics"] = free_port(self.ip)
        listen = {name: f"{self.ip}:{self.ports[name]}" for name in ("outbound", "ready", "control")}
        with open(self.settings, "w") as out:
            json.dump({"node": self.name, "zone": self.zone, "ip": self.ip, "service": "s",
                       "listen": listen, "portRange": [self.ports["peers"], self.ports["metrics"]],
                       "heartbeatS": HEARTBEAT_S, "limits": {"linkMbps": 1000.0},
                       "appAddr": f"{self.upstream.relay.ip}:{self.upstream.relay.port}",
                       "bounds": {"graceS": GRACE_S, "retryBudget": 0.2, "budgetWindowS": 10,
                                  "budgetExtra": 60},
                       "provider": {"address": f"127.0.0.1:{self.store_relay.port}",
                                    "form": "objects"}}, out)
        await self.run()

    async def run(self):
        self.expected_end, self.started = False, time.monotonic()
        log = open(os.path.join(self.soak.folder, self.name + ".log"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            self.soak.binary, "--settings", self.settings, stdout=log, stderr=log)
        log.close()
        self.soak.spawn(self.watch(self.process))

    async def watch(self, process):
        code = await process.wait()
        if not self.expected_end and process is self.process and not self.soak.over:
            self.soak.violation("exit", f"{self.name} ended with {code}")

    def signal(self, number):
        if self.process.returncode is None:
            self.process.send_signal(number)

    def reload(self):
        # Until the program has been loaded, the signal ends its process whatever it does.
        if time.monotonic() - self.started > LOAD_S:
            self.signal(signal.SIGHUP)

    async def kill_and_restart(self, number, pause):
        if self.expected_end:
            self.signal(number)  # a second signal while it stops
            return
        self.expected_end = True
        self.signal(number)
        await self.process.wait()
        await asyncio.sleep(pause)
        if not self.soak.over:
            await self.run()


class Soak:
    def __init__(self, options):
        self.seed = options.seed
        self.seconds, self.nodes_wanted = options.seconds, options.nodes
        self.rng = random.Random(options.seed)
        self.folder = tempfile.mkdtemp(prefix="soak-")
        # A build beside the soak must not replace the program under it.
        self.binary = shutil.copy(options.binary, self.folder)
        self.violations, self.tasks, self.over = [], set(), False
        self.ran, self.refused, self.results, self.unsafe = {}, {}, [], []
        self.disturbed_until, self.faults_until = 0.0, 0.0
        self.next_id, self.version, self.extra_routes = 0, 1, 0

    def violation(self, check, text):
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
                       "idleTimeoutS": 5}})

    async def call(self, node, connection, path, method):
        """One request. Returns (status or None, connection to keep or None)."""
        self.next_id += 1
        request_id = f"{self.seed:x}x{self.next_id:x}"
        if path == "/unsafe/":
            self.unsafe.append(request_id)
        start = time.monotonic()
        status = None
        try:
            if connection is None:
                connection = await asyncio.wait_for(
                    asyncio.open_connection("127.0.0.1", node.caller_relay.port), 1)
            reader, writer = connection
            writer.write(message(f"{method} {path}x HTTP/1.1", {
                "Host": "h.example", "X-Request-Id": request_id,
                "X-Timeout-Ms": str(int(TIMEOUT_S * 1000))}))
            answer = await asyncio.wait_for(read_message(reader), TIMEOUT_S + HANG_SLACK_S)
            if answer is None:
                connection = None
            else:
                status = int(answer[0].split(" ")[1])
                self.check_answer(request_id, path, status, answer)
                if answer[1].get("connection") == "close":
                    writer.close()
                    connection = None
        except asyncio.TimeoutError:
            if time.monotonic() > max(node.disturbed_until, self.disturbed_until):
                self.violation("hang", f"{request_id} at {node.name}, begun {start:.2f}")
            connection = None
        except (OSError, asyncio.IncompleteReadError):
            connection = None  # cut by a relay, or the process has ended
        self.results.append((start, node.number, status))
        return status, connection

    def check_answer(self, request_id, path, status, answer):
        if status == 200 and answer[2] != body_of(request_id, path):
            self.violation("bytes", f"{request_id} {path} got {len(answer[2])} wrong bytes")
        if status in REFUSALS:
            self.refused[request_id] = status

    async def caller(self, node):
        kinds = (("/safe/", "GET"), ("/unsafe/", "POST"), ("/bulk/", "GET"))
        connection = None
        while not self.over:
            path, method = self.rng.choices(kinds, (6, 4, 1))[0]
            _, connection = await self.call(node, connection, path, method)
            await asyncio.sleep(self.rng.expovariate(1 / 0.05))

    async def change_config(self):
        """A new route is known everywhere in time, where no fault is near."""
        self.version += self.rng.randrange(1, 9)
        self.extra_routes += 1
        prefix = f"/extra{self.extra_routes}/"
        await self.put_config()
        changed = time.monotonic()
        await asyncio.sleep(CONFIG_S)
        for node in self.nodes:
            if max(node.disturbed_until, self.disturbed_until) > changed:
                continue
            status, connection = await self.call(node, None, prefix, "GET")
            if connection is not None:
                connection[1].close()
            calm = max(node.disturbed_until, self.disturbed_until) <= changed
            if status == 404 and calm:
                self.violation("config", f"{prefix} is unknown at {node.name} after {CONFIG_S} s")

    async def drain(self, node):
        """The upstream leaves in order and another one takes its place."""
        upstream = node.upstream
        upstream.beating = False
        acknowledged = await upstream.report(node, "draining")
        if acknowledged:
            upstream.left_at = time.monotonic()
        await asyncio.sleep(DRAIN_S + 1)
        await upstream.report(node, "gone")
        upstream.cut()
        upstream.new_start()
        upstream.beating = True

    async def relay_fault(self, node, relay, seconds):
        relay.mode = self.rng.choice(("delay", "silent", "to", "from", "reset"))
        if relay.mode == "reset":
            relay.cut()
        await asyncio.sleep(seconds)
        relay.mode = "ok"

    async def upstream_fault(self, node, seconds):
        upstream = node.upstream
        kind = self.rng.choice(("slow", "lose", "cut"))
        if kind == "slow":
            upstream.slowness = 20.0
        elif kind == "lose":
            upstream.lose = 0.3
        else:
            upstream.cut()
        await asyncio.sleep(seconds)
        upstream.slowness, upstream.lose = 1.0, 0.0

    async def store_fault(self, seconds):
        kind = self.rng.choice(("silent", "slow", "busy", "lost", "lapse", "compact", "cut"))
        if kind == "lapse":
            for name in list(self.store.kinds.get("sidecars", {})):
                await self.store.delete("sidecars", name)
        elif kind == "compact":
            await self.store.compact()
        elif kind == "cut":
            self.store.cut()
        else:
            self.store.mode = kind
            await asyncio.sleep(seconds)
            self.store.mode = "ok"
            self.store.cut()

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
            node.disturb(seconds + (GRACE_S if kind == "term" else 0))
            # What one process does late, callers of the others see.
            self.disturbed_until = max(self.disturbed_until, time.monotonic() + seconds + CALM_S)
            if kind == "kill":
                self.spawn(node.kill_and_restart(signal.SIGKILL, seconds / 2))
            elif kind == "term":
                self.spawn(node.kill_and_restart(signal.SIGTERM, seconds / 2))
            elif kind == "herd":
                for it in self.nodes:
                    if self.rng.random() < 0.6:
                        it.disturb(seconds)
                        self.spawn(it.kill_and_restart(signal.SIGKILL, seconds / 2))
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
            elif kind == "drain" and node.upstream.beating:
                self.spawn(self.drain(node))

    def check_ledger(self):
        for request_id, instances in self.ran.items():
            if request_id in self.refused:
                self.violation("refused", f"{request_id} got {self.refused[request_id]} and ran")
        for request_id in self.unsafe:
            if len(self.ran.get(request_id, ())) > 1:
                self.violation("once", f"{request_id} ran at {self.ran[request_id]}")

    def on_exception(self, loop, context):
        # Connections that are open at the end are cancelled with the loop.
        if not self.over:
            loop.default_exception_handler(context)

    async def run(self):
        self.log = open(os.path.join(self.folder, "faults.log"), "w")
        asyncio.get_running_loop().set_exception_handler(self.on_exception)
        self.store = Store()
        await self.store.start()
        await self.put_config()
        self.nodes = [Node(self, i) for i in range(self.nodes_wanted)]
        for node in self.nodes:
            await node.start()
            self.spawn(node.upstream.beat(node))
        await asyncio.sleep(3)
        for node in self.nodes:
            for _ in range(4):
                self.spawn(self.caller(node))
        await asyncio.sleep(1)
        await self.inject()
        # The longest fault, a stop with its grace time, and the calm after it.
        await asyncio.sleep(3 + GRACE_S + 1.5 + CALM_S)
        calm = time.monotonic()
        await asyncio.sleep(4)
        self.over = True
        recent = [status for start, _, status in self.results if start >= calm]
        served = sum(status == 200 for status in recent)
        if served < 0.95 * len(recent):
            self.violation("recover", f"{served} of {len(recent)} requests are served at the end")
        await asyncio.sleep(TIMEOUT_S + HANG_SLACK_S)
        for node in self.nodes:
            node.expected_end = True
            node.signal(signal.SIGCONT)
            node.signal(signal.SIGKILL)
            await node.process.wait()
        self.check_ledger()
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
    options = parser.parse_args()
    soak = Soak(options)
    statuses = asyncio.run(soak.run())
    print(f"seed {options.seed}: {len(soak.results)} requests, results {statuses}")
    if not soak.violations:
        shutil.rmtree(soak.folder)
        return 0
    for it in soak.violations[:20]:
        print("violation", it)
    print(f"{len(soak.violations)} violations; logs in {soak.folder}")
    return 1


if __name__ == "__main__":
    sys.exit(main())
