"""A small deployment of the project's own programs on loopback, each machine with an address of its own.

The programs are started with the command of deploy/system.toml; its settings templates are filled in as DEPLOY.md
describes. The figures are those of the small site gremio."""
import asyncio
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import tomllib

from standins import Record, Runner, Store, call

ZONES = ["bogota", "medellin", "cali"]
LINK_PORT, FRONTEND, READINESS, CONTROL, APP, METRICS = 7720, 8161, 8167, 8166, 8080, 9464
BOUNDS = {"grace-s": 6, "hold-max-ms": 1000, "stop-timeout-ms": 50, "resend-ms": 1300, "remote-factor": 1.5,
          "drain-ms": 2000, "contact-ms": 3000, "cancel_ms": 3000}
LIMITS = {"edge": {"memory-mb": 260, "max-fds": 4100}, "side": {"memory-mb": 128, "max-fds": 4096}}
CONTACT_S = BOUNDS["contact-ms"] / 1000
CANCEL_S = BOUNDS["cancel_ms"] / 1000
RESEND_S = BOUNDS["resend-ms"] / 1000
HOST = "desk.example"  # Each service has one queue, with the service's name as its prefix.
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


def fill_in(template, fields):
    """Fills in a settings template: placeholders, and sections of lists and of values."""

    def value_of(name, scopes):
        if name == ".":
            return scopes[0]
        for scope in scopes:
            value = scope
            for part in name.split("."):
                if isinstance(value, list) and part.isdigit() and int(part) < len(value):
                    value = value[int(part)]
                elif isinstance(value, dict) and part in value:
                    value = value[part]
                else:
                    value = None
                    break
            if value is not None:
                return value
        return None

    def render(text, scopes, is_last=True):
        result = ""
        while found := re.search(r"\{\{(#?)([^}]+)\}\}", text):
            result, name = result + text[:found.start()], found.group(2)
            text = text[found.end():]
            if found.group(1):
                inner, _, text = text.partition("{{/" + name + "}}")
                value = value_of(name, scopes)
                items = value if isinstance(value, list) else [] if value is None else [value]
                result += "".join(render(inner, [item, *scopes], i == len(items) - 1) for i, item in enumerate(items))
            elif name == ",":
                result += "" if is_last else ","
            else:
                value = value_of(name, scopes)
                result += "" if value is None else str(value)
        return result + text

    return render(template, [fields])


class Machine:
    def __init__(self, name, role, ip, zone):
        self.name, self.role, self.ip, self.zone, self.process = name, role, ip, zone, None


