"""A tenant's guaranteed accelerators while another tenant's urgent job uses all that is idle."""

import asyncio
import time

import names
import system

WORKERS = 11
CONFIG = {
    "Version": 1,
    "Routes": [system.queue("fit", 0)],
    "Services": [{"Name": "service", "Preconditions": False}],
    "Tenants": [{"Name": "a", names.KEYS: ["key-a"], "Guaranteed": {"Gpu": 16}},
                {"Name": "b", names.KEYS: ["key-b"], "Guaranteed": {"Gpu": 16}}]}
RECLAIM_S = system.BOUNDS["ReclaimTimeoutMs"] / 1000
WATCH_S = 40


async def scenario(deployment):
    count = WORKERS if deployment.trouble else 2
    large = await deployment.submit(0, "fit", [
        {"Count": count, "Cpu": 7500, names.MEMORY: 22000, "Gpu": 8, names.ESTIMATE: 2500,
         names.LASTING: True}], 0, "key-b", lasting=True)
    await asyncio.sleep(12)
    if len({start[1] for start in deployment.starts_of(large)}) != count:
        raise system.CannotRun("the other tenant's job has not begun on idle accelerators")
    job = await deployment.submit(1, "fit", [
        {"Count": 1, "Cpu": 7500, names.MEMORY: 22000, "Gpu": 8, names.ESTIMATE: 2500}], 2.5)
    confirmed = time.monotonic()
    await asyncio.sleep(WATCH_S)
    _, state = await deployment.call(2, "GET", "fit", job)
    starts = deployment.starts_of(job)
    if starts and starts[0][0] - confirmed <= RECLAIM_S:
        return None
    begun = f"{starts[0][0] - confirmed:.1f} s after" if starts else f"not within {WATCH_S} s of"
    return f"the guaranteed job has begun {begun} its confirmation; state {state.get('State')}"


system.run_case(__file__, scenario, schedulers=3, workers=WORKERS, config=CONFIG)
