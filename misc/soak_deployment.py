"""A deployment of the real programs on loopback, and the links and clients of it that a test can disturb."""
import asyncio
import base64
import json
import os
import random
import signal
import socket
import struct
import subprocess
import sys
import time
from dataclasses import dataclass

from soak_crowds import MACHINE
from soak_late_starts import HeldCalls

ENTRIES, WORKERS = 3, 5
MAX_PROXIES = 6  # Agents connect directly to further entries: one process forwards the data of all proxies.
MAX_SEEDS = 6
ENTRY_PORTS = ("http", "ready", "metrics", "link", "proxy", "http_proxy")
WORKER_PORTS = ("agent_http", "agent_metrics", "worker", "worker_proxy")
DOMAINS = ("north", "east", "south", "west")
WORKER_CPU_MILLIS = 32000
WORKER_DOWNTIME_S = 2
LATE_MS = (2500, 100, 300, 800, 1500)  # Delays of late starts, by worker.
QUOTA_PERIOD_S = 0.1
CLOSE_DELAYS_S = (0.02, 0.2)
FOLLOW_INTERVAL_S = 0.005
BUILD = os.environ.get("BUILD", "build/release")
CRASH_SIGNALS = (signal.SIGSEGV, signal.SIGABRT, signal.SIGBUS, signal.SIGILL, signal.SIGFPE)


class Proxy:
    """Forwards connections to one process and applies the faults of links to them.

    @p close_delays_s, if given, are the limits of the time by which the end of a client's connection is late.
    @p is_running, if given, tells whether the process runs; connections are refused while it does not."""

    def __init__(self, listen, target, registry=None, close_delays_s=None, is_running=None):
        self.listen, self.target, self.connections = listen, target, set()
        self.registry = CONNECTIONS if registry is None else registry
        self.close_delays_s, self.is_running = close_delays_s, is_running
        self.blocked_until = {"up": 0.0, "down": 0.0}  # Also for connections yet to come.
        self.held_calls = None  # Takes the calls that don't get through.

    async def start(self):
        await self.open()
        if self.is_running:
            self.follower = asyncio.create_task(self.follow())

    async def open(self):
        self.server = await asyncio.start_server(self.accept, "127.0.0.1", self.listen)

    async def follow(self):
        """A refused connection tells the agent that its worker has crashed."""
        while True:
            if self.server.is_serving() and not self.is_running():
                self.server.close()
            elif not self.server.is_serving() and self.is_running() and await self.is_reachable():
                await self.open()
            await asyncio.sleep(FOLLOW_INTERVAL_S)

    async def is_reachable(self):
        try:
            _, writer = await asyncio.open_connection("127.0.0.1", self.target)
        except OSError:
            return False
        writer.close()
        return True

    async def accept(self, reader, writer):
        try:
            upstream_reader, upstream_writer = await asyncio.open_connection("127.0.0.1", self.target)
        except OSError:
            writer.close()
            return
        connection = {"up": 0.0, "down": 0.0, "delay": 0.0, "silent": set(), "writers": (writer, upstream_writer)}
        self.connections.add(id(connection))
        self.registry[id(connection)] = (self, connection)
        try:
            await asyncio.gather(self.pump(connection, "up", reader, upstream_writer),
                                 self.pump(connection, "down", upstream_reader, writer))
        except asyncio.CancelledError:
            pass  # Cancelled at the end of the run.
        self.registry.pop(id(connection), None)
        if connection["silent"] or asyncio.current_task().cancelling():
            writer.close()
            upstream_writer.close()

    async def pump(self, connection, direction, reader, writer):
        try:
            while data := await reader.read(65536):
                if direction == "up" and self.held_calls and self.held_calls.take(data):
                    continue
                # Blocked data is delayed, not dropped.
                while time.monotonic() < max(connection[direction], self.blocked_until[direction]):
                    await asyncio.sleep(0.01)
                if connection["delay"]:
                    await asyncio.sleep(connection["delay"])
                if direction not in connection["silent"]:
                    writer.write(data)
                    await writer.drain()
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            # Neither data nor the end of the connection gets through in a silent direction.
            if direction not in connection["silent"]:
                self.close_later(direction, writer)

    def close_later(self, direction, writer):
        delay_s = random.uniform(*self.close_delays_s) if direction == "up" and self.close_delays_s else 0
        if direction == "down" and self.is_running:
            delay_s = 2 * FOLLOW_INTERVAL_S  # The next connection is refused by then, if the process has ended.
        if delay_s:
            asyncio.get_running_loop().call_later(delay_s, writer.close)
        else:
            writer.close()


CONNECTIONS = {}  # Of agents to entries.
SERVICE_CONNECTIONS = {}  # To workers and the store; they exist only with connections that go silent.


