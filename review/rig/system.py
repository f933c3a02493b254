"""Starts the schedulers and worker guards of a small deployment as the deploy file says."""

import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile

from platform_standin import MEMORY, Record, Store, Worker, http_call

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
FRONTEND, READINESS, CONTROL, APP, STORE, INTERNAL = 8521, 8523, 8526, 8529, 8524, 7000

# The bounds of the small site.
BOUNDS = {
    "ConfigApplyMs": 2500, "StrictRevocation": True, "RevocationMs": 5000, "DrainTimeoutMs": 2500,
    "ContactTimeoutMs": 3000, "GracePeriodS": 6, "StopTimeoutMs": 200, "GangTimeoutMs": 3000,
    "MaxHold" + "Ms": 10000, "ReclaimTimeoutMs": 2700, "RemotePenalty": 3, "visible_ms": 3000,
    "ThawSlackMs": 300, "status_s": 120,
}
SERVICE = "service-a"
KEY = "key-a"


OTHER_SERVICE = "service-b"


def config(version=1, usual_service=SERVICE):
    """A configuration with one queue of each priority."""

    def route(name, priority):
        return {"Name": name, "Host": f"{name}.example", "Path" + "Prefix": f"/{name}/",
                "Service": usual_service if name == "usual" else SERVICE, "Priority": priority, "MaxAttempts": 3,
                "Slack" + "Factor": 3.0, "TargetCompletion" + "Ms": 3000}

    return {"Version": version, "Routes": [route("urgent", 0), route("usual", 1), route("low", 2)],
            "Services": [{"Name": name, "Preconditions": False} for name in (SERVICE, OTHER_SERVICE)],
            "Tenants": [{"Name": "tenant-a", "Api" + "Keys": [KEY], "Guaranteed": {"Gpu": 16}}],
            "Limits": {}}


def read_roles():
    """Reads the command and the template of each role from the deploy file."""
    roles = {}
    with open(os.path.join(ROOT, "deploy/system.toml"), encoding="utf-8") as file:
        for line in file:
            if found := re.match(r"\[roles\.([\w-]+)\]", line):
                role = roles.setdefault(found.group(1), {})
            elif found := re.match(r'(run|template) = "([^"]*)"', line):
                role[found.group(1)] = found.group(2)
    return roles


def render(template, fields):
    """Fills in a template of settings; only plain placeholders occur in the two templates."""

    def value(path):
        at = fields
        for part in path.split("."):
            at = at[int(part)] if isinstance(at, list) else at[part]
        return at

    def replace(match):
        path, _, form = match.group(1).partition("|")
        return json.dumps(value(path)) if form == "json" else str(value(path))

    return re.sub(r"\{\{([^}]+)\}\}", replace, template)


def free_network():
    """Picks loopback addresses on which none of the ports is in use."""
    for _ in range(50):
        prefix = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        try:
            for host in (1, 2, 101, 201):
                for port in (FRONTEND, READINESS, CONTROL, APP, STORE, INTERNAL, 7001, 7003):
                    with socket.socket() as probe:
                        probe.bind((f"{prefix}.{host}", port))
            return prefix
        except OSError:
            continue
    raise RuntimeError("no free loopback addresses")


