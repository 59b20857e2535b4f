"""A data centre is cut off by resets and refused connections: see claim.txt."""

import asyncio
import bisect
import copy
import os
import random
import socket
import struct
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins-2"))
import mesh  # noqa: E402

RATE_PER_S = 60
BURST = 60
# A tenant's limit is 1.6 times its usual traffic; the hot one sends 6.7 times its usual.
HOT_PER_S = 6.7 * RATE_PER_S / 1.6
HOT_S = 6.5
CUT_S = 5.5
TIMEOUT_MS = 1200
KEY = "key-of-t0"
QUOTA = {"quotaWindowS": 5, "quotaExcess": 0.1, "quotaSlack": 20}
# All VMs watch the store, so that all of them learn the addresses of the relays from it.
VMS = 4
ZONES = ("zone-a", "zone-b")


class Border:
    """A relay between two data centres. While it is cut, its connections have been reset and new
    ones are refused."""

    def __init__(self, target):
        self.target, self.port = target, mesh.free_port()
        self.listener, self.writers = None, set()

    async def start(self):
        self.listener = await asyncio.start_server(
            mesh.ends_quietly(self.serve), "127.0.0.1", self.port)

    def cut(self):
        self.listener.close()
        for writer in list(self.writers):
            # Closes with a reset.
            writer.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()

    async def serve(self, reader, writer):
        try:
            target_reader, target_writer = await asyncio.open_connection(*self.target)
        except OSError:
            return writer.close()
        self.writers |= {writer, target_writer}
        try:
            await asyncio.gather(self.forward(reader, target_writer),
                                 self.forward(target_reader, writer))
        finally:
            self.writers -= {writer, target_writer}

    async def forward(self, reader, writer):
        try:
            while data := await reader.read(65536):
                writer.write(data)
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()


class ZoneStore(mesh.Store):
    """The platform's store as the VMs of one data centre reach it: the addresses of sidecars in the
    other one are those of the relays."""

    def __init__(self, shared, zone, borders):
        super().__init__()
        self.shared, self.zone, self.borders = shared, zone, borders
        self.watches_cut = asyncio.Event()

    def cut_watches(self):
        """Ends the connections of the watches that are waiting, as the store may."""
        self.watches_cut.set()
        self.watches_cut = asyncio.Event()

    async def handle(self, method, target, body):
        answer = asyncio.ensure_future(self.shared.handle(method, target, body))
        cut = asyncio.ensure_future(self.watches_cut.wait())
        await asyncio.wait({answer, cut}, return_when=asyncio.FIRST_COMPLETED)
        cut.cancel()
        if not answer.done():
            answer.cancel()
            raise ConnectionAbortedError("the watch is cut off")
        status, value = answer.result()
        return status, self.translate(copy.deepcopy(value))

    def translate(self, value):
        if isinstance(value, list):
            return [self.translate(it) for it in value]
        if not isinstance(value, dict):
            return value
        if value.get("data_centre", self.zone) != self.zone and value["address"] in self.borders:
            value["address"] = f"127.0.0.1:{self.borders[value['address']].port}"
            return value
        return {name: self.translate(it) for name, it in value.items()}


class StoreLink:
    def __init__(self, port):
        self.port = port


def busiest_window(requests):
    """Returns the largest number of requests that were sent and run within the window, and its
    start. `requests`: times of sending and of running."""
    requests = sorted(requests)
    starts = [sent for sent, _ in requests]
    best, best_at = 0, 0.0
    for first, (start, _) in enumerate(requests):
        end = bisect.bisect_right(starts, start + QUOTA["quotaWindowS"])
        count = sum(1 for _, run in requests[first:end] if run <= start + QUOTA["quotaWindowS"])
        if count > best:
            best, best_at = count, start
    return best, best_at


class CountingServer(mesh.Server):
    """Notes when it runs each request of the tenant."""

    runs_at = {}

    async def work(self, request_id, headers):
        if headers.get("x-tenant-id") == "t0":
            self.runs_at[request_id] = self.record.now()
        await asyncio.sleep(self.work_s)