@dataclass(frozen=True)
class Settings:
    """Size of a deployment, and the faults that options add."""
    entries: int = ENTRIES
    workers: int = WORKERS
    cpu_millis: int = WORKER_CPU_MILLIS  # Capacity of a worker.
    domains: int = 1
    load: float = 1.0  # Factor of the rate of jobs.
    busy: int = 0  # Processes that only use processor time.
    late_every: int = 0  # One in so many starts stays unanswered and is executed late; 0 for none.
    reset_share: float = 0.0
    long_share: float = 0.0
    resubmit_expired: bool = False
    group_faults: bool = False
    silent_share: float = 0.0
    one_way_share: float = 0.0
    quota: bool = False
    late_closes: bool = False
    successions: bool = False
    drop_late_on_restart: bool = False
    call_faults: bool = False
    crowds: bool = False
    late_starts: bool = False

    @property
    def has_service_proxies(self):
        return bool(self.silent_share or self.one_way_share or self.late_starts)


class Deployment:
    def __init__(self, work, base, rng, settings=Settings(), seed=0):
        self.work, self.base, self.rng, self.settings, self.seed = work, base, rng, settings, seed
        self.entry_slots, self.worker_slots = max(10, settings.entries), max(20, settings.workers)
        self.processes = {}
        self.crashed = set()
        self.store = base
        self.link_port_kind = "proxy"  # Agents connect to the entries through the proxies.
        self.paused_until = {}
        self.away = set()  # Workers that refuse connections, by index.
        self.held_calls = []  # Of each worker, if starts are to be late.
        self.worker_proxies = []

    def port(self, kind, index):
        if kind in ENTRY_PORTS:
            return self.base + self.entry_slots * (1 + ENTRY_PORTS.index(kind)) + index
        return self.base + self.entry_slots * 10 + self.worker_slots * WORKER_PORTS.index(kind) + index

    def client_port(self, index):
        return self.port("http_proxy" if self.settings.late_closes else "http", index)

    def make_proxies(self):
        settings = self.settings
        proxies = [Proxy(self.port("proxy", i), self.port("link", i))
                   for i in range(min(settings.entries, MAX_PROXIES))]
        if settings.has_service_proxies:
            proxies.append(Proxy(self.store + 1, self.store, SERVICE_CONNECTIONS))
            self.worker_proxies = [Proxy(self.port("worker_proxy", i), self.port("worker", i), SERVICE_CONNECTIONS,
                                         is_running=lambda i=i: self.is_running(f"workr{i}") and i not in self.away)
                                   for i in range(settings.workers)]
            proxies += self.worker_proxies
        if settings.late_starts:
            for i, proxy in enumerate(self.worker_proxies):
                proxy.held_calls = HeldCalls(f"held {i} {self.seed}", f"w-{i}", proxy.target)
            self.held_calls = [proxy.held_calls for proxy in self.worker_proxies]
        if settings.late_closes:
            proxies += [Proxy(self.port("http_proxy", i), self.port("http", i), {}, CLOSE_DELAYS_S)
                        for i in range(settings.entries)]
        return proxies

    def link_address(self, index):
        return self.address(self.link_port_kind if index < MAX_PROXIES else "link", index)

    def domain(self, index):
        return DOMAINS[index % self.settings.domains]

    def address(self, kind, index):
        return f"127.0.0.1:{self.port(kind, index)}"

    def start(self, name, *command):
        self.record_crash(name)
        log = open(f"{self.work}/{name}.log", "ab")
        self.processes[name] = subprocess.Popen(command, stdout=log, stderr=log)

    def record_crash(self, name):
        process = self.processes.get(name)
        if process and process.poll() in [-number for number in CRASH_SIGNALS]:
            self.crashed.add(name)

    def start_by_name(self, name):
        # A name is a kind of five letters, followed by an index except for the store.
        index = int(name[5:]) if name[5:].isdigit() else 0
        seeds = ",".join(self.link_address(i) for i in range(min(self.settings.entries, MAX_SEEDS)))
        if name == "store":
            self.start(name, f"{BUILD}/standins/marjoramferry-standin", "store", "--listen", f"127.0.0.1:{self.store}")
            return
        if name.startswith("workr"):
            announced = self.address("worker_proxy" if self.settings.has_service_proxies else "worker", index)
            self.start(name, f"{BUILD}/standins/marjoramferry-standin", "worker", "--name", f"w-{index}", "--listen",
                       self.address("worker", index), "--announced-address", announced, "--agent",
                       self.address("agent_http", index), "--cpu-millis", str(self.settings.cpu_millis), "--start-log",
                       f"{self.work}/runs{index}.log", "--domain", self.domain(index), "--late-every",
                       str(self.settings.late_every), "--late-ms", str(LATE_MS[index % len(LATE_MS)]),
                       *(["--drop-late-on-restart"] if self.settings.drop_late_on_restart else []))
            return
        ini = f"{self.work}/{name}.ini"
        store = self.store + 1 if self.settings.has_service_proxies else self.store
        common = f"name = {name}\ndomain = {self.domain(index)}\nlog_level = info\n"
        tail = f"seeds = {seeds}\n[platform]\nstore = 127.0.0.1:{store}\n" + (MACHINE if self.settings.crowds else "")
        with open(ini, "w") as out:
            if name.startswith("entry"):
                out.write(f"[process]\nrole = work-entry\n{common}[work_entry]\nhttp_listen = {self.address('http', index)}\n"
                          f"readiness_listen = {self.address('ready', index)}\n"
                          f"metrics_listen = {self.address('metrics', index)}\n"
                          f"link_listen = {self.address('link', index)}\n"
                          f"link_address = {self.link_address(index)}\n" + tail)
            else:
                out.write(f"[process]\nrole = work-agent\n{common}[work_agent]\nhttp_listen = {self.address('agent_http', index)}\n"
                          f"metrics_listen = {self.address('agent_metrics', index)}\n" + tail)
        self.start(name, f"{BUILD}/programs/marjoramferryd", "--config", ini)

    def is_running(self, name):
        return name in self.processes and self.processes[name].poll() is None

    def signal(self, name, signal_number):
        process = self.processes.get(name)
        if process and process.poll() is None:
            process.send_signal(signal_number)

    async def restart_after_exit(self, name, process):
        """Restarts a process once it has exited, unless another fault has restarted it."""
        while process.poll() is None:
            await asyncio.sleep(0.02)
        if self.processes[name] is process:
            self.start_by_name(name)

    async def pause(self, name, duration):
        self.paused_until[name] = max(self.paused_until.get(name, 0), time.monotonic() + duration)
        self.signal(name, signal.SIGSTOP)
        await asyncio.sleep(duration)
        self.signal(name, signal.SIGCONT)

    async def run_under_quota(self, name, run_s, duration):
        """Stops a process for a part of each period, as a quota of processor time does."""
        end = time.monotonic() + duration
        while time.monotonic() < end:
            self.resume(name)
            await asyncio.sleep(run_s)
            self.signal(name, signal.SIGSTOP)
            await asyncio.sleep(QUOTA_PERIOD_S - run_s)
        self.resume(name)

    def resume(self, name):
        if time.monotonic() >= self.paused_until.get(name, 0):
            self.signal(name, signal.SIGCONT)

    async def restart(self, name, signal_number, duration):
        process = self.processes[name]
        self.signal(name, signal_number)
        await asyncio.sleep(duration)
        await self.restart_after_exit(name, process)

    async def leave_and_return(self, index, downtime):
        """Restarts the process of a worker, which refuses connections meanwhile and then gets held-up starts first."""
        if index in self.away:
            return
        self.away.add(index)
        await asyncio.sleep(4 * FOLLOW_INTERVAL_S)  # Connections are refused from now on.
        for proxy, connection in list(SERVICE_CONNECTIONS.values()):
            if proxy is self.worker_proxies[index]:
                for writer in connection["writers"]:
                    writer.transport.abort()
        fault = {"restart": True, "absent_ms": int(downtime * 1000)}
        await http(self.port("worker", index), "POST", "/faults", fault)
        await asyncio.sleep(downtime)
        await self.held_calls[index].deliver_starts()
        self.away.discard(index)

    async def restart_crashed(self, name):
        """Restarts a worker some time after each of its ends."""
        while True:
            if self.processes[name].poll() is not None:
                await asyncio.sleep(WORKER_DOWNTIME_S)
                self.start_by_name(name)
            await asyncio.sleep(0.02)

    def start_busy_processes(self):
        for i in range(self.settings.busy):
            self.start(f"busyp{i}", sys.executable, "-c", "while True: pass")

    def stop_busy_processes(self):
        for name, process in self.processes.items():
            if name.startswith("busyp"):
                process.kill()

    def kill_all(self):
        for name, process in self.processes.items():
            self.record_crash(name)
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()

    def end(self):
        self.kill_all()
        os._exit(1)


