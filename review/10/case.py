"""A machine's target is replaced by one of another service; the settings change without a signal."""

import asyncio
import os
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins-2"))
sys.dont_write_bytecode = True

from standins import TROUBLE, document, route, run_case  # noqa: E402

HOST = "ficu95.example"
ADDR_REUSE_S, STABLE_WINDOW_S = 2.0, 3.0


async def play(world):
    routes = {"r1": route(HOST, "/book/", "booking-svc", "non_idempotent")}
    await world.configure(document(3, routes, ["window-svc", "history-svc", "booking-svc"]))
    changing, other = world.machine("a", "window-svc"), world.machine("b", "booking-svc")
    for machine in (changing, other):
        machine.start()
    window = await world.target(changing, "window-svc", "i-window")
    await world.target(other, "booking-svc", "i-booking")

    async def serves():
        return all([(await machine.request("POST", HOST, "/book/1"))["status"] == 200
                    for machine in world.machines])

    await world.until("both machines serve", serves)
    # The target crashes. Later its address goes to a target of another service.
    await window.crash()
    await asyncio.sleep(ADDR_REUSE_S + 0.5)
    changing.service = "history-svc"
    changing.write_settings()
    world.record.write("settings change", machine=changing.name, service=changing.service,
                       signal=not TROUBLE)
    if not TROUBLE:
        changing.send(signal.SIGHUP)
    await world.target(changing, "history-svc", "i-history")
    changed = time.monotonic()
    sent = []
    while time.monotonic() < changed + STABLE_WINDOW_S + 8.0:
        sent.append(await changing.request("POST", HOST, "/book/2"))
        await asyncio.sleep(0.1)
    # Only requests that were sent well after the change are judged.
    judged = {request["attempt"] for request in sent if request["sent"] > changed + STABLE_WINDOW_S}
    runs = [run for run in world.runs() if run["attempt"] in judged]
    world.record.write("judged", sent=len(judged), ran=len(runs))
    wrong = [run for run in runs if run["caller_service"] != "history-svc"]
    if not wrong:
        return []
    named = sorted({str(run["caller_service"]) for run in wrong})
    return [f"UNASKED: {len(wrong)} of {len(runs)} requests ran whose X-Fescueway-Caller-Service is {named}; "
            "the machine where they began has history-svc"]


run_case(FOLDER, play)
