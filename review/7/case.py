"""Jobs that can never be done, on workers that also run a lasting work unit."""

import asyncio
import time

import names
import system

WORKERS = 11
SOUND = 100
HOPELESS = 6
CONFIG = {
    "Version": 1,
    "Routes": [system.queue("check", 1), system.queue("sort", 2)],
    "Services": [{"Name": "service", "Preconditions": False}],
    "Tenants": [{"Name": "a", names.KEYS: ["key-a"], "Guaranteed": {"Gpu": 16}}]}
FINISH_S = 14
IDLE_S = 3
WATCH_S = 30


async def scenario(deployment):
    lasting = await deployment.submit(0, "check", [
        {"Count": WORKERS, "Cpu": 5600, names.MEMORY: 29000, "Gpu": 1, names.ESTIMATE: 6100,
         names.APART: 1, names.LASTING: True}], 0, lasting=True)
    await asyncio.sleep(3)
    if len(deployment.starts_of(lasting)) != WORKERS:
        raise system.CannotRun("the lasting work units have not begun")
    for _ in range(SOUND):
        await deployment.submit(0, "sort", [
            {"Count": 3, "Cpu": 5600, names.MEMORY: 29000, "Gpu": 1, names.ESTIMATE: 500}], 0.5)
        await asyncio.sleep(0.15)
    await asyncio.sleep(3)
    for _ in range(HOPELESS if deployment.trouble else 0):
        await deployment.submit(1, "sort", [
            {"Count": 55, "Cpu": 5600, names.MEMORY: 29000, "Gpu": 1, names.ESTIMATE: 1000}], 1,
            hopeless=True)
        await asyncio.sleep(0.5)
    await asyncio.sleep(10)
    job = await deployment.submit(1, "sort", [
        {"Count": 9, "Cpu": 5600, names.MEMORY: 29000, "Gpu": 1, names.ESTIMATE: 6100}], 6.1)
    confirmed = time.monotonic()
    await asyncio.sleep(WATCH_S)
    _, state = await deployment.call(2, "GET", "sort", job)
    starts = deployment.starts_of(job)
    waited = (starts[0][0] if starts else time.monotonic()) - confirmed
    in_use = sum(len(worker.running) for worker in deployment.farm.workers)
    if waited <= FINISH_S + IDLE_S:
        return None
    return (f"the job had nothing running for {waited:.1f} s while {in_use} of "
            f"{8 * WORKERS} accelerators were in use; state {state.get('State')}")


system.run_case(__file__, scenario, schedulers=3, workers=WORKERS, config=CONFIG)
