"""One heartbeat of another writer, with bytes that cannot be read, ends the sidecar: see claim.txt."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins"))
from standins import AppServer, encode_message, main, post_control, read_message  # noqa: E402

CONTACT_S = 3.0       # bounds.contactS
ALLOWED = 3           # LOST: "more than three times"
CLIENTS = 12
UNREADABLE_ID = b"i-caf\xc3"  # an id that is cut off in the middle of a character


async def keep_ordering(case, client_node, number, lost):
    """A client that sends one order after the other on a kept connection."""
    reader = writer = None
    served_on_connection = 0
    try:
        for order in range(1000):
            if writer is None:
                reader, writer = await asyncio.open_connection(client_node.ip, client_node.ports["outbound"])
                served_on_connection = 0
            request_id = f"o{os.getpid():x}x{number:02x}{order:04x}"
            case.sent[request_id] = case.now()
            case.record("sent", request_id, client_node.name, "POST", "/orders/x", "kept", served_on_connection)
            response = None
            try:
                writer.write(encode_message("POST /orders/x HTTP/1.1", {
                    "Host": "desk.example", "X-Request-Id": request_id, "X-Timeout-Ms": "1500"}, b"one lot"))
                response = await asyncio.wait_for(read_message(reader), 2.5)
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                pass  # the connection ended; recorded below
            if response is not None:
                case.record("answer", request_id, response[0])
                served_on_connection += 1
                if response[1].get("connection") != "close":
                    continue
            else:
                case.record("connection_closed_without_answer", request_id, "run:", request_id in case.runs)
                if served_on_connection > 0 and request_id in case.runs:
                    lost.append(request_id)
            writer.close()
            writer = None
            await asyncio.sleep(0.5)
    finally:
        if writer is not None:
            writer.close()


async def scenario(case):
    lost = []
    await case.put_config(1, [("/orders/", "unsafe", "orders"), ("/desk/", "safe", "desk")], ["orders", "desk"])
    desk = case.add_node("ne-a", "desk")
    nodes = [desk] + [case.add_node(zone, "orders") for zone in ("ne-a", "ne-b", "ne-c")]
    for node in nodes:
        await node.start()
    await case.all_ready(nodes)
    servers = [AppServer(case, it, it.service, f"i-{it.service}-{it.number}", 0.1) for it in nodes]
    for server in servers:
        await server.start()
        server.start_heartbeats()
    await asyncio.sleep(1)
    clients = [case.spawn(keep_ordering(case, desk, number, lost)) for number in range(CLIENTS)]
    await asyncio.sleep(CONTACT_S + 1)
    if case.trouble:
        body = {"service": "desk", "address": f"{desk.ip}:{desk.app_port}", "zone": desk.zone, "version": "v1",
                "slots": 6, "state": "draining", "coldLeftS": 0, "seq": 1, "born": servers[0].born + 1000}
        case.record("heartbeat_of_another_writer", UNREADABLE_ID)
        acknowledged = await post_control(desk, "Heartbeat", UNREADABLE_ID, body)
        case.record("heartbeat_acknowledged", acknowledged)
    await asyncio.sleep(4)
    for it in clients:
        it.cancel()
    for time_s, code in desk.ends:
        case.record("sidecar_ended_by_itself", f"{time_s:.3f}", code)
    if len(lost) > ALLOWED:
        case.breaks(f"{len(lost)} orders were passed on to sound servers from kept connections at {desk.name}, and "
                    f"their connections were closed without an answer; the process ended by itself: {desk.ends}")


main(FOLDER, scenario, 60)