class Deployment:
    def __init__(self, folder, edges=3, sides=6, cpu=64000, services=("orders",)):
        self.folder, self.services = folder, services
        self.root = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
        self.record = Record(os.path.join(folder, "record.txt"))
        self.work = tempfile.mkdtemp(prefix="mf-review-")
        self.net = self.find_free_net(edges + sides + 1)
        self.store = Store(f"{self.net}.1")
        self.edges = [Machine(f"edge-{ZONES[i % 3]}-{i // 3 + 1}", "entry", f"{self.net}.{10 + i}", ZONES[i % 3])
                      for i in range(edges)]
        self.sides = [Machine(f"side-{ZONES[i % 3]}-{i // 3 + 1}", "agent", f"{self.net}.{100 + i}", ZONES[i % 3])
                      for i in range(sides)]
        self.starts, self.ends, self.running = [], [], {}
        self.at_start = None  # Called once the processes and the runners are started.
        self.runners = [Runner(self.record, f"i-{os.urandom(4).hex()}", services[i % len(services)], side.zone,
                               f"{side.ip}:{APP}", f"{side.ip}:{CONTROL}", cpu, ["a", f"r1-{i % 3}"],
                               self.on_start, self.on_end)
                        for i, side in enumerate(self.sides)]

    @staticmethod
    def find_free_net(machines):
        for _ in range(50):
            net = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
            try:
                for port in (LINK_PORT, FRONTEND, READINESS, CONTROL, APP, METRICS, 8169):
                    for host in (1, 10, 100):
                        with socket.socket() as each:
                            each.bind((f"{net}.{host}", port))
                return net
            except OSError:
                continue
        print("no free loopback addresses", file=sys.stderr)
        sys.exit(COULD_NOT_RUN)

    def on_start(self, runner, task, run):
        now = self.record.now()
        self.starts.append((now, runner, task, run))
        self.running[(runner.name, task, run)] = now
        cpu = sum(each.cpu for each in runner.active.values())
        self.record.line(f"run  start {task} run {run} on {runner.name} ({runner.zone}), now {cpu} of {runner.cpu} cpu")

    def on_end(self, runner, task, run, how):
        self.ends.append((self.record.now(), runner, task, run, how))
        self.running.pop((runner.name, task, run), None)
        self.record.line(f"run  end   {task} run {run} on {runner.name}: {how}")

    def command(self, machine):
        with open(os.path.join(self.root, "deploy", "system.toml"), "rb") as file:
            role = tomllib.load(file)["roles"][machine.role]
        with open(os.path.join(self.root, role["template"])) as file:
            template = file.read()
        kind = "edge" if machine.role == "entry" else "side"
        fields = {"node-name": machine.name, "ip": machine.ip, "zone": machine.zone, "port-range": [LINK_PORT, 7735],
                  "seeds": [f"{edge.ip}:{CONTROL}" for edge in self.edges[:3]], "limits": LIMITS[kind],
                  "listen": {"frontend": f"{machine.ip}:{FRONTEND}", "readiness": f"{machine.ip}:{READINESS}",
                             "control": f"{machine.ip}:{CONTROL}"},
                  "platform": {"addr": self.store.addresses[machine.name]}, "bounds": BOUNDS}
        path = os.path.join(self.work, f"{machine.name}.ini")
        with open(path, "w") as file:
            file.write(fill_in(template, fields))
        program, *arguments = role["run"].split()
        return [os.path.join(self.root, program), *(path if each.endswith(".toml") else each for each in arguments)]

    def start_process(self, machine):
        with open(os.path.join(self.work, f"{machine.name}.log"), "ab") as log:
            machine.process = subprocess.Popen(self.command(machine), cwd=self.root, stdout=log, stderr=log)
        self.record.line(f"sys  start {machine.name}")

    def signal(self, machine, number):
        self.record.line(f"sys  {signal.Signals(number).name} to {machine.name}")
        machine.process.send_signal(number)

    async def start(self):
        program = os.path.join(self.root, "target", "programs", "marjoramferryd")
        if not os.path.exists(program):
            raise RuntimeError("the programs are missing: run the build of deploy/system.toml first")
        await self.store.start([machine.name for machine in [*self.edges, *self.sides]])
        await self.store.write("op", "config", {
            "version": 3, "limits": {},
            "services": [{"name": each, "rejects-overload": False} for each in self.services],
            "routes": [{"name": f"q-{each}", "host": HOST, "path-prefix": f"/{each}/", "service": each, "priority": 0,
                        "max-attempts": 3, "stretch": 1.6, "target-latency-ms": 60} for each in self.services]})
        for machine in [*self.edges, *self.sides]:
            self.start_process(machine)
        for runner in self.runners:
            await runner.start()
        if self.at_start:
            self.at_start()
        for _ in range(200):
            ready = [await call(f"{edge.ip}:{READINESS}", "GET", "/api/readyz", timeout=0.5) for edge in self.edges]
            if all(answer and answer[0] == 200 for answer in ready):
                break
            await asyncio.sleep(0.1)
        else:
            raise RuntimeError("the entries did not become ready")
        await asyncio.sleep(CONTACT_S + 0.5)  # All machines are in touch, and know all runners.
        self.record.line("sys  all machines are ready and in touch")

    def stop(self):
        for machine in [*self.edges, *self.sides]:
            if machine.process and machine.process.poll() is None:
                machine.process.send_signal(signal.SIGCONT)
                machine.process.kill()
        for machine in [*self.edges, *self.sides]:
            if machine.process:
                machine.process.wait()
        if os.environ.get("KEEP"):
            print(self.work, file=sys.stderr)
        else:
            shutil.rmtree(self.work, ignore_errors=True)

    async def submit(self, edge, job, body, deadline_s, address=None, service="orders"):
        """A client's POST; returns (status, object), or None without an answer."""
        headers = (f"Host: {HOST}", f"Deadline-Ms: {int(deadline_s * 1000)}")
        self.record.line(f"send POST /{service}/{job} to {edge.name}, {body['phases']}, deadline {deadline_s} s")
        answer = await call(address or f"{edge.ip}:{FRONTEND}", "POST", f"/{service}/{job}", body, headers, deadline_s)
        self.record.line(f"answ POST /{service}/{job} at {edge.name}: {answer}")
        return answer

    async def cancel(self, edge, job, address=None, service="orders"):
        self.record.line(f"send DELETE /{service}/{job} to {edge.name}")
        answer = await call(address or f"{edge.ip}:{FRONTEND}", "DELETE", f"/{service}/{job}", None,
                            (f"Host: {HOST}",), 2.0)
        self.record.line(f"answ DELETE /{service}/{job} at {edge.name}: {answer}")
        return answer

    def starts_of(self, job):
        return [(at, runner, task, run) for at, runner, task, run in self.starts if task.split(".")[0] == job]


class Ingress:
    """The platform's address for clients: forwards each connection to one edge daemon, and can reset connections."""

    def __init__(self, deployment, edge, address):
        self.deployment, self.edge, self.address, self.pairs = deployment, edge, address, set()

    async def start(self):
        host, port = self.address.rsplit(":", 1)
        self.server = await asyncio.start_server(self.accept, host, int(port))

    async def accept(self, reader, writer):
        upstream_reader, upstream_writer = await asyncio.open_connection(self.edge.ip, FRONTEND)
        pair = (writer, upstream_writer)
        self.pairs.add(pair)
        try:
            await asyncio.gather(self.pump(reader, upstream_writer), self.pump(upstream_reader, writer))
        except asyncio.CancelledError:
            pass
        finally:
            self.pairs.discard(pair)

    @staticmethod
    async def pump(reader, writer):
        try:
            while data := await reader.read(65536):
                writer.write(data)
                await writer.drain()
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def reset_all(self):
        self.deployment.record.line(f"sys  the open connections of clients to {self.edge.name} are reset")
        for pair in list(self.pairs):
            for writer in pair:
                writer.transport.abort()


def play(folder, case, prepare=None, **options):
    """Runs case(deployment, has_trouble), which returns the reasons why the rule was broken. Ends the process.

    @p prepare(deployment, has_trouble), if given, is called before the start."""

    async def run():
        deployment = Deployment(folder, **options)
        has_trouble = os.environ.get("TROUBLE", "1") != "0"
        try:
            if prepare:
                prepare(deployment, has_trouble)
            await deployment.start()
            reasons = await case(deployment, has_trouble)
        except (RuntimeError, OSError) as error:
            deployment.record.line(f"sys  the case could not run: {error}")
            return COULD_NOT_RUN
        finally:
            deployment.stop()
        for reason in reasons:
            deployment.record.line(f"rule {reason}")
            print(reason)
        deployment.record.line(f"rule {'broken' if reasons else 'held'}")
        return BROKEN if reasons else HELD

    os._exit(asyncio.run(asyncio.wait_for(run(), 110)))
