"""Starts a small deployment: schedulers and worker guards as separate processes, with the commands
and the settings templates of the deploy file, and the stand-ins of the platform."""

import asyncio
import json
import os
import pathlib
import random
import re
import signal
import subprocess
import tempfile
import time
import tomllib

import web
import names
from store import Gate, Store
from worker import Farm, Worker

ROOT = pathlib.Path(__file__).resolve().parents[2]
BOUNDS = {"ConfigApplyMs": 2500, "StrictRevocation": True, "RevocationMs": 5000,
          "DrainTimeoutMs": 2500, "ContactTimeoutMs": 3000, "GracePeriodS": 6,
          "StopTimeoutMs": 200, "GangTimeoutMs": 3000, names.MAX_HOLD: 10000,
          "ReclaimTimeoutMs": 2700, "RemotePenalty": 3, "visible_ms": 3000, "ThawSlackMs": 300,
          "status_s": 120}
CONTACT_TIMEOUT_S = BOUNDS["ContactTimeoutMs"] / 1000


class CannotRun(Exception):
    """The case could not be carried out, so it shows nothing."""


def fill(template, fields):
    """Fills in the placeholders that the templates of this project use."""

    def value(match):
        found = fields
        for part in match.group(1).split("."):
            found = found[int(part)] if isinstance(found, list) else found[part]
        return json.dumps(found) if match.group(2) else str(found)

    return re.sub(r"\{\{([A-Za-z_.0-9]+)(\|json)?\}\}", value, template)


def queue(name, priority, attempts=3):
    return {"Name": name, "Host": f"{name}.example", names.PREFIX: f"/{name}/",
            "Priority": priority, "MaxAttempts": attempts, names.SLACK: 1.5, names.TARGET: 1000,
            "Service": "service"}


