"""Stand-ins of the platform: the store, the runners, and the balancer in front of the entries."""
import asyncio
import base64
import json
import time

from http_io import call, serve

HOLD_MAX_MS = 1000
STOP_S = 0.02  # A stop takes at most stop-timeout-ms = 50.
HEARTBEAT_S = 1.5


class Record:
    """Writes what was sent, answered and run, with milliseconds since the start of the script."""

    def __init__(self, path):
        self.file, self.started = open(path, "w"), time.monotonic()

    def now_ms(self):
        return (time.monotonic() - self.started) * 1000

    def add(self, event, **fields):
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{self.now_ms():10.1f} {event} {text}\n")
        self.file.flush()


class Store:
    """Rows in tables with one counter of versions; a feed of changes. Loses and delays nothing."""

    def __init__(self, record):
        self.record, self.rows, self.version, self.changed = record, {}, 0, asyncio.Event()

    async def start(self, ip, port):
        self.server = await serve(ip, port, self.handle)

    def put(self, table, key, value):
        self.version += 1
        self.rows[(table, "", key)] = {"table": table, "part": "", "key": key, "ver": self.version,
                                       "value": base64.b64encode(value.encode()).decode()}
        self.changed.set()
        self.changed = asyncio.Event()

    def answer(self, **fields):
        return 200, {**fields, "ver": self.version, "now-ms": int(time.monotonic() * 1000)}

    async def handle(self, request):
        await asyncio.sleep(0.004)
        if request.path == "/api/rows-tx":
            body = request.json()
            for row in body["writes"]:
                self.put(row["table"], row["key"], base64.b64decode(row["value"]).decode())
            return self.answer()
        table = request.query.get("table")
        if request.path == "/api/rows-get":
            start = request.query.get("from", "")
            rows = [row for key, row in sorted(self.rows.items()) if key[0] == table and key[2] >= start]
            return self.answer(rows=rows, **{"has-more": False})
        if request.path == "/api/rows-feed":
            after, end = int(request.query["after"]), time.monotonic() + int(request.query["wait-ms"]) / 1000
            while True:
                rows = sorted((row for key, row in self.rows.items() if key[0] == table and row["ver"] > after),
                              key=lambda row: row["ver"])
                left = end - time.monotonic()
                if rows or left <= 0:
                    return self.answer(rows=rows)
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        return 404, {}


