"""A work unit crashes each worker three seconds after its start, beside a stream of short work."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "rig"))
from system import job, main, new_id, step

LENGTH_S = 75.0
CRASHES_ALLOWED, STARTS_ALLOWED = 3, 3


async def case(system, trouble):
    record = system.record
    deadly = new_id()
    plan = {"run_ms": 90000}
    if trouble:
        plan["crash_ms"] = 3000
    status, _ = await system.call(0, "POST", "usual", deadly, job(plan, step(estimated_ms=20000)))
    if status != 200:
        raise RuntimeError(f"the job was not accepted: {status}")
    began = record.now()
    handed_in = []
    while record.now() - began < LENGTH_S:
        identifier = new_id()
        body = job({"run_ms": 1000}, step(estimated_ms=1000))
        status, _ = await system.call(len(handed_in) % 3, "POST", "usual", identifier, body)
        if status == 200:
            handed_in.append(identifier)
        await asyncio.sleep(0.35)
    starts = sorted((at, worker.name, run) for worker in system.workers
                    for at, task, run in worker.starts if task.startswith(deadly))
    state = await system.state(0, "usual", deadly)
    # Each start but the last was followed by a crash of its worker.
    more = starts[CRASHES_ALLOWED:] if trouble else []
    record(f"{len(starts)} starts, {sum(worker.crashes for worker in system.workers)} crashes, "
           f"the job is shown as {state}")
    if len(more) < STARTS_ALLOWED:
        return []
    return [f"after three workers had crashed under {deadly}.0.0.0 it was started {len(more)} "
            f"times more; the job is shown as {state}"]


main(case, os.path.dirname(os.path.abspath(__file__)), workers=4)
