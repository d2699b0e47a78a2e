"""Machines are added while the store is down."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins-2"))
sys.dont_write_bytecode = True

from standins import TROUBLE, document, route, run_case  # noqa: E402

HOST, KEY = "ficu95.example", "rjvz48wuakn2ftimaj3n"
FIRST_MACHINES, ADDED_MACHINES = 3, 6
DOWN_S, ADDED_AFTER_S, TRAFFIC_S = 4.5, 0.5, 14.0
RATE_PER_S, BURST = 20, 20
QUOTA_WINDOW_S, QUOTA_OVERSHOOT, QUOTA_SLACK = 5.0, 0.1, 20
CONTRACTS = ["base", "drain", "config", "cost", "retry", "recover", "health", "tenants", "quota", "platform"]


def most_in_window(runs):
    """The most requests that were both sent and arrived within one window."""
    most = 0
    for begin, _ in runs:
        end = begin + QUOTA_WINDOW_S
        most = max(most, sum(1 for sent, arrived in runs if sent >= begin and arrived <= end))
    return most


async def play(world):
    tenant = {"ApiKeys": [KEY], "Priority": 1, "RatePerS": RATE_PER_S, "Burst": BURST}
    await world.configure(document(3, {"r1": route(HOST, "/pufi/", "portal")}, ["portal"], {"mill": tenant}))

    async def add_machines(count):
        for _ in range(count):
            number = len(world.machines)
            machine = world.machine("abc"[number % 3], "portal", contracts=CONTRACTS)
            machine.start()
            await world.target(machine, "portal", f"i-portal-{number}")

    async def serves():
        return all([(await machine.request("GET", HOST, "/pufi/1", key=KEY))["status"] == 200
                    for machine in world.machines])

    await add_machines(FIRST_MACHINES)
    await world.until("the first machines serve", serves)
    await asyncio.sleep(6.0)
    sent, end = [], time.monotonic() + TRAFFIC_S

    async def client(machine):
        # A machine gets clients once it is ready.
        while not await machine.is_ready():
            await asyncio.sleep(0.1)
        while time.monotonic() < end:
            sent.append(await machine.request("GET", HOST, "/pufi/2", key=KEY))
            await asyncio.sleep(0.03)

    def clients(machines):
        return [asyncio.create_task(client(machine)) for machine in machines for _ in range(2)]

    tasks = clients(world.machines)
    await asyncio.sleep(2.0)
    world.store.is_down = TROUBLE
    world.record.write("store goes down" if TROUBLE else "store stays up")
    await world.store.notify()
    back = time.monotonic() + DOWN_S
    await asyncio.sleep(ADDED_AFTER_S)
    await add_machines(ADDED_MACHINES)
    tasks += clients(world.machines[FIRST_MACHINES:])
    await asyncio.sleep(back - time.monotonic())
    world.store.is_down = False
    world.record.write("store is up")
    await asyncio.gather(*tasks)
    arrived = {run["attempt"]: run["arrived"] for run in world.runs()}
    runs = [(request["sent"], arrived[request["attempt"]]) for request in sent
            if request["attempt"] in arrived]
    most = most_in_window(runs)
    allowed = (RATE_PER_S * QUOTA_WINDOW_S + BURST) * (1 + QUOTA_OVERSHOOT) + QUOTA_SLACK
    world.record.write("judged", sent=len(sent), ran=len(runs), most_in_window=most, allowed=allowed)
    if most <= allowed:
        return []
    return [f"QUOTA: {most} requests of the tenant were sent and ran within {QUOTA_WINDOW_S} s; "
            f"{allowed:.0f} are allowed"]


run_case(FOLDER, play)
