"""A cancellation at a scheduler that the store turns away, shortly after the job was accepted."""

import asyncio
import time

import names
import system

WORKERS = 2
CONFIG = {
    "Version": 1,
    "Routes": [system.queue("sort", 2)],
    "Services": [{"Name": "service", "Preconditions": False}],
    "Tenants": [{"Name": "a", names.KEYS: ["key-a"], "Guaranteed": {"Gpu": 16}}]}
TURNED_AWAY_S = 4
ACKNOWLEDGE_S = 4


async def scenario(deployment):
    if deployment.trouble:
        deployment.gates[1].turned_away = True
        deployment.record("the store turns edge-1 away")
    await asyncio.sleep(0.1)
    job = await deployment.submit(0, "sort", [
        {"Count": 32, "Cpu": 5600, names.MEMORY: 29000, "Gpu": 4, names.ESTIMATE: 4000}], 4)
    await asyncio.sleep(0.5)
    cancelled, _ = await deployment.call(1, "DELETE", "sort", job)
    await asyncio.sleep(TURNED_AWAY_S - 0.6)
    deployment.gates[1].turned_away = False
    deployment.record("the store serves edge-1 again")
    await asyncio.sleep(system.CONTACT_TIMEOUT_S)
    calm = time.monotonic()
    deployment.record("all machines are in touch")
    await asyncio.sleep(20)
    _, state = await deployment.call(0, "GET", "sort", job)
    late = [start for start in deployment.starts_of(job) if start[0] > calm + ACKNOWLEDGE_S]
    if cancelled not in (200, 410):
        raise system.CannotRun(f"the cancellation was answered with {cancelled}")
    if late:
        return (f"{len(late)} work units of the job started later than {ACKNOWLEDGE_S} s after all "
                f"machines were in touch; its cancellation had been answered with {cancelled}; "
                f"state {state.get('State')}")
    return None


system.run_case(__file__, scenario, schedulers=3, workers=WORKERS, config=CONFIG)
