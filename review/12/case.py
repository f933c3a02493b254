"""A large job of many small work units is submitted, and then a small one of another tenant."""

import asyncio
import sys
import time
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "rig-3"))

import names  # noqa: E402
import system  # noqa: E402

LARGE, SMALL = "00000000000000bb", "00000000000000aa"
SPEC_BYTES = 4000
COUNT = 1500
CPU, MEMORY = 40, 160
FINISH_S = 14
IDLE_S = 3


async def play():
    site = system.create(CASE)
    queues = [system.queue("block-fit", "/fit/", priority=0),
              system.queue("batch-sort", "/sort/", priority=2)]
    tenants = [{"Name": "halle-nord", names.KEYS: ["key-one"], "Guaranteed": {"Gpu": 8}},
               {"Name": "litzenlager", names.KEYS: ["key-two"], "Guaranteed": {"Gpu": 8}}]
    await site.start(system.config(7, queues, tenants), lambda _task, _number: (2.0, "done"))
    front = site.schedulers[0]
    count = COUNT if system.trouble() else 150
    status, _ = await site.client(
        front, "POST", f"/fit/{LARGE}",
        {"Spec": "x" * SPEC_BYTES,
         "Steps": [system.step(count=count, cpu=CPU, memory=MEMORY, gpu=0, estimate=2000)]})
    if status != 200:
        raise RuntimeError("the large job was not accepted")
    await asyncio.sleep(2)
    status, _ = await site.client(
        front, "POST", f"/sort/{SMALL}",
        {"Spec": "lot", "Steps": [system.step(count=3, estimate=2000)]}, key="key-two")
    if status != 200:
        raise RuntimeError("the small job was not accepted")
    site.record(f"the traffic ends; the rule looks {FINISH_S} s later")
    await asyncio.sleep(FINISH_S)

    async def states():
        _, large = await site.client(front, "GET", f"/fit/{LARGE}")
        _, small = await site.client(front, "GET", f"/sort/{SMALL}", key="key-two")
        return large.get("State"), small.get("State")

    idle_since = time.monotonic()
    longest = 0.0
    end = time.monotonic() + 20
    while time.monotonic() < end:
        large, small = await states()
        if large == "completed" and small == "completed":
            break
        running = {run.task.split(".")[0] for life in site.workers for run in life.running.values()}
        site.record("running: " + ", ".join(f"{life.name} {len(life.running)}"
                                            for life in site.workers))
        if running:
            idle_since = time.monotonic()
        longest = max(longest, time.monotonic() - idle_since)
        await asyncio.sleep(1)
    large, small = await states()
    broken = longest > IDLE_S and "completed" not in (large, small)
    starts = sum(len(life.starts) for life in site.workers)
    text = (f"large job '{large}', small job '{small}'; {starts} of {count + 3} work units were "
            f"started; all workers were idle for {longest:.0f} s from {FINISH_S} s after the traffic")
    return site, broken, text


system.main(CASE, play)