async def http(port, method, path, body=None, headers=(), timeout=5.0, resets=False):
    """Sends one request; returns (status, body), or None without a complete response.

    A call without a response is reset at its timeout, or else closed."""
    async def send_request():
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        if resets:
            linger = struct.pack("ii", 1, 0)
            writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        try:
            text = body if isinstance(body, str) else json.dumps(body) if body is not None else ""
            data = text.encode()
            header_lines = [f"{method} {path} HTTP/1.1", "Connection: close", f"Content-Length: {len(data)}", *headers]
            writer.write("\r\n".join(header_lines).encode() + b"\r\n\r\n" + data)
            await writer.drain()
            response = await reader.read(-1)
        finally:
            writer.close()
        head, _, content = response.partition(b"\r\n\r\n")
        if b" " not in head:
            return None
        return int(head.split(b" ")[1]), content
    try:
        return await asyncio.wait_for(send_request(), timeout)
    except (OSError, asyncio.TimeoutError, ValueError, asyncio.IncompleteReadError):
        return None


async def write_row(deployment, table, key, value):
    row = {"table": table, "part": "", "key": key, "value": base64.b64encode(value.encode()).decode()}
    return await http(deployment.store, "POST", "/api/rows-tx", {"expected-rev": [], "remove": [], "writes": [row]})
