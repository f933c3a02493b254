"""Starts the system's own processes on loopback, with the commands of the deploy file."""

import asyncio
import json
import os
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

import names
import store
import web
import worker

REPOSITORY = Path(__file__).resolve().parents[2]
ZONES = ["hallein-hall", "seekirchen-store", "bischofs-loft"]
REGIONS = ["tennengau", "flachgau", "pongau"]
FRONTEND, READINESS, CONTROL, APP, STORE, INTERNAL = 8521, 8523, 8526, 8080, 8524, 7000

BOUNDS = {
    "ContactTimeoutMs": 3000, "AckTimeoutMs": 4000, "DrainTimeoutMs": 2500, "GracePeriodS": 6,
    "ConfigApplyMs": 2500, "StrictRevocation": True, "RevocationMs": 5000, names.MAX_HOLD: 10000,
    "StopTimeoutMs": 200, "GangTimeoutMs": 3000, "visible_ms": 3000, "status_s": 120,
    "RemotePenalty": 3, "ThawSlackMs": 300, "ReclaimTimeoutMs": 2700, "cancel_ms": 3000,
}


def look_up(name, scopes):
    for scope in reversed(scopes):
        value = scope
        for part in name.split("."):
            if part == "":
                continue
            if isinstance(value, dict) and part in value:
                value = value[part]
            elif isinstance(value, list) and part.isdigit() and int(part) < len(value):
                value = value[int(part)]
            else:
                value = None
                break
        if value is not None:
            return value
    return None