class System:
    """Schedulers `edge-N` and guards `side-N` with a worker each, on loopback addresses."""

    def __init__(self, case, schedulers, workers, config, labels=None):
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.out = open(pathlib.Path(case).parent / "record.txt", "w", encoding="utf-8")
        self.began = time.monotonic()
        self.folder = tempfile.TemporaryDirectory(prefix="baobabrack-case-")
        self.net = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        self.scheduler_count = schedulers
        self.worker_count = workers
        self.config = config
        self.labels = labels or {}
        self.processes = {}
        self.deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]

    def record(self, text):
        self.out.write(f"{time.monotonic() - self.began:8.3f} {text}\n")
        self.out.flush()

    def edge(self, number):
        return f"{self.net}.{10 + number}"

    def side(self, number):
        return f"{self.net}.{100 + number}"

    def launch(self, name, role, fields):
        settings = pathlib.Path(self.folder.name) / f"{name}.json"
        template = (ROOT / self.deploy[role]["template"]).read_text()
        settings.write_text(fill(template, fields | {
            "NodeName": name, "Region": "tennengau", "Zone": "hall", "Bounds": BOUNDS,
            "InternalPortRange": [7000, 7015],
            "SeedNodes": [f"{self.edge(number)}:8526"
                          for number in range(min(self.scheduler_count, 3))]}))
        log = open(pathlib.Path(self.folder.name) / f"{name}.log", "w", encoding="utf-8")
        command = self.deploy[role]["run"].split()
        self.processes[name] = subprocess.Popen(
            [str(ROOT / command[0])] + command[1:], cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log,
            stderr=subprocess.STDOUT, env=os.environ | {"BAOBABRACK_CONFIG": str(settings)})

    def launch_scheduler(self, number):
        ip = self.edge(number)
        self.launch(f"edge-{number}", "scheduler", {
            "Ip": ip, "platform": {"Address": f"{self.net}.{200 + number}:8524"},
            "Listen": {"Frontend": f"{ip}:8521", "Readiness": f"{ip}:8523",
                       "ControlPlane": f"{ip}:8526"}})

    def launch_guard(self, number):
        ip = self.side(number)
        self.launch(f"side-{number}", "worker-guard", {
            "Ip": ip, "Listen": {"ControlPlane": f"{ip}:8526"}, "app": f"{ip}:8525"})

    async def start(self):
        daemon = ROOT / self.deploy["scheduler"]["run"].split()[0]
        if not daemon.exists():
            raise CannotRun("the program of the deploy file has not been built")
        self.store = Store()
        await self.store.publish(self.config)
        self.gates = [Gate(self.store) for _ in range(self.scheduler_count)]
        self.servers = [await web.serve(f"{self.net}.{200 + number}", 8524, gate.handle)
                        for number, gate in enumerate(self.gates)]
        self.farm = Farm(self.record)
        for number in range(self.scheduler_count):
            self.launch_scheduler(number)
        for number in range(self.worker_count):
            self.launch_guard(number)
            ip = self.side(number)
            worker = Worker(self.farm, f"worker-{number}", ip, 8525, (ip, 8526),
                            f"r-{number // 3}", self.labels.get(number, ("a",)))
            await worker.start()
        await self.wait_ready()

    async def wait_ready(self):
        """Waits until all schedulers are ready and have served for the time without contact."""
        for number in range(self.scheduler_count):
            for _ in range(100):
                status, _ = await web.call(self.edge(number), 8523, "GET", "/-/readiness")
                if status == 200:
                    break
                await asyncio.sleep(0.1)
            else:
                raise CannotRun(f"scheduler {number} is not ready")
        await asyncio.sleep(CONTACT_TIMEOUT_S + 1)
        self.record("the system is ready")

    async def call(self, number, method, queue_name, job="", key="key-a", body=None, budget_s=3.0):
        """A client's call to a scheduler. Returns the status and the decoded body."""
        headers = {"Host": f"{queue_name}.example", "Api-Key": key,
                   names.BUDGET_HEADER: str(int(budget_s * 1000)),
                   "Content-Type": "application/json"}
        status, reply = await web.call(self.edge(number), 8521, method, f"/{queue_name}/{job}",
                                        headers, json.dumps(body).encode() if body else b"",
                                        budget_s)
        text = reply if isinstance(reply, str) else reply.decode()
        self.record(f"edge-{number}: {method} /{queue_name}/{job} of {key} -> {status} {text}")
        return status, json.loads(text) if status is not None and text else {}

    async def submit(self, number, queue_name, steps, seconds, key="key-a", lasting=False, gang=0,
                     schedule=None, hopeless=False):
        """Hands in a job and returns its id. `schedule` holds the fields of a scheduled job."""
        job = f"{random.getrandbits(64):016x}"
        self.farm.jobs[job] = {"seconds": seconds, "lasting": lasting, "gang": gang,
                               "hopeless": hopeless}
        status, _ = await self.call(number, "POST", queue_name, job, key,
                                    {"Spec": "text", "Steps": steps} | (schedule or {}))
        if status != 200:
            raise CannotRun(f"a job was not accepted: {status}")
        return job

    def starts_of(self, job):
        return [start for start in self.farm.starts if start[1].startswith(job)]

    def send_signal(self, name, number):
        self.record(f"{name}: signal {signal.Signals(number).name}")
        self.processes[name].send_signal(number)

    def stop(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        kept = os.environ.get("KEEP_LOGS")
        if kept:
            subprocess.run(["cp", "-r", self.folder.name, kept], check=False)
        self.folder.cleanup()


def run_case(case, scenario, **deployment):
    """Runs a scenario, which returns the text of a broken rule or None, and exits as the order of
    the review asks: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run."""
    system = System(case, **deployment)

    async def play():
        code = 2
        try:
            await system.start()
            broken = await asyncio.wait_for(scenario(system), 105)
            system.record(f"broken: {broken}" if broken else "the rule held")
            code = 1 if broken else 0
        except (CannotRun, OSError, asyncio.TimeoutError) as error:
            system.record(f"could not run: {type(error).__name__} {error}")
        finally:
            system.stop()
            system.record(f"exit {code}")
            # The tasks of the stand-ins need no orderly end.
            os._exit(code)

    asyncio.run(play())
