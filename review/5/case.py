"""A configuration sends a queue to another service, and the one worker of the old service that suits a
job leaves. The job, which was accepted before, never runs on."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "rig"))
from system import OTHER_SERVICE, SERVICE, config, job, main, new_id, step

OLD_WORKERS, NEW_WORKERS = 13, 4
KIND = "b"  # the label that the job requires; one worker of the old service and all new ones have it
FINISH_S = 14.0  # `finish_s` of the small site
IDLE_S = 3.0


async def case(system, trouble):
    record = system.record
    identifier = new_id()
    body = job({"run_ms": 6000}, step(gpu=8, estimated_ms=6000, Requirements=KIND),
               step(gpu=8, estimated_ms=6000, Requirements=KIND, After=[0]))
    status, _ = await system.call(0, "POST", "usual", identifier, body)
    if status != 200:
        raise RuntimeError(f"the job was not accepted: {status}")
    await asyncio.sleep(2.0)
    old = system.workers[0]
    if trouble:
        await system.store.publish(config(2, usual_service=OTHER_SERVICE))
        record(f"operator: version 2 sends the queue to {OTHER_SERVICE}")
        await asyncio.sleep(1.0)
        await old.drain()
    # Work that is handed in now shows that the new service takes the queue's work.
    later = new_id()
    status, _ = await system.call(1, "POST", "usual", later, job({"run_ms": 1000}, step(Requirements=KIND)))
    await asyncio.sleep(8.0)
    record(f"the later job is {await system.state(1, 'usual', later)}")
    await asyncio.sleep(FINISH_S + IDLE_S)
    state = await system.state(0, "usual", identifier)
    # Each call of a client's is answered, but nothing runs, and nothing is in the way.
    running = [key for worker in system.workers for key in worker.running]
    if state == "completed" or running:
        return []
    last = max((at for worker in system.workers for at, task, *_ in worker.end_times
                if task.startswith(identifier)), default=0.0)
    return [f"job {identifier} is shown as {state} and has had nothing running for "
            f"{record.now() - last:.0f} s; the {NEW_WORKERS} workers of {OTHER_SERVICE}, to which "
            f"the queue is sent, are idle and have the label"]


main(case, os.path.dirname(os.path.abspath(__file__)), workers=OLD_WORKERS + NEW_WORKERS,
     services=[SERVICE] * OLD_WORKERS + [OTHER_SERVICE] * NEW_WORKERS,
     kinds=[KIND] + ["a"] * (OLD_WORKERS - 1) + [KIND] * NEW_WORKERS)
