"""The operator takes the only tenant's keys away by a version whose `Tenants` is empty."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins-2"))
sys.dont_write_bytecode = True

from standins import TROUBLE, document, route, run_case  # noqa: E402

HOST, KEY, UNKNOWN = "ficu95.example", "rjvz48wuakn2ftimaj3n", "no-configuration-has-it"
REVOKE_S = 5.0
BOUNDS = {"StrictRevoke": True, "RevokeMs": 5000}
CONTRACTS = ["base", "drain", "config", "cost", "retry", "recover", "health", "tenants", "quota", "platform"]


def version(number, tenants):
    return document(number, {"r1": route(HOST, "/pufi/", "portal", "non_idempotent")}, ["portal"], tenants)


async def play(world):
    tenant = {"ApiKeys": [KEY], "Priority": 1, "RatePerS": 100, "Burst": 100}
    await world.configure(version(3, {"mill": tenant}))
    for zone in "ab":
        machine = world.machine(zone, "portal", bounds=BOUNDS, contracts=CONTRACTS)
        machine.start()
        await world.target(machine, "portal", f"i-portal-{zone}")

    async def serves():
        return all([(await machine.request("POST", HOST, "/pufi/1", key=KEY))["status"] == 200
                    for machine in world.machines])

    await world.until("the tenant is served at all machines", serves)
    for machine in world.machines:
        await machine.request("POST", HOST, "/pufi/2", key=UNKNOWN)
    # With the disruption the key is taken away; without, the version changes something else.
    acked = await world.configure(version(4, {} if TROUBLE else {"mill": {**tenant, "RatePerS": 120}}))
    sent = []
    while time.monotonic() < acked + REVOKE_S + 4.0:
        for machine in world.machines:
            sent.append(await machine.request("POST", HOST, "/pufi/3", key=KEY))
            sent.append(await machine.request("POST", HOST, "/pufi/4", key=UNKNOWN))
        await asyncio.sleep(0.2)
    ran = {run["attempt"]: run for run in world.runs()}
    late = [request for request in sent if request["sent"] > acked + REVOKE_S and TROUBLE
            and request["key"] == KEY and request["attempt"] in ran]
    unknown = [request for request in sent if request["key"] == UNKNOWN and request["attempt"] in ran]
    passed_on = [run for run in ran.values() if run["key"] is not None]
    broken = []
    if late:
        broken.append(f"CONFIG: {len(late)} requests ran that were sent later than RevokeMs after the ack of "
                      "the version that took their key away")
    if unknown:
        broken.append(f"ROUTE: {len(unknown)} requests ran whose key no configuration ever held")
    if passed_on:
        broken.append(f"UNASKED: {len(passed_on)} requests ran to which the client's key was passed on")
    return broken


run_case(FOLDER, play)
