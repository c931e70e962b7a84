"""Stand-ins of the platform's store and of runners, as PROTOCOL.md describes them. They run in the case's process."""
import asyncio
import base64
import functools
import json
import random
import time

STORE_PORT = 8169
TX_S = 0.008  # tx-ms of the store.
READ_S = 0.004
HOLD_MAX_MS = 1000
STOP_MS = 40  # A stop takes at most stop-timeout-ms, 50.
HEARTBEAT_S = 1.5
MAX_ENDS = 500


class Record:
    """Lines of what was sent, answered and run, with seconds since the start of the case."""

    def __init__(self, path):
        self.started = time.monotonic()
        self.file = open(path, "w", buffering=1)

    def now(self):
        return time.monotonic() - self.started

    def line(self, text):
        self.file.write(f"{self.now():9.3f} {text}\n")


async def read_message(reader):
    """Reads an HTTP message; returns (start line, headers, body), or None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, OSError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {name.strip().lower(): value.strip() for name, _, value in (line.partition(":") for line in lines[1:])}
    try:
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    except (asyncio.IncompleteReadError, OSError):
        return None
    return lines[0], headers, body


async def serve(address, handle):
    """Serves HTTP/1.1; handle(method, path, query, headers, body) returns (status, object), or None for no answer."""

    connections = set()

    async def on_connection(reader, writer):
        connections.add(writer)
        try:
            while (message := await read_message(reader)) is not None:
                method, target, _ = message[0].split(" ", 2)
                path, _, query = target.partition("?")
                answer = await handle(method, path, parse_query(query), message[1], message[2])
                if answer is None:
                    continue
                data = json.dumps(answer[1]).encode()
                writer.write(f"HTTP/1.1 {answer[0]} X\r\nContent-Type: application/json\r\n"
                             f"Content-Length: {len(data)}\r\n\r\n".encode() + data)
                await writer.drain()
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            connections.discard(writer)
            writer.close()

    host, port = address.rsplit(":", 1)
    server = await asyncio.start_server(on_connection, host, int(port))
    server.connections = connections
    return server


def parse_query(text):
    from urllib.parse import parse_qsl
    return dict(parse_qsl(text, keep_blank_values=True))


async def call(address, method, path, body=None, headers=(), timeout=5.0):
    """Sends a request over a connection of its own; returns (status, object), or None without a complete answer."""

    async def send():
        host, port = address.rsplit(":", 1)
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            data = json.dumps(body).encode() if body is not None else b""
            lines = [f"{method} {path} HTTP/1.1", "Content-Type: application/json", f"Content-Length: {len(data)}"]
            if not any(line.lower().startswith("host:") for line in headers):
                lines.append(f"Host: {address}")
            writer.write("\r\n".join([*lines, *headers]).encode() + b"\r\n\r\n" + data)
            await writer.drain()
            message = await read_message(reader)
        finally:
            writer.close()
        if message is None:
            return None
        return int(message[0].split(" ")[1]), json.loads(message[2] or b"null")

    try:
        return await asyncio.wait_for(send(), timeout)
    except (OSError, asyncio.TimeoutError):
        return None


class Signal:
    """Wakes all that wait for it."""

    def __init__(self):
        self.event = asyncio.Event()

    def notify(self):
        self.event.set()
        self.event = asyncio.Event()

    async def wait(self, timeout):
        try:
            await asyncio.wait_for(self.event.wait(), timeout)
        except asyncio.TimeoutError:
            pass


class Store:
    """The platform's store: rows in tables, transactions, and a feed of changes."""

    def __init__(self, host):
        self.host, self.rows, self.version = host, {}, 0
        self.turned_away = set()  # The machines that it turns away.
        self.addresses, self.servers = {}, []
        self.changed = Signal()

    async def start(self, machines):
        """Serves each machine at an address of its own, so that the machines can be told apart."""
        for index, machine in enumerate(machines):
            self.addresses[machine] = f"{self.host}:{STORE_PORT + index}"
            self.servers.append(await serve(self.addresses[machine], functools.partial(self.serve_machine, machine)))

    async def turn_away(self, machines):
        self.turned_away = set(machines)
        self.changed.notify()

    async def serve_machine(self, machine, method, path, query, headers, body):
        if machine in self.turned_away:
            return 503, {}
        answer = await self.handle(machine, path, query, body)
        return (503, {}) if machine in self.turned_away and path == "/api/rows-feed" else answer

    async def handle(self, machine, path, query, body):
        if path == "/api/rows-tx":
            await asyncio.sleep(TX_S)
            return await self.commit(json.loads(body))
        if path == "/api/rows-get":
            await asyncio.sleep(READ_S)
            return 200, self.answer(self.select(query))
        if path == "/api/rows-feed":
            return 200, await self.follow(machine, query)
        return 404, {}

    def answer(self, rows, **more):
        return {"rows": rows, "has-more": False, "ver": self.version, "now-ms": int(time.monotonic() * 1000), **more}

    def select(self, query):
        found = [self.row(name) for name in sorted(self.rows)
                 if name[0] == query["table"] and name[1] == query.get("part", "") and not self.rows[name][2]]
        return [row for row in found if row["key"] >= query.get("from", "")]

    def row(self, name):
        value, version, is_deleted = self.rows[name]
        row = {"table": name[0], "part": name[1], "key": name[2], "ver": version}
        return {**row, "deleted": True} if is_deleted else {**row, "value": value}

    async def commit(self, body):
        for each in body["expected-rev"]:
            name = (each["table"], each.get("part", ""), each["key"])
            known = self.rows.get(name, ("", 0, True))
            if each["ver"] != (0 if known[2] else known[1]):
                return 412, self.answer([self.row(name)] if name in self.rows else [])
        self.version += 1
        for each in body["writes"]:
            self.rows[(each["table"], each.get("part", ""), each["key"])] = (each["value"], self.version, False)
        for each in body["remove"]:
            self.rows[(each["table"], each.get("part", ""), each["key"])] = ("", self.version, True)
        self.changed.notify()
        return 200, {"ver": self.version}

    async def follow(self, machine, query):
        end = time.monotonic() + int(query.get("wait-ms", 0)) / 1000
        while True:
            after = int(query["after"])
            names = [name for name, row in self.rows.items() if name[0] == query["table"] and row[1] > after]
            left = end - time.monotonic()
            if names or left <= 0 or machine in self.turned_away:
                return self.answer([self.row(name) for name in sorted(names, key=lambda name: self.rows[name][1])])
            await self.changed.wait(left)

    async def write(self, table, key, value):
        """A write of the operator; a value of None removes the row. The return is its acknowledgement."""
        if value is None:
            await self.commit({"expected-rev": [], "remove": [{"table": table, "key": key}], "writes": []})
            return
        text = base64.b64encode(json.dumps(value).encode()).decode()
        await self.commit({"expected-rev": [], "remove": [], "writes": [{"table": table, "key": key, "value": text}]})


