"""A gang that has to wait for a lasting work unit, and a job behind it that fits on idle workers."""

import asyncio
import time

import names
import system

WORKERS = 11
CONFIG = {
    "Version": 1,
    "Routes": [system.queue("check", 1), system.queue("sort", 2)],
    "Services": [{"Name": "service", "Preconditions": False}],
    "Tenants": [{"Name": "a", names.KEYS: ["key-a"], "Guaranteed": {"Gpu": 16}}]}
FINISH_S = 14
IDLE_S = 3
WATCH_S = 45


async def scenario(deployment):
    lasting = await deployment.submit(0, "check", [
        {"Count": 1, "Cpu": 5600, names.MEMORY: 29000, "Gpu": 1, names.ESTIMATE: 2500,
         names.LASTING: True}], 0, lasting=True)
    await asyncio.sleep(3)
    if not deployment.starts_of(lasting):
        raise system.CannotRun("the lasting work unit has not begun")
    if deployment.trouble:
        # It needs the accelerators of all workers, and one of them is in use for good.
        await deployment.submit(0, "check", [
            {"Count": WORKERS, "Cpu": 26000, names.MEMORY: 140000, "Gpu": 8,
             names.ESTIMATE: 11000, "Gang": True}], 11, gang=WORKERS)
        await asyncio.sleep(1)
    job = await deployment.submit(1, "sort", [
        {"Count": 9, "Cpu": 5600, names.MEMORY: 29000, "Gpu": 1, names.ESTIMATE: 6100}], 6.1)
    confirmed = time.monotonic()
    await asyncio.sleep(WATCH_S)
    _, state = await deployment.call(2, "GET", "sort", job)
    starts = deployment.starts_of(job)
    waited = (starts[0][0] if starts else time.monotonic()) - confirmed
    if waited <= FINISH_S + IDLE_S:
        return None
    return (f"the job had nothing running for {waited:.1f} s while {8 * WORKERS - 1} of "
            f"{8 * WORKERS} accelerators were idle; state {state.get('State')}")


system.run_case(__file__, scenario, schedulers=3, workers=WORKERS, config=CONFIG)
