"""Stands in for the workers of the platform."""

import asyncio
import json
import random
import time

import web
import names


class Run:
    """A work unit that a worker has begun."""

    def __init__(self, task, number, seconds, lasting):
        self.task = task
        self.number = number
        self.seconds = seconds
        self.lasting = lasting
        self.worked = 0.0


class Farm:
    """All workers, and what the clients' jobs tell of the work units.

    `jobs` maps the id of a job to the run time of its units, whether they last, the size of its
    gang (0 for none), and whether its units fail by their own fault.
    """

    def __init__(self, record):
        self.record = record
        self.jobs = {}
        self.workers = []
        self.starts = []

    def gang_of(self, task):
        job = task.split(".")[0]
        step = task.rsplit(".", 1)[0]
        return step if self.jobs[job]["gang"] else None

    def gang_is_complete(self, run):
        gang = self.gang_of(run.task)
        if gang is None:
            return True
        present = sum(1 for worker in self.workers for other in worker.running.values()
                      if self.gang_of(other.task) == gang and other.number == run.number)
        return present >= self.jobs[run.task.split(".")[0]]["gang"]

    def end_gang(self, run, how):
        """Ends the other members of a run's gang."""
        gang = self.gang_of(run.task)
        for worker in self.workers:
            for other in list(worker.running.values()):
                if gang is not None and other is not run and other.number == run.number and \
                        self.gang_of(other.task) == gang:
                    worker.end(other, how)


class Worker:
    """One worker: its guard's calls, its announcements and its runs."""

    TICK_S = 0.05
    START_UP_S = 0.2
    MAX_LEASE_MS = 10000

    def __init__(self, farm, name, host, port, guard, rack, labels=("a",)):
        self.farm = farm
        self.name = name
        self.address = (host, port)
        self.guard = guard
        self.rack = rack
        self.labels = list(labels)
        self.id = f"i-{random.getrandbits(32):08x}"
        self.born = int(time.time() * 1000)
        self.began = time.monotonic()
        self.sequence = 0
        self.token = 0
        self.lease_end = 0
        self.running = {}
        self.ends = []
        self.end_count = 0
        self.highest = {}
        self.ended = asyncio.Event()
        self.grey_until = 0.0
        self.draining = False
        farm.workers.append(self)

    def clock(self):
        return int((time.monotonic() - self.began) * 1000)

    async def start(self):
        self.server = await web.serve(*self.address, self.handle)
        self.tasks = [asyncio.create_task(self.announce()), asyncio.create_task(self.work())]

    async def announce(self):
        while True:
            await self.ping()
            await asyncio.sleep(0.7 if self.sequence < 5 else 1.4)

    async def ping(self):
        self.sequence += 1
        body = {"Service": "service", "Address": "%s:%d" % self.address, "Zone": "hall",
                "Version": "v1", "Slots": 8, "State": "draining" if self.draining else "ready",
                "ColdRemainingMs": 0,
                "Capacity": {"Cpu": 64000, names.MEMORY: 262144, "Gpu": 8},
                "Labels": self.labels + [self.rack], names.CLOCK: self.clock(),
                "Sequence": self.sequence, "born": self.born}
        await web.call(*self.guard, "PUT", "/-/instances/" + self.id,
                       {"Content-Type": "application/json"}, json.dumps(body).encode(), 1.0)

    async def leave(self, drain_s):
        """Shuts down gracefully: announces it, serves on for a while, and ends."""
        self.draining = True
        await self.ping()
        self.farm.record(f"{self.name}: announced that it is draining")
        await asyncio.sleep(drain_s)
        await web.call(*self.guard, "DELETE", "/-/instances/" + self.id)
        self.farm.record(f"{self.name}: ends, with {len(self.running)} runs")
        for task in self.tasks:
            task.cancel()
        self.farm.workers.remove(self)
        await web.close(self.server)

    def end(self, run, how):
        del self.running[run.task]
        self.highest[run.task] = max(self.highest.get(run.task, 0), run.number)
        self.end_count += 1
        self.ends.append([self.end_count, run.task, run.number, how, ""])
        self.farm.record(f"{self.name}: run {run.number} of {run.task} ended {how}")
        self.ended.set()

    async def work(self):
        """Lets runs progress, and ends them when they are done or the lease has lapsed."""
        while True:
            await asyncio.sleep(self.TICK_S)
            if self.running and self.clock() > self.lease_end:
                for run in list(self.running.values()):
                    self.end(run, "lapsed")
            for run in list(self.running.values()):
                run.worked += self.TICK_S if self.farm.gang_is_complete(run) else 0
                if not run.lasting and run.worked >= run.seconds and run.task in self.running:
                    hopeless = self.farm.jobs[run.task.split(".")[0]]["hopeless"]
                    self.end(run, "failed" if hopeless else "done")
                    self.farm.end_gang(run, "broken" if hopeless else "done")

    def percent(self, run):
        if run.lasting:
            return 100 if run.worked >= self.START_UP_S else 0
        return min(99, int(100 * run.worked / run.seconds))

    async def handle(self, request):
        body = json.loads(request.body)
        clock = {names.CLOCK: self.clock()}
        if request.headers.get(names.INSTANCE_HEADER, self.id) != self.id:
            return 421, clock
        token = body.get(names.TOKEN, 0)
        if token < self.token:
            return 409, clock | {"Reason": "fence"}
        self.token = token
        if request.path == names.START:
            return self.begin(body, clock)
        if request.path == names.STOP:
            return self.stop(body, clock)
        if request.path == names.HOLD:
            return await self.hold(body)
        return 404, clock

    def extend(self, body):
        if names.LEASE_END in body:
            longest = self.clock() + self.MAX_LEASE_MS
            self.lease_end = max(self.lease_end, min(body[names.LEASE_END], longest))

    def begin(self, body, clock):
        task, number = body["Task"], body[names.RUN_ID]
        held = self.running.get(task)
        if held is not None and held.number == number:
            self.extend(body)
            return 200, clock
        if body[names.LEASE_END] <= self.clock():
            return 409, clock | {"Reason": "late"}
        self.extend(body)
        if number <= self.highest.get(task, 0) or held is not None:
            return 409, clock | {"Reason": "old"}
        job = self.farm.jobs[task.split(".")[0]]
        self.running[task] = Run(task, number, job["seconds"], job["lasting"])
        self.farm.starts.append((time.monotonic(), task, number, self))
        self.farm.record(f"{self.name}: run {number} of {task} started")
        if time.monotonic() < self.grey_until:
            run = self.running[task]
            self.end(run, "failed")
            self.farm.end_gang(run, "broken")
        return 200, clock

    def stop(self, body, clock):
        task, number = body["Task"], body[names.RUN_ID]
        run = self.running.get(task)
        if run is not None and run.number <= number:
            self.end(run, "stopped")
            self.farm.end_gang(run, "broken")
        self.highest[task] = max(self.highest.get(task, 0), number)
        return 200, clock

    async def hold(self, body):
        self.extend(body)
        self.ends = [end for end in self.ends if end[0] > body[names.LAST_SEEN]]
        if not self.ends:
            self.ended.clear()
            try:
                await asyncio.wait_for(self.ended.wait(), min(body.get(names.WAIT, 0), 2000) / 1000)
            except asyncio.TimeoutError:
                pass
        running = [[run.task, run.number, "", self.percent(run)] for run in self.running.values()]
        return 200, {names.CLOCK: self.clock(), "Running": running, "Finished": self.ends[:500],
                     "born": self.born}
