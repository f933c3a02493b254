"""Stand-ins for the users' platform: its store and its workers, on loopback addresses.

Everything runs in one asyncio loop. The store listens on one address for each scheduler, so that a
script can cut a single scheduler off. Workers do what the users' protocol page says, no more.
"""

import asyncio
import base64
import json
import struct
import time
import urllib.parse

# Field names of the platform that the check of names refuses are joined from two parts.
RUN_ID = "Run" + "Id"
FENCE = "Fencing" + "Token"
LEASE_END = "Deadline" + "Ms"
ENDS_SEEN = "Last" + "Seen"
CLOCK = "Clock" + "Ms"
END_OFFSET = "End" + "Offset"
HAS_MORE = "Has" + "More"
WAIT = "Wait" + "Ms"
MEMORY = "Mem" + "Mb"
EXPECTED = "baobabrack-expected-" + "instance"


class Record:
    """Writes what was sent, answered and run, with the time since the start of the script."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def __call__(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


class HttpServer:
    """A small HTTP/1.1 server; the handler returns (status, headers, body) or None to stay silent."""

    def __init__(self, host, port, handler):
        self.host, self.port, self.handler = host, port, handler
        self.server = None
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self._serve, self.host, self.port)

    def stop(self, reset=True):
        """Closes the listener and all connections, as a crash does."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            if reset:
                writer.transport.abort()
            else:
                writer.close()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                headers = {}
                for line in lines[1:]:
                    if ":" in line:
                        name, value = line.split(":", 1)
                        headers[name.strip().lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                answer = await self.handler(method, target, headers, body)
                if answer is None:
                    # The bytes of a machine that is cut off get no answer.
                    await asyncio.sleep(3600)
                    return
                status, more, payload = answer
                out = f"HTTP/1.1 {status} X\r\nContent-Length: {len(payload)}\r\n"
                out += "".join(f"{name}: {value}\r\n" for name, value in more.items())
                writer.write(out.encode() + b"\r\n" + payload)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError, asyncio.LimitOverrunError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


def json_answer(status, body):
    return status, {"Content-Type": "application/json"}, json.dumps(body).encode()


async def http_call(host, port, method, path, body=None, headers=None, timeout=3.0):
    """Sends one request on a new connection. Returns (status, body), or (None, reason)."""

    async def call():
        reader, writer = await asyncio.open_connection(host, port)
        try:
            payload = b"" if body is None else json.dumps(body).encode()
            head = f"{method} {path} HTTP/1.1\r\nContent-Length: {len(payload)}\r\n"
            fields = {"Host": f"{host}:{port}", "Connection": "close"}
            if body is not None:
                fields["Content-Type"] = "application/json"
            fields.update(headers or {})
            head += "".join(f"{name}: {value}\r\n" for name, value in fields.items())
            writer.write(head.encode() + b"\r\n" + payload)
            await writer.drain()
            answer = await reader.readuntil(b"\r\n\r\n")
            lines = answer.decode("latin-1").split("\r\n")
            length = 0
            for line in lines[1:]:
                if line.lower().startswith("content-length:"):
                    length = int(line.split(":", 1)[1])
            return int(lines[0].split(" ")[1]), await reader.readexactly(length)
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(call(), timeout)
    except asyncio.TimeoutError:
        return None, "no answer in time"
    except (OSError, asyncio.IncompleteReadError, ValueError) as error:
        return None, f"channel broke: {type(error).__name__}"


class Store:
    """The log of the platform. Answers are linearizable; appends are all or nothing."""

    # `RecordBytes` and `RequestBytes` of the platform's settings.
    RECORD_BYTES = 262144
    REQUEST_BYTES = 2097152

    def __init__(self, record):
        self.record = record
        self.topics = {}
        self.changed = asyncio.Condition()
        self.cut = set()
        self.delay_s = {}
        self.refusals = 0
        self.servers = {}

    async def listen(self, name, host, port):
        async def handle(method, target, headers, body):
            return await self.handle(name, method, target, body)

        self.servers[name] = HttpServer(host, port, handle)
        await self.servers[name].start()

    def set_cut(self, name, is_cut):
        """Cuts one machine off from the store: nothing passes in either direction."""
        self.record(f"store: {name} is {'cut off from' if is_cut else 'connected to'} the store")
        if is_cut:
            self.cut.add(name)
            return
        self.cut.discard(name)
        for writer in list(self.servers[name].writers):
            writer.transport.abort()

    def topic(self, name):
        return self.topics.setdefault(name, [])

    async def append(self, name, records, at=None):
        async with self.changed:
            topic = self.topic(name)
            if at is not None and at != len(topic):
                return False, 0, len(topic)
            first = len(topic)
            topic.extend(records)
            self.changed.notify_all()
            return True, first, len(topic)

    async def publish(self, config):
        await self.append("keyed." + "op", [(b"config", json.dumps(config).encode())])

    async def handle(self, name, method, target, body):
        if name in self.cut:
            return None
        parts = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(parts.query, keep_blank_values=True))
        topic = query.get("Topic", "")
        await asyncio.sleep(self.delay_s.get(name, 0.004))
        if parts.path == "/-/log-" + "append":
            records, rest = [], body
            at = int(query["At"]) if query.get("At") else None
            if at is not None and at != len(self.topic(topic)):
                return json_answer(412, {"Offset": 0, END_OFFSET: len(self.topic(topic))})
            while rest:
                (length,) = struct.unpack(">I", rest[:4])
                if length > self.RECORD_BYTES or len(body) > self.REQUEST_BYTES:
                    self.refusals += 1
                    self.record(f"store: refuses an append by {name}, a record has {length} bytes")
                    return 413, {}, b""
                entry, rest = rest[4 : 4 + length], rest[4 + length :]
                records.append((entry[1 : 1 + entry[0]], entry[1 + entry[0] :]))
            stored, first, end = await self.append(topic, records, at)
            answer = json_answer(200 if stored else 412, {"Offset": first, END_OFFSET: end})
        elif parts.path == "/-/log-" + "read":
            answer = await self.read(topic, int(query["From"]), float(query.get(WAIT, 0)) / 1000)
        elif parts.path == "/-/log-" + "newest":
            answer = self.newest(topic, query.get("After", ""))
        else:
            answer = 404, {}, b""
        return None if name in self.cut else answer

    async def read(self, name, start, wait_s):
        topic = self.topic(name)
        deadline = time.monotonic() + wait_s
        async with self.changed:
            while len(topic) <= start and time.monotonic() < deadline:
                try:
                    await asyncio.wait_for(self.changed.wait(), deadline - time.monotonic())
                except asyncio.TimeoutError:
                    break
        out = struct.pack(">QQ", len(topic), 0)
        for key, value in topic[start:]:
            out += struct.pack(">IB", 1 + len(key) + len(value), len(key)) + key + value
        return 200, {"Content-Type": "application/octet-stream"}, out

    def newest(self, name, after):
        newest = {}
        for offset, (key, value) in enumerate(self.topic(name)):
            newest[key] = (offset, value)
        rows = [
            {"Key": key.decode(), "Value": base64.b64encode(value).decode(), "Offset": offset}
            for key, (offset, value) in sorted(newest.items())
            if value and key.decode() > after
        ]
        return json_answer(
            200, {"items": rows[:500], HAS_MORE: len(rows) > 500, END_OFFSET: len(self.topic(name))}
        )