def render(text, scopes):
    """Fills in a settings template as the users' deployment page describes."""

    def section(match):
        value = look_up(match[2], scopes)
        if match[1] == "^":
            return "" if value else render(match[3], scopes)
        if not value:
            return ""
        entries = value if isinstance(value, list) else [value]
        return "".join(render(match[3], scopes + [{".": entry}]) for entry in entries)

    text = re.sub(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", section, text, flags=re.S)

    def value_of(match):
        name, as_json = match[1], match[2]
        value = look_up(name, scopes)
        if as_json:
            return json.dumps(value)
        if value is None:
            return ""
        return ",".join(map(str, value)) if isinstance(value, list) else str(value)

    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", value_of, text)


class Process:
    def __init__(self, system, role, settings):
        self.system = system
        self.role = role
        self.settings = settings
        self.name = settings["NodeName"]
        self.handle = None

    def start(self):
        role = self.system.roles[self.role]
        template = (REPOSITORY / role["template"]).read_text()
        path = Path(self.system.folder) / (self.name + ".json")
        path.write_text(render(template, [self.settings]))
        environment = {"PATH": os.environ["PATH"], "HOME": self.system.folder, "LANG": "C.UTF-8",
                       "BAOBABRACK_CONFIG": str(path)}
        for name, text in role.get("env", {}).items():
            environment[name] = render(text, [self.settings])
        log = open(Path(self.system.folder) / (self.name + ".log"), "ab")
        self.handle = subprocess.Popen(role["run"].split(), cwd=REPOSITORY, env=environment,
                                       stdout=log, stderr=log, stdin=subprocess.DEVNULL)
        log.close()

    def signal(self, number):
        if self.handle and self.handle.poll() is None:
            self.handle.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        if self.handle:
            self.handle.wait()

    def restart(self):
        self.kill()
        self.start()


class System:
    def __init__(self, case, schedulers=3, workers=3):
        self.case = Path(case)
        self.lines = []
        self.began = time.monotonic()
        self.folder = tempfile.mkdtemp(prefix="review-")
        with open(REPOSITORY / "deploy/system.toml", "rb") as file:
            self.roles = tomllib.load(file)["roles"]
        self.store = store.Store(self.record)
        self.scheduler_count = schedulers
        self.worker_count = workers
        self.schedulers, self.guards, self.workers, self.servers = [], [], [], []
        self.net = self.free_network()

    def record(self, line):
        self.lines.append(f"{time.monotonic() - self.began:8.3f} {line}")

    def free_network(self):
        """Returns the first two parts of loopback addresses on which all ports are free."""
        for _ in range(50):
            net = f"127.{random.randint(2, 250)}.{random.randint(2, 250)}"
            try:
                for last in range(1, 40):
                    for port in (FRONTEND, READINESS, CONTROL, APP, STORE, INTERNAL, 7001, 7003):
                        with socket.socket() as probe:
                            probe.bind((f"{net}.{last}", port))
                return net
            except OSError:
                continue
        raise RuntimeError("no free loopback addresses")

    def scheduler_ip(self, index):
        return f"{self.net}.{index + 1}"

    def guard_ip(self, index):
        return f"{self.net}.{index + 11}"

    def settings(self, name, machine_class, ip, index, store_ip):
        seeds = [f"{self.scheduler_ip(n)}:{CONTROL}" for n in range(self.scheduler_count)][:3]
        listen = {"ControlPlane": f"{ip}:{CONTROL}"}
        if machine_class == "edge":
            listen |= {"Frontend": f"{ip}:{FRONTEND}", "Readiness": f"{ip}:{READINESS}"}
        return {"NodeName": name, "MachineClass": machine_class, "Ip": ip,
                "Zone": ZONES[index % 3], "Region": REGIONS[index % 3],
                "InternalPortRange": [INTERNAL, 7015], "SeedNodes": seeds, "Listen": listen,
                "Bounds": BOUNDS, "app": f"{ip}:{APP}",
                "platform": {"Address": f"{store_ip}:{STORE}", "RecordBytes": 262144,
                             "RequestBytes": 2097152}}

    async def start(self, config, behave, services=None, labels=None):
        self.publish(config)
        for index in range(self.scheduler_count):
            ip = self.scheduler_ip(index)
            store_ip = f"{self.net}.{index + 31}"
            name = f"edge-{index + 1}"
            self.servers.append(await self.store.open_door(name, store_ip, STORE))
            process = Process(self, "scheduler", self.settings(name, "edge", ip, index, store_ip))
            process.ip = ip
            self.schedulers.append(process)
        for index in range(self.worker_count):
            ip = self.guard_ip(index)
            name = f"side-{index + 1}"
            process = Process(self, "worker-guard", self.settings(name, "side", ip, index, ip))
            process.ip = ip
            self.guards.append(process)
            life = worker.Worker(self.record, f"i-{index + 1:08x}", (ip, APP), (ip, CONTROL),
                                 services[index] if services else "plaitplan", ZONES[index % 3],
                                 labels[index] if labels else ["a", f"r{index % 3 + 1}-1"], behave)
            self.workers.append(life)
        for process in self.schedulers + self.guards:
            process.start()
        for life in self.workers:
            await life.start()
        await self.until_ready()

    def publish(self, config):
        self.store.publish("config", json.dumps(config))
        self.record(f"operator: config {config['Version']} confirmed")

    async def until_ready(self, seconds=20):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            answers = [await web.call(process.ip, READINESS, "GET", "/-/readiness", timeout=1)
                       for process in self.schedulers]
            if all(status == 200 for status, _ in answers):
                await asyncio.sleep(1.5)
                return
            await asyncio.sleep(0.2)
        raise RuntimeError("the schedulers are not ready")

    def leader(self):
        """Returns the scheduler that last wrote to the store under a condition."""
        return next(process for process in self.schedulers
                    if process.name == self.store.last_conditional)

    async def client(self, process, method, path, body=None, key="key-one", host="plait.example",
                     timeout=3.0):
        headers = {"Host": host, names.CALL_DEADLINE: str(int(timeout * 1000))}
        if key:
            headers["Api-Key"] = key
        status, answer = await web.call(process.ip, FRONTEND, method, path, body, headers, timeout)
        self.record(f"client {method} {path} at {process.name} key {key}: {status} "
                    f"{answer.decode(errors='replace')}")
        return status, json.loads(answer) if answer else {}

    def stop(self, result, text):
        for life in self.workers:
            life.stop()
        for process in self.schedulers + self.guards:
            process.kill()
        for server in self.servers:
            server.close()
        self.record(text)
        (self.case / "record.txt").write_text("\n".join(self.lines) + "\n")
        if not os.environ.get("KEEP_LOGS"):
            subprocess.run(["rm", "-rf", self.folder], check=False)
        else:
            print(self.folder)
        print(text)
        return result


def queue(name, prefix, service="plaitplan", attempts=3, priority=1):
    return {"Name": name, "Host": "plait.example", names.PREFIX: prefix, "Service": service,
            "Priority": priority, "MaxAttempts": attempts, names.SLACK: 2.0, names.TARGET: 2000}


def config(version, queues, tenants=None, services=("plaitplan",)):
    tenants = tenants or [{"Name": "halle-nord", names.KEYS: ["key-one"], "Guaranteed": {"Gpu": 8}}]
    return {"Version": version, "Routes": queues,
            "Services": [{"Name": name, "Preconditions": False} for name in services],
            "Tenants": tenants, "Limits": {}}


def step(count=1, cpu=1000, memory=1024, gpu=1, estimate=3000, **more):
    return {"Count": count, "Cpu": cpu, names.MEMORY: memory, "Gpu": gpu,
            names.ESTIMATE: estimate, **more}


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def main(case, play):
    """Plays a case. Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run."""
    if not (REPOSITORY / "target/src/baobabrack/baobabrackd").exists():
        print("the system has not been built")
        sys.exit(2)

    async def run():
        system = None
        try:
            system, broken, text = await asyncio.wait_for(play(), 110)
            return system.stop(1 if broken else 0, text)
        except Exception as error:  # pylint: disable=broad-except
            for instance in INSTANCES:
                instance.stop(2, f"the case could not run: {error!r}")
            return 2

    sys.exit(asyncio.run(run()))


INSTANCES = []


def create(case, **counts):
    system = System(case, **counts)
    INSTANCES.append(system)
    return system
