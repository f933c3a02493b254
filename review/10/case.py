"""A gang whose members all fail once, on one worker that fails all that it starts."""

import asyncio
import time

import names
import system

WORKERS = 11
MEMBERS = 4
ATTEMPTS = 4
GREY_S = 6.5
CONFIG = {
    "Version": 1,
    "Routes": [system.queue("fit", 0, ATTEMPTS)],
    "Services": [{"Name": "service", "Preconditions": False}],
    "Tenants": [{"Name": "a", names.KEYS: ["key-a"], "Guaranteed": {"Gpu": 22}}]}


async def scenario(deployment):
    steps = [{"Count": MEMBERS, "Cpu": 7500, names.MEMORY: 22000, "Gpu": 2,
              names.ESTIMATE: 2500, "Gang": True}]
    # The system chooses the same worker for this job as for the next one, since all are idle.
    first = await deployment.submit(0, "fit", steps, 2.5, gang=MEMBERS)
    await asyncio.sleep(8)
    if len(deployment.starts_of(first)) < MEMBERS:
        raise system.CannotRun("the first job has not begun")
    worker = deployment.starts_of(first)[0][3]
    if deployment.trouble:
        worker.grey_until = time.monotonic() + GREY_S
        deployment.record(f"{worker.name} fails all that it starts for {GREY_S} s")
    job = await deployment.submit(0, "fit", steps, 2.5, gang=MEMBERS)
    await asyncio.sleep(25)
    _, state = await deployment.call(1, "GET", "fit", job)
    attempts = len({start[2] for start in deployment.starts_of(job)})
    if state.get("State") == "failed" and attempts < ATTEMPTS:
        return (f"the job is shown as failed after {attempts} run of its gang; "
                f"the queue allows {ATTEMPTS}")
    if state.get("State") != "completed":
        raise system.CannotRun(f"the job ended as {state}")
    return None


system.run_case(__file__, scenario, schedulers=3, workers=WORKERS, config=CONFIG)