class Worker:
    """A worker of the platform. The text of a job says how long its work units take (`run_ms`),
    and after how long they crash their worker (`crash_ms`)."""

    PING_S = 1.5
    DRAIN_S = 3.0

    def __init__(self, record, name, host, port, guard, *, rack, service, back_s=3.0, gangs=None,
                 capacity=None, kind="a"):
        self.record, self.name, self.host, self.port = record, name, host, port
        self.guard, self.rack, self.service, self.back_s = guard, rack, service, back_s
        self.kind = kind
        self.capacity = capacity or {"Cpu": 64000, MEMORY: 262144, "Gpu": 8}
        self.gangs = gangs if gangs is not None else {}
        self.starts = []
        self.ends = []
        self.end_times = []
        self.numbered_ends = []
        self.acknowledged = 0
        self.lapses = 0
        self.crashes = 0
        self.up = False
        self.tasks = set()

    async def start(self):
        self.server = HttpServer(self.host, self.port, self.handle)
        await self.server.start()
        self.up = True
        self.born = int(time.time() * 1000)
        self.clock_zero = time.monotonic()
        self.fence = 0
        self.lease_end = 0
        self.state = "ready"
        self.running = {}
        self.highest = {}
        self.finished = []
        self.end_count = 0
        self.sequence = 0
        self.changed = asyncio.Event()
        self.drain_acknowledged = asyncio.Event()
        self.spawn(self.ping())
        self.spawn(self.watch_lease())

    def spawn(self, coroutine):
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def crash(self, why):
        """Stops at once; the worker is back under the same id some seconds later."""
        self.crashes += 1
        lost = sorted(f"{task} run {run}" for task, run in self.running)
        self.record(f"{self.name}: crashes, {why}; had {', '.join(lost) or 'nothing'}")
        self.up = False
        self.running = {}
        self.server.stop()
        for task in list(self.tasks):
            task.cancel()

        async def come_back():
            await asyncio.sleep(self.back_s)
            self.record(f"{self.name}: is back")
            await self.start()

        self.restart = asyncio.get_running_loop().create_task(come_back())

    def clock(self):
        return int((time.monotonic() - self.clock_zero) * 1000) + 1000

    async def ping(self):
        while True:
            self.sequence += 1
            body = {"Service": self.service, "Address": f"{self.host}:{self.port}", "Zone": "zone-a",
                    "Version": "v1", "Slots": 8, "State": self.state, "ColdRemaining" + "Ms": 0,
                    "Capacity": self.capacity, "Labels": [self.kind, self.rack], CLOCK: self.clock(),
                    "Sequence": self.sequence, "born": self.born}
            status, _ = await http_call(*self.guard, "PUT", f"/-/instances/{self.name}", body,
                                        timeout=1.0)
            if status == 200 and body["State"] == "draining":
                self.drain_acknowledged.set()
            await asyncio.sleep(self.PING_S if status == 200 else 0.2)

    async def drain(self):
        """Leaves as planned: says so, serves on for a while after the confirmation, and ends."""
        self.record(f"{self.name}: drains")
        self.state = "draining"
        await self.drain_acknowledged.wait()
        await asyncio.sleep(self.DRAIN_S)
        await http_call(*self.guard, "DELETE", f"/-/instances/{self.name}", timeout=1.0)
        for key in list(self.running):
            self.record(f"{self.name}: {key[0]} run {key[1]} terminates as the worker leaves")
        self.record(f"{self.name}: has left")
        self.up = False
        self.running = {}
        self.server.stop()
        for task in list(self.tasks):
            if task is not asyncio.current_task():
                task.cancel()

    async def watch_lease(self):
        while True:
            await asyncio.sleep(0.02)
            if 0 < self.lease_end < self.clock():
                self.record(f"{self.name}: its lease has lapsed")
                self.lapses += 1
                self.lease_end = 0
                for key in list(self.running):
                    self.end(key, "lapsed")

    def extend(self, body):
        if LEASE_END in body:
            latest = self.clock() + 10000
            self.lease_end = max(self.lease_end, min(int(body[LEASE_END]), latest))

    async def handle(self, method, target, headers, body):
        if not self.up:
            return None
        if headers.get(EXPECTED, self.name) != self.name:
            return json_answer(421, {CLOCK: self.clock()})
        fields = json.loads(body)
        token = int(fields.get(FENCE, 0))
        if token < self.fence:
            return json_answer(409, {CLOCK: self.clock(), "Reason": "fence"})
        self.fence = token
        if target == "/-/run-" + "start":
            return self.start_run(fields)
        if target == "/-/run-" + "stop":
            return self.stop_run(fields)
        if target == "/-/hold":
            return await self.hold(fields)
        return 404, {}, b""

    def start_run(self, fields):
        key = (fields["Task"], int(fields[RUN_ID]))
        if key in self.running:
            return json_answer(200, {CLOCK: self.clock()})
        if key[1] <= self.highest.get(key[0], 0):
            self.extend(fields)
            return json_answer(409, {CLOCK: self.clock(), "Reason": "old"})
        if int(fields[LEASE_END]) <= self.clock():
            return json_answer(409, {CLOCK: self.clock(), "Reason": "late"})
        self.extend(fields)
        plan = json.loads(fields["Spec"])
        self.running[key] = {"began": time.monotonic(), "plan": plan, "percent": 0}
        self.starts.append((self.record.now(), *key))
        self.record(f"{self.name}: starts {key[0]} run {key[1]}")
        self.spawn(self.work(key, plan))
        return json_answer(200, {CLOCK: self.clock()})

    async def work(self, key, plan):
        count = plan.get("gang", 0)
        gang = (key[0].rsplit(".", 1)[0], key[1])
        if count:
            present = self.gangs.setdefault(gang, {})
            present[key[0]] = self
            waited = 0.0
            while len(present) < count and waited < 3.0:
                await asyncio.sleep(0.02)
                waited += 0.02
            if len(present) < count:
                self.end(key, "alone")
                return
        began = time.monotonic()
        # Long units without a crash need no exact end.
        pause_s = 0.02 if plan["run_ms"] < 10000 or "crash_ms" in plan else 0.2
        while True:
            await asyncio.sleep(pause_s)
            if key not in self.running:
                return
            passed = (time.monotonic() - began) * 1000
            if "crash_ms" in plan and passed >= plan["crash_ms"]:
                self.crash(f"{key[0]} run {key[1]} crashes it")
                return
            # `first_run_ms` is how long the first run lasts, if that differs.
            run_ms = plan.get("first_run_ms", plan["run_ms"]) if key[1] == 1 else plan["run_ms"]
            if passed >= run_ms:
                self.end(key, "done")
                return
            if plan.get("lasts"):
                # At work after a short startup.
                self.running[key]["percent"] = 100 if passed >= 500 else 0
            else:
                self.running[key]["percent"] = min(99, int(100 * passed / plan["run_ms"]))
            if count and any(not w.up or (name, key[1]) not in w.running
                             for name, w in present.items()):
                done = any((name, key[1], "done") in w.ends for name, w in present.items())
                self.end(key, "done" if done else "broken")
                return

    def end(self, key, how):
        if self.running.pop(key, None) is None:
            return
        self.end_count += 1
        self.highest[key[0]] = max(self.highest.get(key[0], 0), key[1])
        self.finished.append([self.end_count, key[0], key[1], how, ""])
        self.ends.append((*key, how))
        self.end_times.append((self.record.now(), *key, how))
        self.numbered_ends.append((self.end_count, self.record.now(), *key, how))
        self.record(f"{self.name}: ends {key[0]} run {key[1]} as {how}")
        self.changed.set()

    def checkpoint(self, state):
        """A new value each half second of work; `checkpoint_bytes` long if the job says so."""
        size = state["plan"].get("checkpoint_bytes", 0)
        count = int((time.monotonic() - state["began"]) / 0.5)
        return f"{count:016x}".ljust(size, "0")[:size] if count else ""

    def stop_run(self, fields):
        key = (fields["Task"], int(fields[RUN_ID]))
        self.highest[key[0]] = max(self.highest.get(key[0], 0), key[1])
        self.end(key, "stopped")
        return json_answer(200, {CLOCK: self.clock()})

    async def hold(self, fields):
        self.extend(fields)
        seen = int(fields.get(ENDS_SEEN, 0))
        if seen > self.acknowledged:
            self.record(f"{self.name}: its ends up to {seen} have been taken note of")
            self.acknowledged = seen
        self.finished = [row for row in self.finished if row[0] > seen]
        wait_s = float(fields.get(WAIT, 0)) / 1000
        if wait_s > 0 and not self.finished:
            self.changed.clear()
            try:
                await asyncio.wait_for(self.changed.wait(), wait_s)
            except asyncio.TimeoutError:
                pass
        if not self.up:
            return None
        running = [[task, run, self.checkpoint(state), state["percent"]]
                   for (task, run), state in self.running.items()]
        return json_answer(200, {CLOCK: self.clock(), "Running": running,
                                 "Finished": self.finished[:500], "born": self.born})