class Runner:
    """A runner as the page describes it. The work of a task in milliseconds is the job's spec."""

    def __init__(self, record, name, service, zone, rack, cpu):
        self.record, self.name, self.service, self.zone = record, name, service, zone
        self.labels, self.cpu = ["a", rack], cpu
        self.started, self.born, self.seq = time.monotonic(), int(time.time() * 1000), 0
        self.fence, self.lease_ms, self.runs, self.highest, self.ends, self.end_number = 0, 0, {}, {}, [], 0
        self.history = []  # [task, run, begin ms, end ms or None, how]
        self.ended = asyncio.Event()
        self.tasks = []

    def clock_ms(self):
        return int((time.monotonic() - self.started) * 1000)

    async def start(self, address, control):
        self.address, self.control = address, control
        ip, port = address.rsplit(":", 1)
        self.server = await serve(ip, int(port), self.handle)
        self.tasks = [asyncio.create_task(self.heartbeat()), asyncio.create_task(self.watch_lease())]

    async def heartbeat(self):
        while True:
            self.seq += 1
            await call(self.control, "PUT", f"/api/instances/{self.name}", {
                "service": self.service, "addr": self.address, "zone": self.zone, "version": "v1", "slots": 8,
                "state": "ready", "cold-left-ms": 0, "capacity": {"cpu": self.cpu, "mem-mb": 131072, "gpu": 0},
                "labels": self.labels, "clock-ms": self.clock_ms(), "seq": self.seq, "born": self.born}, timeout=1.0)
            await asyncio.sleep(HEARTBEAT_S)

    async def watch_lease(self):
        while True:
            await asyncio.sleep(0.002)
            if self.runs and self.clock_ms() >= self.lease_ms:
                for key in list(self.runs):
                    self.end(key, "lapsed")

    def end(self, key, how):
        timer, entry = self.runs.pop(key)
        timer.cancel()
        task, run = key
        entry[3], entry[4] = self.record.now_ms(), how
        self.highest[task] = max(self.highest.get(task, 0), run)
        self.end_number += 1
        self.ends.append([self.end_number, task, run, how, ""])
        self.record.add("run_end", runner=self.name, task=task, run=run, how=how)
        self.ended.set()
        self.ended = asyncio.Event()

    def extend(self, deadline_ms):
        self.lease_ms = max(self.lease_ms, min(deadline_ms, self.clock_ms() + HOLD_MAX_MS))

    def refuse(self, reason):
        return 409, {"clock-ms": self.clock_ms(), "reason": reason}

    async def handle(self, request):
        body = request.json()
        expected = request.headers.get("expect-instance", self.name)
        if expected != self.name:
            return 421, {"clock-ms": self.clock_ms()}
        if body.get("fence", 0) < self.fence:
            return self.refuse("fence")
        self.fence = body.get("fence", 0)
        if request.path == "/api/run-start":
            return self.run_start(body)
        if request.path == "/api/run-stop":
            return self.run_stop(body)
        return await self.hold(body)

    def run_start(self, body):
        key = (body["task"], body["run"])
        if key in self.runs:
            return 200, {"clock-ms": self.clock_ms()}
        if body["deadline-ms"] <= self.clock_ms():
            return self.refuse("late")
        self.extend(body["deadline-ms"])
        if body["run"] <= self.highest.get(body["task"], 0):
            return self.refuse("old")
        entry = [body["task"], body["run"], self.record.now_ms(), None, ""]
        self.history.append(entry)
        timer = asyncio.get_running_loop().call_later(int(body["spec"].split()[0]) / 1000, self.end, key, "done")
        self.runs[key] = (timer, entry)
        self.record.add("run_start", runner=self.name, task=key[0], run=key[1], fence=body["fence"])
        return 200, {"clock-ms": self.clock_ms()}

    def run_stop(self, body):
        key = (body["task"], body["run"])
        self.record.add("run_stop", runner=self.name, task=key[0], run=key[1])
        self.highest[key[0]] = max(self.highest.get(key[0], 0), key[1])
        if key in self.runs:
            loop = asyncio.get_running_loop()
            loop.call_later(STOP_S, lambda: key in self.runs and self.end(key, "stopped"))
        return 200, {"clock-ms": self.clock_ms()}

    async def hold(self, body):
        if "deadline-ms" in body:
            self.extend(body["deadline-ms"])
        observed = body.get("observed", 0)
        self.ends = [end for end in self.ends if end[0] > observed]
        limit = time.monotonic() + min(body.get("wait-ms", 0), 2000) / 1000
        while not self.ends and (left := limit - time.monotonic()) > 0:
            try:
                await asyncio.wait_for(self.ended.wait(), left)
            except asyncio.TimeoutError:
                pass
        return 200, {"clock-ms": self.clock_ms(), "born": self.born, "finished": self.ends[:500],
                     "running": [[task, run, "", 100, 6200] for task, run in self.runs]}


class Balancer:
    """Asks each entry for its readiness once a second; an entry with two misses gets no new connections."""

    def __init__(self, record, entries):
        self.record, self.entries, self.misses = record, entries, {entry: 0 for entry in entries}

    async def watch(self):
        await asyncio.gather(*(self.watch_one(entry) for entry in self.entries))

    async def watch_one(self, entry):
        while True:
            began = time.monotonic()
            status, _ = await call(entry.readiness, "GET", "/api/readyz", timeout=0.9)
            self.misses[entry] = 0 if status == 200 else self.misses[entry] + 1
            if self.misses[entry] == 2:
                self.record.add("out_of_rotation", entry=entry.name)
            await asyncio.sleep(max(0.0, 1.0 - (time.monotonic() - began)))

    def is_ready(self, entry):
        return self.misses[entry] < 2

    def pick(self, zone, but=None):
        """The entry of the zone, or the next one that is in rotation; a retry reaches another one."""
        near = [entry for entry in self.entries if entry.zone == zone and entry is not but]
        ready = [entry for entry in near + [e for e in self.entries if e not in near and e is not but]
                 if self.is_ready(entry)]
        return (ready or self.entries)[0]


def configuration(version, routes):
    return json.dumps({"version": version, "routes": routes, "services": [], "limits": {}})