class Machine:
    def __init__(self, system, name, role, ip, store_ip):
        self.system, self.name, self.role, self.ip = system, name, role, ip
        self.process = None
        self.log_path = os.path.join(system.folder, f"{name}.log")
        self.fields = {
            "NodeName": name, "Region": "region-a", "Zone": "zone-a", "Ip": ip,
            "Listen": {"Frontend": f"{ip}:{FRONTEND}", "Readiness": f"{ip}:{READINESS}",
                       "ControlPlane": f"{ip}:{CONTROL}"},
            "InternalPortRange": [INTERNAL, INTERNAL + 15], "app": f"{ip}:{APP}",
            "SeedNodes": [f"{seed}:{CONTROL}" for seed in system.seeds],
            "platform": {"Address": f"{store_ip}:{STORE}"}, "Bounds": BOUNDS}

    def start(self):
        role = self.system.roles[self.role]
        with open(os.path.join(ROOT, role["template"]), encoding="utf-8") as file:
            settings = render(file.read(), self.fields)
        path = os.path.join(self.system.folder, f"{self.name}.json")
        with open(path, "w", encoding="utf-8") as file:
            file.write(settings)
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(
                role["run"].split(), cwd=ROOT, stdout=log, stderr=log,
                env={"PATH": os.environ["PATH"], "HOME": self.system.folder, "LANG": "C.UTF-8",
                     "BAOBABRACK_CONFIG": path})
        self.system.record(f"{self.name}: process started")

    def signal(self, number):
        self.system.record(f"{self.name}: gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.process.wait()

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


class System:
    """A small deployment: three schedulers, and workers with a guard each."""

    def __init__(self, folder_of_case, workers=4, schedulers=3, per_rack=3, back_s=3.0,
                 services=None, kinds=None):
        self.record = Record(os.path.join(folder_of_case, "record.txt"))
        self.folder = tempfile.mkdtemp(prefix="baobabrack-review-")
        self.roles = read_roles()
        program = self.roles["scheduler"]["run"].split()[0]
        if not os.access(os.path.join(ROOT, program), os.X_OK):
            raise RuntimeError(f"{program} is not built")
        prefix = free_network()
        self.seeds = [f"{prefix}.{1 + at}" for at in range(schedulers)]
        self.store = Store(self.record)
        self.schedulers, self.guards, self.workers, self.store_ips = [], [], [], []
        self.gangs = {}
        for at, ip in enumerate(self.seeds):
            store_ip = f"{prefix}.{201 + at}"
            self.store_ips.append(store_ip)
            self.schedulers.append(Machine(self, f"edge-{at + 1}", "scheduler", ip, store_ip))
        for at in range(workers):
            ip = f"{prefix}.{101 + at}"
            self.guards.append(Machine(self, f"side-{at + 1}", "worker-guard", ip, ""))
            self.workers.append(Worker(self.record, f"i-{at + 1:04x}", ip, APP, (ip, CONTROL),
                                       rack=f"r1-{at // per_rack + 1}",
                                       service=services[at] if services else SERVICE,
                                       kind=kinds[at] if kinds else "a", back_s=back_s, gangs=self.gangs))

    async def start(self):
        await self.store.publish(config())
        for machine, ip in zip(self.schedulers, self.store_ips):
            await self.store.listen(machine.name, ip, STORE)
        for machine in self.schedulers + self.guards:
            machine.start()
        for worker in self.workers:
            await worker.start()
        for _ in range(200):
            await asyncio.sleep(0.05)
            ready = [await http_call(machine.ip, READINESS, "GET", "/-/readiness", timeout=0.5)
                     for machine in self.schedulers]
            if all(status == 200 for status, _ in ready):
                break
        else:
            raise RuntimeError("the schedulers do not become ready")
        # The guards join and report their workers.
        await asyncio.sleep(3.0)

    def stop(self):
        for machine in self.schedulers + self.guards:
            machine.end()
        if os.environ.get("KEEP_LOGS"):
            shutil.copytree(self.folder, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)

    async def call(self, at, method, queue, job, body=None, timeout=3.0):
        """Sends a call of a client to one scheduler, and writes down the answer."""
        machine = self.schedulers[at]
        status, answer = await http_call(
            machine.ip, FRONTEND, method, f"/{queue}/{job}", body,
            {"Host": f"{queue}.example", "Api-Key": KEY,
             "Baobabrack-Deadline-" + "Ms": str(int(timeout * 1000))}, timeout + 0.5)
        text = answer if isinstance(answer, str) else answer.decode()
        self.record(f"client: {method} /{queue}/{job} at {machine.name} -> {status} {text}")
        return status, answer

    async def state(self, at, queue, job):
        status, answer = await self.call(at, "GET", queue, job)
        return json.loads(answer).get("State") if status == 200 else status

    def leader(self):
        """The scheduler that last said that it took the lead."""
        found = None
        latest = ""
        for machine in self.schedulers:
            with open(machine.log_path, encoding="utf-8", errors="replace") as file:
                for line in file:
                    if '"lead-taken"' in line:
                        when = json.loads(line)["time"]
                        if when > latest:
                            latest, found = when, machine
        return found


def step(count=1, cpu=1000, memory=1000, gpu=1, estimated_ms=1000, **more):
    fields = {"Count": count, "Cpu": cpu, MEMORY: memory, "Gpu": gpu, "Estimated" + "Ms": estimated_ms}
    fields.update(more)
    return fields


def job(plan, *steps):
    return {"Spec": json.dumps(plan), "Steps": list(steps)}


def new_id():
    return f"{random.getrandbits(64):016x}"


def main(case, folder, **shape):
    """Runs a case: 0 if the rule held, 1 if it was broken, 2 if the case could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        loop = asyncio.get_running_loop()
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)
        system = System(folder, **shape)
        try:
            await system.start()
            broken = await asyncio.wait_for(case(system, trouble), 100)
            system.record("verdict: " + ("; ".join(broken) if broken else "the rule held"))
            return 1 if broken else 0
        finally:
            system.stop()

    try:
        code = asyncio.new_event_loop().run_until_complete(run())
    # Any failure of the case itself is not a verdict.
    except (Exception, asyncio.CancelledError) as error:
        print(f"the case could not run: {type(error).__name__}: {error}", file=sys.stderr)
        code = 2
    print({0: "the rule held", 1: "the rule was broken", 2: "the case could not run"}[code])
    sys.stdout.flush()
    # Does not wait for the stand-ins' open connections.
    os._exit(code)
