"""Stand-ins of the platform: the store, workers and clients, as asyncio servers in the process of a case.

They follow PROTOCOL.md. What a page leaves open, they do as a sound server or client would.
"""
import asyncio
import base64
import json
import time

HEARTBEAT_S = 1.5
MAX_LEASE_MS = 1000
MAX_WAIT_MS = 2000
STOP_S = 0.03  # Within stop-timeout-ms.


class Record:
    """Writes what was sent, answered and run, with the time since the start of the case."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def add(self, *words):
        print(f"{self.now():8.3f}", *words, file=self.file, flush=True)


async def read_message(reader):
    """Reads one HTTP message; returns (first line, headers, body), or None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        headers = {}
        for line in lines[1:]:
            name, colon, value = line.partition(":")
            if colon:
                headers[name.strip().lower()] = value.strip()
        body = await reader.readexactly(int(headers.get("content-length", 0)))
        return lines[0], headers, body
    except (asyncio.IncompleteReadError, OSError):
        return None


def encode(first_line, headers, body):
    data = body if isinstance(body, bytes) else json.dumps(body).encode()
    lines = [first_line, "Content-Type: application/json", f"Content-Length: {len(data)}", *headers]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + data


class Server:
    """Serves HTTP at one address. handle(method, path, query, headers, body) returns (status, body) or None: no answer."""

    async def listen(self, ip, port):
        self.connections = set()
        self.server = await asyncio.start_server(self.serve, ip, port)

    def end_connections(self):
        """Ends as a process does that is killed: its port refuses connections, the open ones are reset."""
        self.server.close()
        for writer in self.connections:
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while message := await read_message(reader):
                first_line, headers, body = message
                method, target, _ = first_line.split(" ", 2)
                path, _, query = target.partition("?")
                arguments = dict(each.split("=", 1) for each in query.split("&") if "=" in each)
                answer = await self.handle(method, path, arguments, headers, json.loads(body) if body else {})
                if answer is None:
                    await asyncio.sleep(3600)
                writer.write(encode(f"HTTP/1.1 {answer[0]} X", [], answer[1]))
                await writer.drain()
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()


class Store(Server):
    """The platform's store: rows of tables with an empty part."""

    def __init__(self):
        self.rows = {}
        self.version = 0
        self.changed = asyncio.Condition()

    def now_ms(self):
        return int(time.monotonic() * 1000)

    async def put(self, table, key, text):
        async with self.changed:
            self.version += 1
            value = None if text is None else base64.b64encode(text.encode()).decode()
            self.rows[table, key] = (value, self.version)
            self.changed.notify_all()

    def row(self, table, key):
        value, version = self.rows[table, key]
        row = {"table": table, "part": "", "key": key, "ver": version}
        return row | ({"deleted": True} if value is None else {"value": value})

    def reply(self, rows, **more):
        return 200, {"rows": rows, "ver": self.version, "now-ms": self.now_ms()} | more

    async def handle(self, method, path, arguments, headers, body):
        if path == "/api/rows-tx":
            return await self.transact(body)
        table = arguments.get("table", "")
        if path == "/api/rows-get":
            start = bytes.fromhex(arguments["from"].replace("%", "")).decode() if "%" in arguments.get("from", "") else \
                arguments.get("from", "")
            keys = sorted(key for name, key in self.rows if name == table and key >= start)
            rows = [self.row(table, key) for key in keys if self.rows[table, key][0] is not None]
            return self.reply(rows, **{"has-more": False})
        if path == "/api/rows-feed":
            return await self.feed(table, int(arguments["after"]), int(arguments.get("wait-ms", 0)) / 1000)
        return 404, {}

    async def transact(self, body):
        for each in body.get("expected-rev", []):
            known = self.rows.get((each["table"], each["key"]), (None, 0))
            if (known[1] if known[0] is not None else 0) != each["ver"]:
                return 412, {"rows": [], "ver": self.version, "now-ms": self.now_ms()}
        if any(each["table"] in ("op", "servers") for each in body.get("writes", [])):
            return 403, {}
        async with self.changed:
            self.version += 1
            for each in body.get("writes", []):
                self.rows[each["table"], each["key"]] = (each["value"], self.version)
            for each in body.get("remove", []):
                self.rows[each["table"], each["key"]] = (None, self.version)
            self.changed.notify_all()
        return 200, {"ver": self.version, "now-ms": self.now_ms()}

    async def feed(self, table, after, wait_s):
        deadline = time.monotonic() + wait_s
        while True:
            changed = sorted((version, key) for (name, key), (_, version) in self.rows.items()
                             if name == table and version > after)
            left = deadline - time.monotonic()
            if changed or left <= 0:
                return self.reply([self.row(table, key) for _, key in changed])
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass


