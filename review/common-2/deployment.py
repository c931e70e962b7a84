"""Starts the programs of deploy/system.toml on loopback addresses, one address for each machine."""
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
import tomllib

from platform_standins import Record, Store, Worker, call

FRONTEND, READINESS, CONTROL, APP, STORE_PORT = 8161, 8167, 8166, 8080, 8169
HOST, SERVICE, QUEUE = "orders.example", "orders-svc", "orders"
PREFIX = "/k7310/"
ZONES = ("bajio-norte", "bajio-centro", "bajio-sur")
BOUNDS = {"contact-ms": 3000, "drain-ms": 2000, "grace-s": 6, "hold-max-ms": 1000, "stop-timeout-ms": 50,
          "cancel_ms": 3000, "remote-factor": 1.5, "resend-ms": 1300, "config-apply-ms": 2000}


def render(template, fields):
    """Fills in a template of settings, as DEPLOY.md describes it."""
    def lookup(path, scope):
        value = scope
        for part in path.split("."):
            value = value[int(part)] if isinstance(value, list) else value.get(part) if isinstance(value, dict) else None
            if value is None:
                return None
        return value

    def section(match):
        value = lookup(match[1], fields)
        if isinstance(value, list):
            parts = [match[2].replace("{{.}}", str(each)) for each in value]
            return "".join(part.replace("{{,}}", "," if i + 1 < len(parts) else "") for i, part in enumerate(parts))
        return match[2].replace("{{.}}", str(value)) if value is not None else ""

    text = re.sub(r"\{\{#([^}]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([^}#/^]+)\}\}", lambda match: str(lookup(match[1], fields) or ""), text)


class Deployment:
    """@p entries and @p workers machines; machine k has the address 127.A.B.k."""

    def __init__(self, case_folder, entries=3, workers=11):
        self.root = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
        with open(f"{self.root}/deploy/system.toml", "rb") as file:
            self.roles = tomllib.load(file)["roles"]
        self.program = f"{self.root}/{self.roles['entry']['run'].split()[0]}"
        self.folder = tempfile.TemporaryDirectory()
        self.record = Record(os.path.join(case_folder, "record.txt"))
        self.net = self.free_net()
        self.entries = [f"entry-{index}" for index in range(entries)]
        self.agents = [f"side-{index}" for index in range(workers)]
        self.processes = {}
        self.store = Store()
        self.workers = [Worker(self.record, f"i-{index:08x}", SERVICE, ZONES[index % 3],
                               f"{self.ip(f'side-{index}')}:{APP}", f"{self.ip(f'side-{index}')}:{CONTROL}")
                        for index in range(workers)]

    @staticmethod
    def free_net():
        while True:
            net = f"127.{random.randint(16, 250)}.{random.randint(1, 250)}"
            try:
                with socket.socket() as probe:
                    probe.bind((f"{net}.7", STORE_PORT))
                return net
            except OSError:
                pass

    def ip(self, name):
        kind, _, index = name.partition("-")
        return f"{self.net}.{(20 if kind == 'entry' else 60) + int(index or 0)}"

    def settings(self, name):
        ip = self.ip(name)
        index = int(name.split("-")[1])
        return {"node-name": name, "zone": ZONES[index % 3], "region": "bajio", "ip": ip, "port-range": [7720, 7735],
                "seeds": [f"{self.ip(each)}:{CONTROL}" for each in self.entries[:3]],
                "listen": {"frontend": f"{ip}:{FRONTEND}", "readiness": f"{ip}:{READINESS}", "control": f"{ip}:{CONTROL}"},
                "bounds": BOUNDS, "platform": {"addr": f"{self.net}.7:{STORE_PORT}"}}

    def start_process(self, name):
        role = self.roles["entry" if name.startswith("entry") else "agent"]
        with open(f"{self.root}/{role['template']}") as file:
            text = render(file.read(), self.settings(name))
        path = f"{self.folder.name}/{name}.ini"
        with open(path, "w") as out:
            out.write(text)
        words = role["run"].split()
        words = [f"{self.root}/{words[0]}"] + [path if each.startswith("/etc/") else each for each in words[1:]]
        with open(f"{self.folder.name}/{name}.log", "ab") as log:
            self.processes[name] = subprocess.Popen(words, cwd=self.root, stdout=log, stderr=log)
        self.record.add("process started", name)

    def signal(self, name, number):
        self.record.add("signal", signal.Signals(number).name, name)
        self.processes[name].send_signal(number)

    async def configure(self, version=1, more_routes=()):
        route = {"name": QUEUE, "host": HOST, "path-prefix": PREFIX, "service": SERVICE, "priority": 0,
                 "max-attempts": 3, "stretch": 1.6, "target-latency-ms": 60}
        config = {"version": version, "routes": [route, *more_routes],
                  "services": [{"name": SERVICE, "rejects-overload": False}], "limits": {}}
        await self.store.put("op", "config", json.dumps(config))

    async def start(self):
        """Starts all and waits until every entry is ready; raises TimeoutError otherwise."""
        await self.store.listen(f"{self.net}.7", STORE_PORT)
        await self.configure()
        for worker in self.workers:
            await worker.start()
        for name in self.entries + self.agents:
            self.start_process(name)
        async with asyncio.timeout(30):
            for name in self.entries:
                while not await self.is_ready(name):
                    await asyncio.sleep(0.1)
        await asyncio.sleep(3.5)  # Every agent has a worker, and no start is recent.

    async def is_ready(self, name):
        answer = await call(self.ip(name), READINESS, "GET", "/api/readyz", timeout=1.0)
        return answer is not None and answer[0] == 200

    async def send(self, name, method, job_id, body=None, deadline_ms=1500, timeout=None):
        """Calls the frontend of an entry as a client does; returns (status, body) or None without an answer."""
        self.record.add("request", method, job_id, "to", name)
        headers = [f"Host: {HOST}", f"Deadline-Ms: {deadline_ms}"]
        answer = await call(self.ip(name), FRONTEND, method, PREFIX + job_id, body, headers, timeout or deadline_ms / 1000)
        self.record.add("answer", method, job_id, "from", name, f"{answer[0]} {answer[1].decode()}" if answer else "none")
        return answer

    def runs(self, job_id):
        """All runs of the tasks of a job, by their start."""
        found = [(worker, run) for worker in self.workers for run in worker.history if run.task.split(".")[0] == job_id]
        return sorted(found, key=lambda each: each[1].started)

    def stop(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        if keep := os.environ.get("KEEP_LOGS"):
            subprocess.run(["cp", "-r", self.folder.name, keep], check=False)
        self.folder.cleanup()


def new_job_id():
    return f"{random.getrandbits(64):016x}"


def has_trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(case_folder, case, **sizes):
    """Runs a case; it returns a list of broken rules. Returns the exit code: 1 broken, 0 held, 2 couldn't run."""
    async def body():
        deployment = Deployment(case_folder, **sizes)
        if not os.access(deployment.program, os.X_OK):
            deployment.record.add("could not run: build target/ with the command of deploy/system.toml first")
            return 2
        try:
            await deployment.start()
            broken = await asyncio.wait_for(case(deployment), 70)
        except (asyncio.TimeoutError, OSError) as error:
            deployment.record.add("could not run:", repr(error))
            return 2
        finally:
            deployment.stop()
        for each in broken:
            deployment.record.add("BROKEN", each)
        deployment.record.add("result:", "broken" if broken else "held")
        return 1 if broken else 0
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))  # Ends the processes on the way out.
    return asyncio.run(body())
