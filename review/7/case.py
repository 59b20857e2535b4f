"""A server falls silent and its address goes to a server of another service: see claim.txt."""

import asyncio
import os
import random
import signal
import socket
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins-2"))
import mesh  # noqa: E402

# Figures of `batch-status` and `formula-lookup` on the sheet of Lakeshore Tint Works.
STATUS_WORK_S = 0.34
STATUS_TIMEOUT_S = 5.0
STATUS_OBJECTIVE_S = 1.2
SLOTS = 6
# Two servers of 6 slots complete 35 requests a second.
REQUESTS_PER_S = 45
REUSE_AFTER_S = mesh.BOUNDS["reuseAfterS"]
# The callers' kernel ends a connection to a VM without power by its keep-alive probes, which the
# sidecar sends after 1 s and 2 s without data.
PROBES_FAIL_AFTER_S = 1.95


class Vm:
    """The address of a server: it can lose power, and another server can take it over."""

    def __init__(self, record, sidecar, service, instance):
        self.record, self.sidecar = record, sidecar
        self.server = mesh.Server(record, sidecar, service, instance, SLOTS, STATUS_WORK_S)
        self.listener = None
        self.fillers = []

    async def start(self):
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(self.sidecar.address["app"])
        server = self.server
        server.listener = await asyncio.start_server(
            mesh.ends_quietly(server.serve), sock=self.listener, backlog=100)
        server.beats = asyncio.create_task(server.send_heartbeats())

    def lose_power(self):
        """Requests get no answer, and connections are not established."""
        server = self.server
        self.record.write(f"server {server.instance} falls silent")
        server.beats.cancel()
        server.silent = True
        for writer in server.writers:
            writer.transport.pause_reading()
        # A listener whose queue is full drops the packets that open a connection.
        asyncio.get_running_loop().remove_reader(self.listener.fileno())
        self.listener.listen(0)
        for _ in range(4):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(self.sidecar.address["app"])
            self.fillers.append(filler)

    def reset_connections(self):
        for writer in list(self.server.writers):
            writer.transport.abort()

    async def give_address_to(self, service, instance):
        self.reset_connections()
        for filler in self.fillers:
            filler.close()
        self.server.listener.close()
        self.server = mesh.Server(self.record, self.sidecar, service, instance, SLOTS, 0.14)
        self.sidecar.settings["service"] = service
        self.sidecar.write_settings()
        self.sidecar.signal(signal.SIGHUP)
        await self.start()
        self.record.write(f"server {instance} of {service} has the address")


async def send(record, sidecar, number, answers):
    request_id = f"{number:016x}"
    headers = mesh.client_headers(request_id, int(STATUS_TIMEOUT_S * 1000))
    response = await mesh.request(sidecar.address["outbound"], "GET", f"/status/{number}", headers,
                                  timeout=STATUS_TIMEOUT_S)
    answers.append((request_id, response.status))
    record.write(f"client {request_id}: {response}")


async def case(record, folder, sidecars, trouble):
    store = mesh.Store()
    await store.start()
    store.put("config", "main", mesh.config(
        1, [{"pathPrefix": "/status/", "timeoutS": STATUS_TIMEOUT_S, "sloS": STATUS_OBJECTIVE_S,
             "service": "contractor-desk"},
            {"pathPrefix": "/formulas/", "timeoutS": 2.0, "sloS": 0.5, "service": "formula-desk"}],
        ["contractor-desk", "formula-desk"]))
    services = ["contractor-desk", "contractor-desk", "formula-desk"]
    for number, service in enumerate(services):
        sidecars.append(mesh.Sidecar(number, store, service, folder))
        await sidecars[-1].start()
    vms = []
    for number, (it, service) in enumerate(zip(sidecars, services)):
        await it.wait_until_ready()
        vms.append(Vm(record, it, service, f"i-{number}"))
        await vms[-1].start()
    await asyncio.sleep(mesh.BOUNDS["contactS"] + 1)

    answers = []
    tasks = []
    done = asyncio.Event()

    async def traffic():
        random_source = random.Random(1)
        number = 0
        while not done.is_set():
            number += 1
            origin = sidecars[number % len(sidecars)]
            tasks.append(asyncio.create_task(send(record, origin, number, answers)))
            await asyncio.sleep(random_source.expovariate(REQUESTS_PER_S))

    sender = asyncio.create_task(traffic())
    await asyncio.sleep(4)
    if trouble:
        vms[0].lose_power()
        await asyncio.sleep(PROBES_FAIL_AFTER_S)
        vms[0].reset_connections()
        await asyncio.sleep(REUSE_AFTER_S + 0.1 - PROBES_FAIL_AFTER_S)
        await vms[0].give_address_to("formula-desk", "i-9")
    await asyncio.sleep(4)
    done.set()
    await sender
    await asyncio.gather(*tasks)
    if not all(it.running() for it in sidecars):
        raise mesh.CannotRun("a sidecar has ended")
    served = sum(1 for _, status in answers if status == 200)
    wrong = [run for vm in vms for run in vm.server.runs
             if vm.server.service == "formula-desk" and run[2].startswith("/status/")]
    record.write(f"{served} of {len(answers)} requests served; requests of contractor-desk that "
                 f"servers of formula-desk ran: {[run[0] for run in wrong]}")
    if served < 100:
        raise mesh.CannotRun("too few requests were served")
    return not wrong


sys.exit(mesh.run_case(FOLDER, case))
