"""Stands in for a worker of the platform."""

import asyncio
import time

import names
import web


class Run:
    def __init__(self, task, number):
        self.task = task
        self.number = number
        self.timer = None
        self.began = time.monotonic()


class Worker:
    """One life of a worker. `behave(task, number) -> (seconds, how)` says how each run ends."""

    def __init__(self, record, name, listen, guard, service, zone, labels, behave, capacity=None):
        self.record = record
        self.name = name
        self.listen = listen
        self.guard = guard
        self.service = service
        self.zone = zone
        self.labels = labels
        self.behave = behave
        self.capacity = capacity or {"Cpu": 64000, names.MEMORY: 262144, "Gpu": 8}
        self.born = int(time.time() * 1000)
        self.epoch = time.monotonic()
        self.token = 0
        self.lease = 0
        self.running = {}
        self.finished = []
        self.ended_runs = {}
        self.next_end = 1
        self.sequence = 0
        self.ended = asyncio.Event()
        self.state = "ready"
        self.tasks = []
        self.server = None
        self.acknowledged = 0
        self.starts = []

    def clock(self):
        return int((time.monotonic() - self.epoch) * 1000) + 1000

    async def start(self):
        self.server = await web.serve(*self.listen, self.handle)
        self.tasks = [asyncio.create_task(self.announce()), asyncio.create_task(self.watch_lease())]

    async def announce(self):
        while True:
            self.sequence += 1
            body = {"Service": self.service, "Address": f"{self.listen[0]}:{self.listen[1]}",
                    "Zone": self.zone, "Version": "v1", "Slots": 8, "State": self.state,
                    "ColdRemainingMs": 0, "Capacity": self.capacity, "Labels": self.labels,
                    names.CLOCK: self.clock(), "Sequence": self.sequence, "born": self.born}
            status, _ = await web.call(*self.guard, "PUT", "/-/instances/" + self.name, body,
                                       timeout=1.0)
            await asyncio.sleep(1.5 if status == 200 else 0.3)

    async def watch_lease(self):
        while True:
            await asyncio.sleep(0.02)
            if self.running and self.clock() > self.lease:
                for run in list(self.running.values()):
                    self.end(run, "lapsed")

    def end(self, run, how):
        if self.running.get(run.task) is not run:
            return
        del self.running[run.task]
        if run.timer:
            run.timer.cancel()
        self.ended_runs[run.task] = max(self.ended_runs.get(run.task, 0), run.number)
        self.finished.append([self.next_end, run.task, run.number, how, ""])
        self.record(f"{self.name} end {self.next_end}: {run.task} run {run.number} {how}")
        self.next_end += 1
        self.ended.set()
        self.ended = asyncio.Event()

    def refuse(self, reason):
        return web.json_response(409, {names.CLOCK: self.clock(), "Reason": reason})

    def accept(self, body=None):
        return web.json_response(200, {names.CLOCK: self.clock(), **(body or {})})

    async def handle(self, request, _):
        if request.headers.get(names.EXPECTED_INSTANCE, self.name) != self.name:
            return web.json_response(421, {})
        body = request.json()
        token = body.get(names.TOKEN, 0)
        if token < self.token:
            return self.refuse("fence")
        self.token = token
        if names.DEADLINE in body and request.path != names.START_PATH:
            self.extend(body[names.DEADLINE])
        if request.path == names.START_PATH:
            return self.start_run(body)
        if request.path == names.STOP_PATH:
            return self.stop_run(body)
        if request.path == names.HOLD_PATH:
            return await self.hold(body)
        return web.json_response(404, {})

    def extend(self, deadline):
        self.lease = max(self.lease, min(deadline, self.clock() + 10000))

    def start_run(self, body):
        task, number = body["Task"], body[names.RUN]
        present = self.running.get(task)
        if present and present.number == number:
            return self.accept()
        if body[names.DEADLINE] <= self.clock():
            return self.refuse("late")
        self.extend(body[names.DEADLINE])
        if present or number <= self.ended_runs.get(task, 0):
            return self.refuse("old")
        run = Run(task, number)
        self.running[task] = run
        self.starts.append((time.monotonic(), task, number))
        seconds, how = self.behave(task, number)
        self.record(f"{self.name} start: {task} run {number} token {self.token}")
        if seconds is not None:
            run.seconds = seconds
            run.timer = asyncio.get_running_loop().call_later(seconds, self.end, run, how)
        return self.accept()

    def stop_run(self, body):
        task, number = body["Task"], body[names.RUN]
        self.record(f"{self.name} stop: {task} run {number}")
        self.ended_runs[task] = max(self.ended_runs.get(task, 0), number)
        run = self.running.get(task)
        if run and run.number <= number:
            asyncio.get_running_loop().call_later(0.1, self.end, run, "stopped")
        return self.accept()

    async def hold(self, body):
        seen = body.get(names.LAST_SEEN, 0)
        if seen > self.acknowledged:
            self.acknowledged = seen
            self.record(f"{self.name} ends up to {seen} are taken note of")
        self.finished = [end for end in self.finished if end[0] > seen]
        wait = min(body.get(names.WAIT, 0), 2000) / 1000
        if not self.finished and wait > 0:
            try:
                await asyncio.wait_for(self.ended.wait(), wait)
            except asyncio.TimeoutError:
                pass
        now = time.monotonic()
        running = []
        for run in self.running.values():
            seconds = getattr(run, "seconds", None)
            percent = 100 if seconds is None else min(99, int(100 * (now - run.began) / seconds))
            running.append([run.task, run.number, "", percent])
        return self.accept({"Running": running, "Finished": self.finished[:500],
                            "born": self.born})

    def stop(self):
        for task in self.tasks:
            task.cancel()
        if self.server:
            self.server.close()
