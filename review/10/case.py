"""Another writer's report, with fields missing, comes to a node."""

import asyncio
import json
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins-2"))
sys.dont_write_bytecode = True

from standins import (TROUBLE, call, document, encode, read_body, read_head, route, run_case,  # noqa: E402
                      show)

HOST = "ficu95.example"
CLIENTS, UPTIME_S, WORK_S = 12, 21.0, 1.2


class KeptConnection:
    """A client's connection, which is kept for many requests."""

    def __init__(self, world, machine):
        self.world, self.machine = world, machine
        self.reader = self.writer = None
        self.answered = 0
        # Attempts that were sent behind an answered one, and whose connection ended without an answer.
        self.cut = []

    async def request(self):
        world = self.world
        if self.writer is None:
            self.reader, self.writer = await asyncio.open_connection(*self.machine.ports["outbound"])
            self.answered = 0
        world.last_attempt += 1
        attempt = f"{world.last_attempt:016x}"
        world.record.write("sent", attempt=attempt, machine=self.machine.name, kept=self.answered > 0)
        try:
            fields = {"Host": HOST, "X-Fescueway-Attempt-Id": attempt, "X-Fescueway-Deadline-Ms": "5000"}
            self.writer.write(encode("GET /window/1 HTTP/1.1", fields, b""))
            line, got = await asyncio.wait_for(read_head(self.reader), 6)
            await asyncio.wait_for(read_body(self.reader, got, True), 6)
            world.record.write("answered", attempt=attempt, status=int(line.split()[1]))
            self.answered += 1
        except (OSError, asyncio.IncompleteReadError):
            world.record.write("connection ended", attempt=attempt, kept=self.answered > 0)
            if self.answered > 0:
                self.cut.append(attempt)
            self.writer.close()
            self.writer = None
            await asyncio.sleep(0.5)


async def play(world):
    routes = {"r1": route(HOST, "/window/", "window-svc", timeout_ms=5000)}
    await world.configure(document(3, routes, ["window-svc"]))
    for zone in "abc":
        machine = world.machine(zone, "window-svc")
        machine.start()
        await world.target(machine, "window-svc", f"i-{zone}", work_s=WORK_S)
    first = world.machines[0]

    async def serves():
        return all([(await machine.request("GET", HOST, "/window/1"))["status"] == 200
                    for machine in world.machines])

    await world.until("all machines serve", serves)
    await asyncio.sleep(UPTIME_S)
    clients = [KeptConnection(world, first) for _ in range(CLIENTS)]
    end = time.monotonic() + 8.0

    async def use(client):
        while time.monotonic() < end:
            try:
                await client.request()
            except OSError:
                await asyncio.sleep(0.2)

    tasks = [asyncio.create_task(use(client)) for client in clients]
    await asyncio.sleep(4.0)
    # Version, Zone and WarmupLeftMs are missing; the other writer's limit is no limit.
    report = {"Address": show(first.ports["app"]),
              "NodeInfo": {"Service": "window-svc", "MaxConcurrency": 4294967295},
              "Status": {"State": "ready", "Sequence": 1}, "born": int(time.time() * 1000)}
    if TROUBLE:
        status, _, _ = await call(first.ports["control"], "PUT", "/v1/instances/another-writer",
                                  {"Content-Type": "application/json"}, json.dumps(report).encode(), 1.0)
        world.record.write("report of another writer", status=status)
    await asyncio.sleep(1.0)
    ended = first.process.poll()
    world.record.write("node process", ended_with=ended)
    if ended is not None:
        first.start()
    await asyncio.gather(*tasks)
    ran = {run["attempt"] for run in world.runs()}
    cut = [attempt for client in clients for attempt in client.cut if attempt in ran]
    world.record.write("judged", cut=len(cut), ended_with=ended)
    broken = []
    if len(cut) > 3:
        broken.append(f"LOST: {len(cut)} requests of kept connections were passed on to sound targets, and their "
                      "connections closed without an answer")
    if ended is not None:
        broken.append(f"the node's process ended by itself, status {ended}")
    return broken


run_case(FOLDER, play)
