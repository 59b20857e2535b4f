"""Servers that start again while nobody calls them are never used again: see claim.txt."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins"))
from standins import AppServer, main  # noqa: E402

DOWN_S = 1.0          # srv_crash for_s: 4.5 in the site file, 5 by default
SETTLE_S = 6.0        # well over contactS and over four heartbeats
FIRST = [("/lots/", "safe", "lots"), ("/desk/", "safe", "desk")]
ADDED = [("/prices/", "safe", "prices")]
SERVICES = ["lots", "desk", "prices"]


async def scenario(case):
    await case.put_config(1, FIRST, SERVICES)
    desk = case.add_node("ne-a", "desk")
    lots = [case.add_node(zone, "lots") for zone in ("ne-a", "ne-b")]
    prices = [case.add_node(zone, "prices") for zone in ("ne-a", "ne-b", "ne-c")]
    for node in case.nodes:
        await node.start()
    await case.all_ready(case.nodes)
    servers = {}
    for node in case.nodes:
        servers[node] = AppServer(case, node, node.service, f"i-{node.service}-{node.number}")
        await servers[node].start()
        servers[node].start_heartbeats()
    await asyncio.sleep(4)
    if case.trouble:
        for node in prices:  # one server after the other crashes and starts again
            await servers[node].stop()
            servers[node].stop_heartbeats()
            case.record("server_crashes", servers[node].instance)
            await asyncio.sleep(DOWN_S)
            servers[node] = AppServer(case, node, node.service, f"i-{node.service}-{node.number}-again")
            await servers[node].start()
            servers[node].start_heartbeats()
            case.record("server_starts", servers[node].instance)
            await asyncio.sleep(3)
    await asyncio.sleep(SETTLE_S)
    await case.put_config(2, FIRST + ADDED, SERVICES)
    await asyncio.sleep(4)  # configApplyS is 2

    async def served(path):
        calls = []
        for _ in range(25):
            calls += [case.spawn(case.call(it, "GET", path)) for it in [desk] + lots]
            await asyncio.sleep(0.4)
        statuses = [it[1] for it in await asyncio.gather(*calls)]
        return statuses.count(200), len(statuses)

    (first, first_count), (added, added_count) = await asyncio.gather(served("/lots/x"), served("/prices/x"))
    text = f"first routes: {first} of {first_count} served; route added later: {added} of {added_count} served"
    case.record("served", text)
    print(text)
    if added_count >= 20 and added / added_count < 0.25 * first / first_count:
        case.breaks(text)


main(FOLDER, scenario, 90)
