"""Servers without traffic crash and come back before their route is added: see claim.txt."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins-2"))
import mesh  # noqa: E402

# Time for which the servers of the site's standard days are down after a crash.
DOWN_S = 3.87
TIMEOUT_MS = 1200
REQUESTS_PER_VM = 40
FIRST_ROUTE = {"pathPrefix": "/lots/", "service": "lotdesk"}
LATER_ROUTE = {"pathPrefix": "/prices/", "service": "pricer"}


def crash(record, server):
    """The process of the server ends without a word."""
    record.write(f"server {server.instance} crashes")
    server.beats.cancel()
    server.listener.close()
    for writer in list(server.writers):
        writer.transport.abort()


async def serve_share(record, sidecars, prefix, label):
    """Sends requests on a route from all VMs. Returns (served, sent)."""
    served = 0
    for number in range(REQUESTS_PER_VM):
        for vm, sidecar in enumerate(sidecars):
            request_id = f"{label:04x}{vm:04x}{number:08x}"
            response = await mesh.request(sidecar.address["outbound"], "GET", f"{prefix}{number}",
                                          mesh.client_headers(request_id, TIMEOUT_MS))
            served += response.status == 200 and response.whole
            record.write(f"client {request_id} {prefix}: {response}")
    return served, REQUESTS_PER_VM * len(sidecars)


async def case(record, folder, sidecars, trouble):
    store = mesh.Store()
    await store.start()
    # The servers of `pricer` run already; the operator adds their route later.
    store.put("config", "main", mesh.config(1, [FIRST_ROUTE], ["lotdesk", "pricer"]))
    services = ["lotdesk", "lotdesk", "pricer", "pricer"]
    for number, service in enumerate(services):
        sidecars.append(mesh.Sidecar(number, store, service, folder))
        await sidecars[-1].start()
    servers = []
    for number, (it, service) in enumerate(zip(sidecars, services)):
        await it.wait_until_ready()
        servers.append(mesh.Server(record, it, service, f"i-{number}"))
        await servers[-1].start()
    await asyncio.sleep(mesh.BOUNDS["contactS"] + 1)
    if trouble:
        # One after the other, so that no two of them are down at a time.
        for number in (2, 3):
            crash(record, servers[number])
            await asyncio.sleep(DOWN_S)
            servers[number] = mesh.Server(record, sidecars[number], "pricer", f"i-{number}-again")
            await servers[number].start()
            record.write(f"server {servers[number].instance} has started")
            await asyncio.sleep(mesh.BOUNDS["contactS"])
    store.put("config", "main",
              mesh.config(2, [FIRST_ROUTE, LATER_ROUTE], ["lotdesk", "pricer"]))
    record.write("the operator adds the route to pricer")
    await asyncio.sleep(mesh.BOUNDS["configApplyS"] + mesh.BOUNDS["contactS"])
    first, first_sent = await serve_share(record, sidecars, FIRST_ROUTE["pathPrefix"], 1)
    later, later_sent = await serve_share(record, sidecars, LATER_ROUTE["pathPrefix"], 2)
    beats = [server.sequence for server in servers]
    record.write(f"served on the first route: {first} of {first_sent}; on the later route: {later} "
                 f"of {later_sent}; heartbeats sent by each server: {beats}")
    if not all(it.running() for it in sidecars):
        raise mesh.CannotRun("a sidecar has ended")
    if first < 0.9 * first_sent:
        raise mesh.CannotRun("the first route is not served")
    return later / later_sent >= first / first_sent / 4


sys.exit(mesh.run_case(FOLDER, case))
