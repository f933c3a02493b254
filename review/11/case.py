"""A leader is cut off from the store just as a run of a task fails."""

import asyncio
import sys
import time
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "rig-3"))

import system  # noqa: E402

JOB = "5c0e7a21d94b36f8"
ATTEMPTS = 3
CUT_S = 5.5


async def play():
    site = system.create(CASE)
    failing_runs = 2

    def behave(_task, number):
        return (3.0, "failed") if number <= failing_runs else (3.0, "done")

    await site.start(system.config(7, [system.queue("pattern-check", "/pattern/",
                                                    attempts=ATTEMPTS)]), behave)
    leader = site.leader()
    others = [process for process in site.schedulers if process is not leader]
    status, _ = await site.client(others[0], "POST", f"/pattern/{JOB}",
                                  {"Spec": "braid 7", "Steps": [system.step()]})
    if status != 200:
        raise RuntimeError("the job was not accepted")
    while not any(life.starts for life in site.workers):
        await asyncio.sleep(0.01)
    if system.trouble():
        await asyncio.sleep(2.95)
        door = site.store.doors[leader.name]
        door.lose_answers()
        site.record(f"{leader.name}, which last wrote under a condition, is cut off from the store")

        def heal():
            door.heal()
            site.record(f"{leader.name} reaches the store again")

        asyncio.get_running_loop().call_later(CUT_S, heal)
    state = ""
    end = time.monotonic() + 60
    while time.monotonic() < end and state not in ("completed", "failed", "cancelled"):
        await asyncio.sleep(0.5)
        _, answer = await site.client(others[0], "GET", f"/pattern/{JOB}")
        state = answer.get("State", state)
    failures = sum(1 for line in site.lines if " end " in line and line.endswith(" failed"))
    broken = state == "failed" and failures < ATTEMPTS
    text = (f"the job is shown as '{state}'; {failures} runs of its work unit ended failed, "
            f"{ATTEMPTS} attempts are allowed")
    return site, broken, text


system.main(CASE, play)