class Run:
    def __init__(self, task, run, cpu, end_at):
        self.task, self.run, self.cpu, self.end_at, self.how = task, run, cpu, end_at, "done"


class Runner:
    """A runner that starts whatever it is told to. A spec is "RUN_MS/CPU": how long a task runs, and its cpu.

    @p on_start(runner, task, run) and @p on_end(runner, task, run, how) tell the case what has run."""

    def __init__(self, record, name, service, zone, address, agent, cpu, labels, on_start, on_end):
        self.record, self.name, self.service, self.zone = record, name, service, zone
        self.address, self.agent, self.cpu, self.labels = address, agent, cpu, labels
        self.listen = address  # Another one if a case puts a proxy at its address.
        self.on_start, self.on_end = on_start, on_end
        self.changed = Signal()
        self.begin_life()

    def begin_life(self):
        """After a start, the runner holds and knows nothing of before, and its counts and its clock start anew."""
        self.state, self.seq = "ready", 0
        self.born, self.started = int(time.time() * 1000), time.monotonic()
        self.fence, self.lease_end, self.active, self.ends = 0, 0, {}, []
        self.last_end, self.last_run = 0, {}

    def clock(self):
        return int((time.monotonic() - self.started) * 1000)

    async def start(self):
        self.server = await serve(self.listen, self.handle)
        self.tasks = [asyncio.create_task(self.advance()), asyncio.create_task(self.announce())]

    async def crash(self, down_s, on_start=None):
        """Crashes, and starts again under the same id after a while. Calls @p on_start as soon as it takes calls."""
        self.record.line(f"sys  {self.name} crashes")
        self.server.close()
        for writer in list(self.server.connections):
            writer.transport.abort()
        for each in self.tasks:
            each.cancel()
        for run in list(self.active.values()):
            self.on_end(self, run.task, run.run, "lost with its runner")
        self.active = {}
        await asyncio.sleep(down_s)
        self.begin_life()
        self.record.line(f"sys  {self.name} starts again under its id")
        await self.start()
        if on_start:
            await on_start()

    def heartbeat(self):
        self.seq += 1
        return {"service": self.service, "addr": self.address, "zone": self.zone, "version": "v1", "slots": 8,
                "state": self.state, "cold-left-ms": 0, "capacity": {"cpu": self.cpu, "mem-mb": 131072, "gpu": 0},
                "labels": self.labels, "clock-ms": self.clock(), "born": self.born, "seq": self.seq}

    async def announce_once(self):
        return await call(self.agent, "PUT", f"/api/instances/{self.name}", self.heartbeat(), timeout=1.0)

    async def announce(self):
        await asyncio.sleep(random.uniform(0, HEARTBEAT_S))
        while True:
            await self.announce_once()
            await asyncio.sleep(HEARTBEAT_S)

    async def advance(self):
        """Ends the runs that are over, and all of them when their lease expires."""
        while True:
            await asyncio.sleep(0.002)
            now = self.clock()
            over = [run for run in self.active.values() if run.end_at <= now]
            if self.lease_end <= now:
                for run in self.active.values():
                    if run not in over:
                        run.how = "lapsed"
                        over.append(run)
            if not over:
                continue
            for run in over:
                self.end(run)
            self.changed.notify()

    def end(self, run):
        del self.active[(run.task, run.run)]
        self.last_end += 1
        self.ends.append([self.last_end, run.task, run.run, run.how, ""])
        self.last_run[run.task] = max(self.last_run.get(run.task, 0), run.run)
        self.on_end(self, run.task, run.run, run.how)

    async def handle(self, method, path, query, headers, body):
        request = json.loads(body)
        if headers.get("expect-instance", self.name) != self.name:
            return 421, {"clock-ms": self.clock()}
        if request.get("fence", 0) < self.fence:
            return 409, {"clock-ms": self.clock(), "reason": "fence"}
        self.fence = request.get("fence", 0)
        if path == "/api/hold":
            return await self.hold(request)
        if path == "/api/run-start":
            return self.start_run(request)
        if path == "/api/run-stop":
            return self.stop_run(request)
        return 400, {"clock-ms": self.clock()}

    def extend(self, deadline):
        self.lease_end = max(self.lease_end, min(deadline, self.clock() + HOLD_MAX_MS))

    def start_run(self, request):
        task, run = request["task"], request["run"]
        if (task, run) in self.active:
            return 200, {"clock-ms": self.clock()}
        if request["deadline-ms"] <= self.clock():
            return 409, {"clock-ms": self.clock(), "reason": "late"}
        self.extend(request["deadline-ms"])
        if run <= self.last_run.get(task, 0):
            return 409, {"clock-ms": self.clock(), "reason": "old"}
        run_ms, cpu = (int(part) for part in request["spec"].split("/")[0:2])
        step = int(task.split(".")[2])
        run_ms = int(request["spec"].split("/")[2].split(",")[step]) if request["spec"].count("/") > 1 else run_ms
        self.active[(task, run)] = Run(task, run, cpu, self.clock() + run_ms)
        self.on_start(self, task, run)
        return 200, {"clock-ms": self.clock()}

    def stop_run(self, request):
        task, number = request["task"], request["run"]
        run = self.active.get((task, number))
        if run and run.how == "done":
            run.how, run.end_at = "stopped", min(run.end_at, self.clock() + STOP_MS)
        self.last_run[task] = max(self.last_run.get(task, 0), number)
        return 200, {"clock-ms": self.clock()}

    async def hold(self, request):
        if "deadline-ms" in request:
            self.extend(request["deadline-ms"])
        self.ends = [end for end in self.ends if end[0] > request["observed"]]
        end_at = time.monotonic() + request.get("wait-ms", 0) / 1000
        while not self.ends and (left := end_at - time.monotonic()) > 0:
            await self.changed.wait(left)
        running = [[run.task, run.run, "", 100, run.cpu] for run in self.active.values()]
        return 200, {"clock-ms": self.clock(), "born": self.born, "running": running, "finished": self.ends[:MAX_ENDS]}