async def connect_through_relays(record, stores, borders):
    """A sidecar that has said hello first is known by its own address until the entries are read
    again, which the sidecars do when the store ends a watch."""
    for _ in range(8):
        for store in stores.values():
            store.cut_watches()
            await asyncio.sleep(1.5)
        connections = {it: len(border.writers) // 2 for it, border in borders.items()}
        record.write(f"connections through the relays to each sidecar: {connections}")
        # Two from each sidecar of the other data centre.
        if min(connections.values()) >= VMS:
            return
    raise mesh.CannotRun("the data centres are not connected through the relays")


async def case(record, folder, sidecars, trouble):
    shared = mesh.Store()
    tenants = {"columns": ["name", "apiKeys", "priority", "ratePerS", "burst"],
               "rows": [["t0", [KEY], 1, RATE_PER_S, BURST]]}
    shared.put("config", "main", mesh.config(
        1, [{"pathPrefix": "/records/", "service": "search-desk"}], ["search-desk"], tenants))
    borders = {}
    stores = {zone: ZoneStore(shared, zone, borders) for zone in ZONES}
    store_border = None
    for zone, store in stores.items():
        await store.start()
    store_border = Border(("127.0.0.1", stores["zone-b"].port))
    await store_border.start()
    links = {"zone-a": StoreLink(stores["zone-a"].port), "zone-b": StoreLink(store_border.port)}
    for number in range(VMS):
        zone = ZONES[number % 2]
        it = mesh.Sidecar(number, links[zone], "search-desk", folder, zone=zone)
        it.settings["contracts"] = [*it.settings["contracts"], "tenants", "quota"]
        it.settings["bounds"] = {**mesh.BOUNDS, **QUOTA}
        it.write_settings()
        address = (it.ip, it.settings["portRange"][0])
        borders[f"{address[0]}:{address[1]}"] = Border(address)
        await borders[f"{address[0]}:{address[1]}"].start()
        sidecars.append(it)
    for it in sidecars:
        await it.start()
    for number, it in enumerate(sidecars):
        await it.wait_until_ready()
        await CountingServer(record, it, "search-desk", f"i-{number}", slots=12,
                             work_s=0.02).start()
    await connect_through_relays(record, stores, borders)
    await asyncio.sleep(mesh.BOUNDS["contactS"] + 3)

    sent, statuses, tasks = {}, {}, []
    random_source = random.Random(9)

    async def send(number):
        request_id = f"{number:016x}"
        sent[request_id] = record.now()
        headers = mesh.client_headers(request_id, TIMEOUT_MS, **{"X-Credential": KEY})
        response = await mesh.request(
            sidecars[number % VMS].address["outbound"], "GET", f"/records/{number}", headers,
            timeout=TIMEOUT_MS / 1000)
        statuses[response.status] = statuses.get(response.status, 0) + 1
        record.write(f"client {request_id}: {response}")

    async def traffic(per_s, seconds):
        end = record.now() + seconds
        while record.now() < end:
            tasks.append(asyncio.create_task(send(len(tasks))))
            await asyncio.sleep(random_source.expovariate(per_s))

    # The tenant's usual traffic, then the hot phase.
    await traffic(RATE_PER_S / 1.6, 4)
    hot = asyncio.create_task(traffic(HOT_PER_S, HOT_S))
    await asyncio.sleep(0.5)
    if trouble:
        record.write("zone-b is cut off: connections are reset, new ones are refused")
        for border in [*borders.values(), store_border]:
            border.cut()
        await asyncio.sleep(CUT_S)
        for border in [*borders.values(), store_border]:
            await border.start()
        record.write("the cut has healed")
    await hot
    await asyncio.gather(*tasks)
    if not all(it.running() for it in sidecars):
        raise mesh.CannotRun("a sidecar has ended")
    runs = CountingServer.runs_at
    most, start = busiest_window([(sent[it], runs[it]) for it in runs if it in sent])
    allowed = ((RATE_PER_S * QUOTA["quotaWindowS"] + BURST) * (1 + QUOTA["quotaExcess"]) +
               QUOTA["quotaSlack"])
    record.write(f"answers by status: {statuses}; most requests of the tenant sent and run in 5 s: "
                 f"{most}, from {start:.1f} s; allowed: {allowed:.0f}")
    if statuses.get(200, 0) < 200:
        raise mesh.CannotRun("too few requests were served")
    return most <= allowed


sys.exit(mesh.run_case(os.path.join(FOLDER, "record.txt"), case))
