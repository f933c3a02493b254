"""A job whose only start was refused, as the worker had just crashed, is not counted as pending."""

import asyncio
import json
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "rig"))
from system import job, main, new_id, step

WORKERS = 6
# The rule holds for jobs that were accepted over `visible_ms` and 2 s before.
VISIBLE_S = 3.0 + 2.0


async def case(system, trouble):
    record = system.record
    # All workers but one are full for the whole script.
    for _ in range(WORKERS - 1):
        body = job({"run_ms": 60000}, step(gpu=8, estimated_ms=60000))
        status, _ = await system.call(0, "POST", "usual", new_id(), body)
        if status != 200:
            raise RuntimeError(f"a job was not accepted: {status}")
    await asyncio.sleep(2.0)
    free = next(worker for worker in system.workers if not worker.running)
    if trouble:
        free.back_s = 3600.0
        free.crash("as the disruption says, for good")
    await asyncio.sleep(0.3)
    identifier = new_id()
    accepted_at = record.now()
    body = job({"run_ms": 20000}, step(gpu=8, estimated_ms=20000))
    status, _ = await system.call(0, "POST", "low", identifier, body)
    if status != 200:
        raise RuntimeError(f"the job was not accepted: {status}")
    broken = []
    await asyncio.sleep(VISIBLE_S + 1.0)
    for _ in range(4):
        for at in range(3):
            status, answer = await system.call(at, "GET", "low", "")
            begun = any(task.startswith(identifier) for worker in system.workers
                        for _, task, _ in worker.starts)
            pending = json.loads(answer).get("Pending") if status == 200 else None
            if not begun and pending is not None and pending < 0.5:
                broken.append(f"{system.schedulers[at].name} gives {pending} as pending "
                              f"{record.now() - accepted_at:.1f} s after the only job of the queue "
                              f"was accepted, of which no work unit has started")
        await asyncio.sleep(2.0)
    record(f"the job is shown as {await system.state(0, 'low', identifier)}")
    return broken


main(case, os.path.dirname(os.path.abspath(__file__)), workers=WORKERS)
