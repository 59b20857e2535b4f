"""All processes are killed right after a server's leaving was acknowledged: see claim.txt."""

import asyncio
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins-2"))
import mesh  # noqa: E402

# `down_s` of the site's standard day that ends with `kill_all`.
DOWN_S = 1.4
# One way between two data centres.
DELAY_S = 0.0009
HEARTBEAT_LATE_S = 6.0
# The server serves on for some seconds after the acknowledgement.
SERVES_ON_S = 12.0
REQUESTS_PER_S = 20
TIMEOUT_MS = 1200


class DistantStore:
    """Relays connections to the store over a link with a delay. A connection takes a round trip to
    open; a client that ends before that has sent nothing."""

    def __init__(self, store):
        self.store = store
        self.port = mesh.free_port()

    async def start(self):
        await asyncio.start_server(mesh.ends_quietly(self.serve), "127.0.0.1", self.port)

    async def serve(self, reader, writer):
        first = await reader.read(65536)
        await asyncio.sleep(2 * DELAY_S)
        try:
            more = await asyncio.wait_for(reader.read(65536), 0.0002)
        except asyncio.TimeoutError:
            more = None
        if more == b"":
            writer.close()
            return
        target_reader, target_writer = await asyncio.open_connection("127.0.0.1", self.store.port)
        target_writer.write(first + (more or b""))
        await asyncio.gather(self.forward(reader, target_writer),
                             self.forward(target_reader, writer))

    async def forward(self, reader, writer):
        try:
            while data := await reader.read(65536):
                await asyncio.sleep(DELAY_S)
                writer.write(data)
                await writer.drain()
        finally:
            writer.close()


class LeavingServer(mesh.Server):
    """Reports at once that it is gone, without `draining`, and serves on for some seconds."""

    async def leave(self):
        self.beats.cancel()
        late = asyncio.create_task(self.send_late_heartbeat())
        self.record.write(f"server {self.instance} deregisters")
        response = await mesh.request(
            self.sidecar.address["control"], "POST", f"/Instances.Deregister/{self.instance}",
            {"Content-Type": "application/json"}, f'{{"born":{self.born}}}'.encode(), timeout=1)
        if response.status != 200:
            raise mesh.CannotRun(f"the deregistration was answered with {response.status}")
        return late

    async def send_late_heartbeat(self):
        """A heartbeat from before the deregistration that arrives late."""
        self.sequence += 1
        sequence = self.sequence
        await asyncio.sleep(HEARTBEAT_LATE_S)
        self.sequence = sequence - 1
        acknowledged = await self.announce("ready")
        self.record.write(f"the late heartbeat of {self.instance} arrives, "
                          f"{'acknowledged' if acknowledged else 'not acknowledged'}")


async def send(record, sidecar, number, sent):
    request_id = f"{number:016x}"
    sent[request_id] = record.now()
    response = await mesh.request(sidecar.address["outbound"], "GET", f"/lots/{number}",
                                  mesh.client_headers(request_id, TIMEOUT_MS),
                                  timeout=TIMEOUT_MS / 1000)
    record.write(f"client {request_id}: {response}")


async def case(record, folder, sidecars, trouble):
    store = mesh.Store()
    await store.start()
    store.put("config", "main", mesh.config(
        1, [{"pathPrefix": "/lots/", "service": "lotdesk"}], ["lotdesk"]))
    link = DistantStore(store)
    await link.start()
    for number in range(3):
        sidecars.append(mesh.Sidecar(number, link, "lotdesk", folder))
        await sidecars[-1].start()
    servers = []
    for number, it in enumerate(sidecars):
        await it.wait_until_ready()
        kind = LeavingServer if number == 0 else mesh.Server
        servers.append(kind(record, it, "lotdesk", f"i-{number}"))
        await servers[-1].start()
    await asyncio.sleep(mesh.BOUNDS["contactS"] + 2)

    late = await servers[0].leave()
    acknowledged_at = record.now()
    if trouble:
        for it in sidecars:
            it.signal(signal.SIGKILL)
    record.write("the deregistration is acknowledged")
    if trouble:
        record.write("all processes are killed")
        await asyncio.gather(*(it.process.wait() for it in sidecars))
        await asyncio.sleep(DOWN_S)
        for it in sidecars:
            await it.start()
    started_at = record.now()
    sent, tasks, number = {}, [], 0
    while record.now() < acknowledged_at + SERVES_ON_S:
        number += 1
        # The clients of the two other VMs.
        origin = sidecars[1 + number % 2]
        tasks.append(asyncio.create_task(send(record, origin, number, sent)))
        await asyncio.sleep(1 / REQUESTS_PER_S)
    await asyncio.gather(*tasks)
    await late
    if not all(it.running() for it in sidecars):
        raise mesh.CannotRun("a sidecar has ended")
    # In touch: the processes have run for `contactS`.
    bound = max(acknowledged_at + mesh.BOUNDS["drainS"], started_at + mesh.BOUNDS["contactS"])
    after = [run[0] for run in servers[0].runs if sent.get(run[0], 0) > bound]
    served = sum(len(it.runs) for it in servers)
    record.write(f"{served} requests run; requests sent {bound - acknowledged_at:.1f} s or more "
                 f"after the acknowledgement that reached the server that left: {len(after)}")
    if served < 50:
        raise mesh.CannotRun("too few requests were served")
    return not after


sys.exit(mesh.run_case(os.path.join(FOLDER, "record.txt"), case))
