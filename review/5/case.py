"""A server leaves; its sidecar is killed and starts again while the store is down: see claim.txt."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins"))
from standins import AppServer, main, post_control  # noqa: E402

DRAIN_S = 2.0          # bounds.drainS
STORE_DOWN_S = 4.5     # largest dose of platform_down for the whole store in the site file
LATE_HEARTBEAT_S = 3.0
EXIT_S = 3.2           # drainS and a little longer
WORK_S = 0.25


class LeavingServer(AppServer):
    """Once it leaves, it says so in its answers, and it goes on serving for some seconds."""

    leaving = False
    passed_on_at = {}  # node at which a request began -> time of the first answer with Server-Leaving

    async def run(self, request_id, method, path, headers, body, writer):
        origin = self.case.origin_of[request_id]
        first = self.passed_on_at.get(origin)
        sent = self.case.sent[request_id]
        if first is not None and sent > first + DRAIN_S:
            self.case.breaks(f"{request_id}, sent by a client at {origin} {sent - first:.2f} s after that machine "
                             f"had passed on an answer with Server-Leaving, reaches {self.instance}")
        return await super().run(request_id, method, path, headers, body, writer)

    def answer(self, request_id, path):
        self.extra_headers = {"Server-Leaving": "1"} if self.leaving else {}
        return super().answer(request_id, path)


async def scenario(case):
    case.origin_of = {}
    await case.put_config(1, [("/orders/", "unsafe", "orders"), ("/desk/", "safe", "desk")],
                          ["orders", "desk"])
    client = case.add_node("ne-a", "desk")
    other = case.add_node("ne-b", "orders")
    node = case.add_node("ne-a", "orders")
    for it in case.nodes:
        await it.start()
    await case.all_ready(case.nodes)
    servers = [AppServer(case, client, "desk", "i-desk"), AppServer(case, other, "orders", "i-orders-2", WORK_S),
               LeavingServer(case, node, "orders", "i-orders-3", WORK_S)]
    leaving = servers[2]
    for server in servers:
        await server.start()
        server.start_heartbeats()
    await asyncio.sleep(2)

    async def send(number):
        request_id = f"d{os.getpid():x}x{number:05x}"
        case.origin_of[request_id] = client.name
        _, status, headers, _ = await case.call(client, "POST", "/orders/x", 1.5, b"one lot", request_id)
        late = [it for it in case.runs.get(request_id, []) if it[1] == leaving.instance and it[0] > left_at + DRAIN_S]
        if late and status != 200:
            lost.append(request_id)
            case.record("order_lost_at_leaving_server", request_id, status)
        if "server-leaving" in headers and client.name not in leaving.passed_on_at:
            leaving.passed_on_at[client.name] = case.now()
            case.record("passed_on_server_leaving", client.name)

    async def load():
        for number in range(100000):
            case.spawn(send(number))
            await asyncio.sleep(0.05)

    lost, left_at = [], float("inf")
    traffic = case.spawn(load())
    await asyncio.sleep(2)
    # The server leaves as PROTOCOL.md describes it for servers that deregister first. One of its heartbeats is
    # late: it was sent before, and arrives some seconds after.
    leaving.stop_heartbeats()
    late = leaving.heartbeat_body()
    leaving.leaving = True
    await asyncio.sleep(0.3)
    acknowledged = await leaving.deregister()
    case.record("deregistered", leaving.instance, acknowledged)
    left_at = case.now()
    await asyncio.sleep(0.7)
    if case.trouble:
        case.store.refuses = True
        case.record("store_down")
        await asyncio.sleep(0.2)
        await node.kill()
        await asyncio.sleep(0.3)
        await node.restart()
    await asyncio.sleep(max(0, left_at + LATE_HEARTBEAT_S - case.now()))
    acknowledged = await post_control(node, "Heartbeat", leaving.instance, late)
    case.record("late_heartbeat", leaving.instance, acknowledged)
    await asyncio.sleep(max(0, left_at + EXIT_S - case.now()))
    await leaving.stop()
    case.record("server_exits", leaving.instance)
    await asyncio.sleep(max(0, left_at + 0.7 + STORE_DOWN_S - case.now()))
    case.store.refuses = False
    case.record("store_back")
    await asyncio.sleep(3)
    traffic.cancel()
    await asyncio.sleep(2)
    case.record("orders_lost", len(lost))
    print(f"orders that were sent to the leaving server too late and got no answer of it: {len(lost)}")


main(FOLDER, scenario, 60)
