"""An operator renames a tenant while a job of that tenant runs."""

import asyncio
import sys
import time
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "rig-3"))

import names  # noqa: E402
import system  # noqa: E402

JOB = "a1b2c3d4e5f60718"


def tenant(name):
    return [{"Name": name, names.KEYS: ["key-one"], "Guaranteed": {"Gpu": 8}}]


async def play():
    site = system.create(CASE)
    queues = [system.queue("batch-sort", "/batch/")]
    await site.start(system.config(7, queues, tenant("halle-nord")),
                     lambda _task, _number: (12.0, "done"))
    status, _ = await site.client(site.schedulers[0], "POST", f"/batch/{JOB}",
                                  {"Spec": "straw lot 4711",
                                   "Steps": [system.step(estimate=12000)]})
    if status != 200:
        raise RuntimeError("the job was not accepted")
    await asyncio.sleep(4)
    name = "halle-nord-neu" if system.trouble() else "halle-nord"
    site.publish(system.config(9, queues, tenant(name)))
    site.record(f"operator: the tenant's name is '{name}', its key is the same")
    await asyncio.sleep(4)
    gone = 0
    end = time.monotonic() + 8
    while time.monotonic() < end:
        for process in site.schedulers:
            status, answer = await site.client(process, "GET", f"/batch/{JOB}")
            gone += status == 410
        await asyncio.sleep(1)
    status, _ = await site.client(site.schedulers[1], "POST", f"/batch/{JOB}",
                                  {"Spec": "straw lot 4711",
                                   "Steps": [system.step(estimate=12000)]})
    runs = sum(" start: " in line for line in site.lines)
    text = f"{gone} states of the accepted job were answered 410; its work unit was started {runs} times"
    return site, gone > 0, text


system.main(CASE, play)