class Run:
    def __init__(self, task, number, started, ends_at):
        self.task, self.number, self.started, self.ends_at = task, number, started, ends_at
        self.how = "done"
        self.ended = None


class Worker(Server):
    """A runner beside an agent. The spec of a job holds the run time of each task in ms, and optionally its cpu."""

    def __init__(self, record, name, service, zone, address, agent, cpu=32000):
        self.record, self.name, self.service, self.zone, self.address = record, name, service, zone, address
        self.agent, self.cpu, self.labels = agent, cpu, ["a", "r1-3"]
        self.history = []
        self.refused_calls = 0  # While it was unhealthy.
        self.acknowledged_states = []  # (state, time of the acknowledgement)
        self.ended = asyncio.Condition()
        self.begin_process()

    def begin_process(self):
        self.born = int(time.time() * 1000)
        self.started_at = time.monotonic()
        self.fence, self.lease_ms, self.sequence, self.end_count = 0, 0, 0, 0
        self.running, self.highest, self.ends = {}, {}, []  # By task.
        self.state = "ready"
        self.is_healthy = True
        self.tasks = []

    def clock_ms(self):
        return int((time.monotonic() - self.started_at) * 1000)

    async def start(self):
        ip, port = self.address.split(":")
        await self.listen(ip, int(port))
        self.tasks = [asyncio.create_task(self.beat()), asyncio.create_task(self.advance())]

    def crash(self):
        for task in self.tasks:
            task.cancel()
        self.end_connections()
        for run in self.running.values():
            run.ended, run.how = self.record.now(), "crashed"
        self.record.add("runner crashed", self.name, f"runs={len(self.running)}")

    async def start_again(self):
        """Starts the next process, under the same id. It listens, and then sends its first heartbeat at once."""
        self.begin_process()
        self.record.add("runner starts again", self.name, f"labels={self.labels}", f"cpu={self.cpu}")
        await self.start()

    def report(self):
        self.sequence += 1
        return {"service": self.service, "addr": self.address, "zone": self.zone, "version": "v1", "slots": 8,
                "state": self.state, "cold-left-ms": 0, "born": self.born,
                "capacity": {"cpu": self.cpu, "mem-mb": 131072, "gpu": 0}, "labels": self.labels,
                "clock-ms": self.clock_ms(), "seq": self.sequence}

    async def send_report(self, report):
        ip, port = self.agent.split(":")
        answer = await call(ip, int(port), "PUT", f"/api/instances/{self.name}", report, timeout=1.0)
        self.record.add("heartbeat", self.name, f"seq={report.get('seq')}", f"state={report.get('state')}", "->",
                        answer[0] if answer else "no answer")
        return answer is not None and answer[0] // 100 == 2

    async def beat(self):
        while True:
            report = self.report()
            if await self.send_report(report):
                self.acknowledged_states.append((report["state"], self.record.now()))
            await asyncio.sleep(HEARTBEAT_S)

    async def advance(self):
        while True:
            now = time.monotonic()
            for run in list(self.running.values()):
                if run.ends_at <= now:
                    await self.end(run, run.how)
                elif self.clock_ms() > self.lease_ms:
                    await self.end(run, "lapsed")
            await asyncio.sleep(0.004)

    async def end(self, run, how):
        del self.running[run.task]
        run.ended = self.record.now()
        run.how = how
        self.end_count += 1
        self.ends.append([self.end_count, run.task, run.number, how, ""])
        self.record.add("run ended", self.name, run.task, f"run={run.number}", how)
        async with self.ended:
            self.ended.notify_all()

    def conflict(self, reason):
        return 409, {"clock-ms": self.clock_ms(), "reason": reason}

    async def handle(self, method, path, arguments, headers, body):
        if not self.is_healthy:
            self.refused_calls += 1
            return 503, {}  # Nothing was done.
        if headers.get("expect-instance", self.name) != self.name:
            return 421, {}
        if body.get("fence", 0) < self.fence:
            return self.conflict("fence")
        self.fence = body.get("fence", 0)
        if path == "/api/run-start":
            return await self.on_start(body)
        if path == "/api/run-stop":
            return self.on_stop(body)
        if path == "/api/hold":
            return await self.on_hold(body)
        return 404, {}

    async def on_start(self, body):
        task, number = body["task"], body["run"]
        known = self.running.get(task)
        if known and known.number == number:
            return 200, {"clock-ms": self.clock_ms()}
        if body["deadline-ms"] <= self.clock_ms():
            return self.conflict("late")
        self.extend(body["deadline-ms"])
        if known or number <= self.highest.get(task, 0):
            return self.conflict("old")
        words = body["spec"].split("/")
        durations = [int(each) for each in words[0].split(",")]
        step = int(task.split(".")[2])
        duration = durations[min(step, len(durations) - 1)]
        run = Run(task, number, self.record.now(), time.monotonic() + duration / 1000)
        run.labels = self.labels
        self.highest[task] = number
        self.running[task] = run
        self.history.append(run)
        self.record.add("run started", self.name, task, f"run={number}", f"fence={self.fence}", f"state={self.state}",
                        f"labels={','.join(self.labels)}")
        return 200, {"clock-ms": self.clock_ms()}

    def on_stop(self, body):
        task, number = body["task"], body["run"]
        self.highest[task] = max(number, self.highest.get(task, 0))
        run = self.running.get(task)
        if run and run.number == number and run.how != "stopped":
            run.how = "stopped"
            run.ends_at = min(run.ends_at, time.monotonic() + STOP_S)
        return 200, {"clock-ms": self.clock_ms()}

    def extend(self, deadline_ms):
        self.lease_ms = max(self.lease_ms, min(deadline_ms, self.clock_ms() + MAX_LEASE_MS))

    async def on_hold(self, body):
        if "deadline-ms" in body:
            self.extend(body["deadline-ms"])
        self.ends = [end for end in self.ends if end[0] > body.get("observed", 0)]
        deadline = time.monotonic() + min(body.get("wait-ms", 0), MAX_WAIT_MS) / 1000
        while not self.ends and (left := deadline - time.monotonic()) > 0:
            async with self.ended:
                try:
                    await asyncio.wait_for(self.ended.wait(), left)
                except asyncio.TimeoutError:
                    pass
        running = [[run.task, run.number, "", 100, 0] for run in self.running.values()]
        return 200, {"clock-ms": self.clock_ms(), "born": self.born, "running": running, "finished": self.ends[:500]}


async def call(ip, port, method, path, body=None, headers=(), timeout=5.0):
    """Sends one request over a new connection; returns (status, body), or None without a complete answer."""
    async def exchange():
        reader, writer = await asyncio.open_connection(ip, port)
        try:
            content = b"" if body is None else json.dumps(body).encode()
            writer.write(encode(f"{method} {path} HTTP/1.1", list(headers), content))
            await writer.drain()
            message = await read_message(reader)
            return message and (int(message[0].split(" ")[1]), message[2])
        finally:
            writer.close()
    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError):
        return None


def job(spec, counts=(1,), cpu=3100, estimate_ms=200, constraint=""):
    """A best-effort job with a step for each count; each step waits for the one before."""
    phases = []
    for index, count in enumerate(counts):
        phase = {"count": count, "cpu": cpu, "mem-mb": 64, "estimate-ms": estimate_ms}
        phase |= {"constraints": constraint} if constraint else {}
        phases.append(phase | ({"after": [index - 1]} if index else {}))
    return {"spec": spec, "best-effort": True, "phases": phases}
