"""A scheduled job that is handed in late, so that all its times are due at once."""

import asyncio
import time

import names
import system

WORKERS = 11
TIMES = 2500
INTERVAL_MS = 1000
CONFIG = {
    "Version": 1,
    "Routes": [system.queue("fit", 0), system.queue("sort", 2)],
    "Services": [{"Name": "service", "Preconditions": False}],
    "Tenants": [{"Name": "a", names.KEYS: ["key-a"], "Guaranteed": {"Gpu": 16}},
                {"Name": "b", names.KEYS: ["key-b"], "Guaranteed": {"Gpu": 16}}]}
FINISH_S = 14
IDLE_S = 3
WATCH_S = 40


async def scenario(deployment):
    now_ms = int(time.time() * 1000)
    late_ms = TIMES * INTERVAL_MS if deployment.trouble else -1000
    await deployment.submit(0, "sort", [
        {"Count": 55, "Cpu": 5600, names.MEMORY: 29000, "Gpu": 1, names.ESTIMATE: 6100}], 6.1,
        "key-b", schedule={"Repetitions": TIMES, names.FIRST_DUE: now_ms - late_ms,
                           names.INTERVAL: INTERVAL_MS})
    await asyncio.sleep(5)
    job = await deployment.submit(1, "fit", [
        {"Count": 3, "Cpu": 7500, names.MEMORY: 22000, "Gpu": 1, names.ESTIMATE: 2500}], 2.5)
    confirmed = time.monotonic()
    await asyncio.sleep(WATCH_S)
    _, state = await deployment.call(2, "GET", "fit", job)
    starts = deployment.starts_of(job)
    waited = (starts[0][0] if starts else time.monotonic()) - confirmed
    in_use = sum(len(worker.running) for worker in deployment.farm.workers)
    if waited <= FINISH_S + IDLE_S:
        return None
    return (f"the job of another tenant had nothing running for {waited:.1f} s; {in_use} of "
            f"{8 * WORKERS} accelerators are in use; state {state.get('State')}")


system.run_case(__file__, scenario, schedulers=3, workers=WORKERS, config=CONFIG)
