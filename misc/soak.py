#!/usr/bin/env python3
"""Runs the real programs under random faults and checks the promises while it runs.

    misc/soak.py --seed 7                one run
    misc/soak.py --seeds 100-150         many
    misc/soak.py --minutes 5             fresh seeds for that long

Entries, agents and stand-ins of the platform's store and workers run as processes of their own on
loopback. Agents reach the entries through proxies that delay, silence, cut or reset connections.
Processes are killed, paused, stopped and started; the store is slow, down, forgetful or loses
answers; workers restart, stall, fail and carry orders out late. Callers send jobs again as the
platform's clients do. Only processes that the run started are ended, by their ids.
"""
import argparse
import asyncio
import base64
import json
import os
import random
import signal
import subprocess
import sys
import tempfile
import time

ENTRIES, WORKERS = 3, 5
CPU = 32000
RESEND_S = 1.3  # A client sends a broken job again after this.
BUILD = os.environ.get("BUILD", "build/release")


class Proxy:
    """Carries connections to one entry, and harms those that a fault picks."""

    def __init__(self, listen, target):
        self.listen, self.target, self.pipes = listen, target, set()

    async def start(self):
        self.server = await asyncio.start_server(self.accept, "127.0.0.1", self.listen)

    async def accept(self, reader, writer):
        try:
            far_reader, far_writer = await asyncio.open_connection("127.0.0.1", self.target)
        except OSError:
            writer.close()
            return
        pipe = {"up": 0.0, "down": 0.0, "delay": 0.0, "writers": (writer, far_writer)}
        self.pipes.add(id(pipe))
        PIPES[id(pipe)] = (self, pipe)
        try:
            await asyncio.gather(self.pump(pipe, "up", reader, far_writer), self.pump(pipe, "down", far_reader, writer))
        except asyncio.CancelledError:
            pass  # The run ends.
        PIPES.pop(id(pipe), None)

    async def pump(self, pipe, direction, reader, writer):
        try:
            while data := await reader.read(65536):
                while time.monotonic() < pipe[direction]:  # Silenced: held back, not lost.
                    await asyncio.sleep(0.01)
                if pipe["delay"]:
                    await asyncio.sleep(pipe["delay"])
                writer.write(data)
                await writer.drain()
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


PIPES = {}


class Deployment:
    def __init__(self, work, base, rng):
        self.work, self.base, self.rng = work, base, rng
        self.processes = {}
        self.store = base
        self.links = "proxy"  # Where others reach an entry's links.

    def port(self, kind, index):
        return self.base + {"http": 10, "ready": 20, "metrics": 30, "link": 40, "proxy": 50, "face": 100,
                            "agent_metrics": 120, "worker": 140}[kind] + index

    def address(self, kind, index):
        return f"127.0.0.1:{self.port(kind, index)}"

    def start(self, name, *command):
        log = open(f"{self.work}/{name}.log", "ab")
        self.processes[name] = subprocess.Popen(command, stdout=log, stderr=log)

    def start_named(self, name):
        index = int(name[5:]) if name[5:].isdigit() else 0
        seeds = ",".join(self.address(self.links, i) for i in range(ENTRIES))
        if name == "store":
            self.start(name, f"{BUILD}/standins/marjoramferry-standin", "store", "--listen", f"127.0.0.1:{self.store}")
            return
        if name.startswith("workr"):
            self.start(name, f"{BUILD}/standins/marjoramferry-standin", "worker", "--name", f"w-{index}", "--listen",
                       self.address("worker", index), "--agent", self.address("face", index), "--cpu-millis", str(CPU),
                       "--start-log", f"{self.work}/runs{index}.log")
            return
        ini = f"{self.work}/{name}.ini"
        common = f"name = {name}\ndomain = north\nlog_level = info\n"
        tail = f"seeds = {seeds}\n[platform]\nstore = 127.0.0.1:{self.store}\n"
        with open(ini, "w") as out:
            if name.startswith("entry"):
                out.write(f"[process]\nrole = work-entry\n{common}[work_entry]\nhttp_listen = {self.address('http', index)}\n"
                          f"readiness_listen = {self.address('ready', index)}\n"
                          f"metrics_listen = {self.address('metrics', index)}\n"
                          f"link_listen = {self.address('link', index)}\nlink_address = {self.address(self.links, index)}\n" + tail)
            else:
                out.write(f"[process]\nrole = work-agent\n{common}[work_agent]\nhttp_listen = {self.address('face', index)}\n"
                          f"metrics_listen = {self.address('agent_metrics', index)}\n" + tail)
        self.start(name, f"{BUILD}/programs/marjoramferryd", "--config", ini)

    def signal(self, name, number):
        process = self.processes.get(name)
        if process and process.poll() is None:
            process.send_signal(number)

    async def revive(self, name, process):
        """Starts a process again once it has ended, unless another fault has done so."""
        while process.poll() is None:
            await asyncio.sleep(0.02)
        if self.processes[name] is process:
            self.start_named(name)

    def end(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()


async def http(port, method, path, body=None, headers=(), timeout=5.0):
    """One call; returns (status, body), or None if no whole answer came."""
    async def call():
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        try:
            data = json.dumps(body).encode() if body is not None else b""
            head = [f"{method} {path} HTTP/1.1", "Connection: close", f"Content-Length: {len(data)}", *headers]
            writer.write("\r\n".join(head).encode() + b"\r\n\r\n" + data)
            await writer.drain()
            answer = await reader.read(-1)
        finally:
            writer.close()
        top, _, rest = answer.partition(b"\r\n\r\n")
        if b" " not in top:
            return None
        return int(top.split(b" ")[1]), rest
    try:
        return await asyncio.wait_for(call(), timeout)
    except (OSError, asyncio.TimeoutError, ValueError, asyncio.IncompleteReadError):
        return None


async def client(deployment, job, results):
    """A caller: sends its job, and again after a broken connection, until its deadline."""
    rng = deployment.rng
    tasks, run_ms = rng.choice([(8, 60), (4, 600), (2, 200)])
    cpu = 6200
    deadline = time.monotonic() + 3
    record = {"job": job, "tasks": tasks, "tries": []}
    results.append(record)
    body = {"spec": f"{run_ms}/{cpu}", "best-effort": True,
            "phases": [{"count": tasks, "cpu": cpu, "mem-mb": 64, "estimate-ms": run_ms}]}
    entry = rng.randrange(ENTRIES)
    while (left := deadline - time.monotonic()) > 0.05:
        headers = ("Host: desk.example", f"Deadline-Ms: {int(left * 1000)}", f"Request-Id: {job}")
        answer = await http(deployment.port("http", entry), "POST", f"/orders/{job}", body, headers, left)
        record["tries"].append(answer[0] if answer else None)
        if answer and answer[0] not in (502, 504):
            record["answer"] = answer[0], answer[1].decode(errors="replace")
            return
        await asyncio.sleep(RESEND_S)
        entry = (entry + 1) % ENTRIES


async def publish(deployment):
    """The operator's one configuration: a queue."""
    configuration = {"version": 1, "routes": [{"name": "orders", "host": "desk.example", "path-prefix": "/orders/",
                                               "service": "orders", "target-latency-ms": 60, "max-attempts": 3,
                                               "priority": 0, "stretch": 1.6}]}
    value = base64.b64encode(json.dumps(configuration).encode()).decode()
    await http(deployment.store, "POST", "/api/rows-tx",
               {"expected-rev": [], "remove": [],
                "writes": [{"table": "op", "part": "", "key": "config", "value": value}]})


async def faults(deployment, seconds):
    rng = deployment.rng
    pending, end = [], time.monotonic() + seconds

    async def pause(name, span):
        deployment.signal(name, signal.SIGSTOP)
        await asyncio.sleep(span)
        deployment.signal(name, signal.SIGCONT)

    async def down(name, number, span):
        process = deployment.processes[name]
        deployment.signal(name, number)
        await asyncio.sleep(span)
        await deployment.revive(name, process)

    async def store(fault, span):
        await http(deployment.store, "POST", "/faults", fault)
        await asyncio.sleep(span)
        await http(deployment.store, "POST", "/faults", {})

    async def worker(index, fault, span):
        await http(deployment.port("worker", index), "POST", "/faults", fault)
        await asyncio.sleep(span)
        await http(deployment.port("worker", index), "POST", "/faults", {})

    def harm_links(span):
        for _, pipe in list(PIPES.values()):
            if rng.random() < 0.4:
                continue
            kind = rng.choice(["up", "down", "both", "reset", "delay"])
            if kind == "reset":
                for writer in pipe["writers"]:
                    writer.transport.abort()
            elif kind == "delay":
                pipe["delay"] = rng.uniform(0, 0.05)
            for direction in ("up", "down"):
                if kind in (direction, "both"):
                    pipe[direction] = time.monotonic() + span

    node = lambda: rng.choice([f"entry{i}" for i in range(ENTRIES)] + [f"agent{i}" for i in range(WORKERS)])
    while time.monotonic() < end:
        await asyncio.sleep(rng.uniform(0.1, 1.2))
        span = rng.uniform(0.1, 3)
        kind = rng.randrange(6)
        if kind == 0:
            pending.append(asyncio.create_task(pause(node(), span)))
        elif kind == 1:
            pending.append(asyncio.create_task(down(node(), signal.SIGKILL, span)))
        elif kind == 2:
            pending.append(asyncio.create_task(down(node(), signal.SIGTERM, 0)))
        elif kind == 3:
            harm_links(span)
        elif kind == 4:
            fault = rng.choice([{"outage": True}, {"latency_ms": 700}, {"lose_answers": True}, {"forget": True}])
            pending.append(asyncio.create_task(store(fault, span)))
        else:
            fault = rng.choice([{"restart": True}, {"stuck": True}, {"fail_all": True}, {"late_share": 0.1}])
            pending.append(asyncio.create_task(worker(rng.randrange(WORKERS), fault, span)))
    await asyncio.gather(*pending)


def violations(work, results):
    """What callers and workers saw against the promises."""
    broken, runs = [], {}
    for index in range(WORKERS):
        for line in open(f"{work}/runs{index}.log"):
            row = json.loads(line)
            if row.get("cpu_peak", 0) > CPU:
                broken.append(f"worker {row['worker']} ran {row['cpu_peak']} at once")
            key = (row["worker"], row["born"], row["task"], row["run"])
            runs.setdefault(key, {}).update(row)
    tasks = {}
    for row in runs.values():
        tasks.setdefault(row["task"], []).append(row)
    for task, rows in tasks.items():
        rows.sort(key=lambda row: row["from"])
        for before, after in zip(rows, rows[1:]):
            if after["from"] < before.get("to", float("inf")) - 1:  # Times are whole milliseconds.
                broken.append(f"{task} ran twice at once: {before} and {after}")
    for record in results:
        started = [row for task in tasks if task.startswith(record["job"] + ".") for row in tasks[task]]
        status, body = record.get("answer", (None, ""))
        if status == 200 and '"complete"' in body:
            done = {row["task"] for row in started if row.get("done")}
            if len(done) < record["tasks"]:
                broken.append(f"{record['job']} was called complete with {len(done)} of {record['tasks']} tasks done")
        if status == 503 and started and len(record["tries"]) == 1:
            broken.append(f"{record['job']} was called not run, and a task started")
    return broken


async def run(seed, seconds, base, work):
    rng = random.Random(seed)
    PIPES.clear()
    deployment = Deployment(work, base, rng)
    try:
        deployment.start_named("store")
        proxies = [Proxy(deployment.port("proxy", i), deployment.port("link", i)) for i in range(ENTRIES)]
        for proxy in proxies:
            await proxy.start()
        await asyncio.sleep(0.3)
        await publish(deployment)
        for i in range(ENTRIES):
            deployment.start_named(f"entry{i}")
        for i in range(WORKERS):
            deployment.start_named(f"agent{i}")
            deployment.start_named(f"workr{i}")
        await asyncio.sleep(2)
        results, clients = [], []
        storm = asyncio.create_task(faults(deployment, seconds))
        begin = time.monotonic()
        while not storm.done() or time.monotonic() - begin < seconds:
            clients.append(asyncio.create_task(client(deployment, f"{rng.getrandbits(64):016x}", results)))
            await asyncio.sleep(rng.uniform(0.02, 0.08))
        await storm
        await asyncio.gather(*clients)
        # After the last fault the system serves as before.
        healed, clients = [], []
        await asyncio.sleep(4)
        for _ in range(30):
            clients.append(asyncio.create_task(client(deployment, f"{rng.getrandbits(64):016x}", healed)))
            await asyncio.sleep(0.05)
        await asyncio.gather(*clients)
        for proxy in proxies:
            proxy.server.close()
    finally:
        deployment.end()
    broken = violations(work, results + healed)
    served = sum(1 for record in healed if record.get("answer", (0, ""))[0] == 200)
    if served < len(healed):
        broken.append(f"after the faults {served} of {len(healed)} jobs were served")
    total = sum(1 for record in results if record.get("answer", (0, ""))[0] == 200)
    return broken, f"{total} of {len(results)} jobs served under faults"


def main():
    options = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    options.add_argument("--seed", type=int)
    options.add_argument("--seeds", help="FROM-TO")
    options.add_argument("--minutes", type=float)
    options.add_argument("--seconds", type=float, default=8, help="how long faults strike in a run")
    options.add_argument("--base-port", type=int, default=9000)
    options.add_argument("--keep", help="a folder for the logs of runs that fail")
    arguments = options.parse_args()
    if arguments.minutes:
        end = time.monotonic() + arguments.minutes * 60
        seeds = iter(lambda: int(time.time() * 1000) % 2**31 if time.monotonic() < end else None, None)
    elif arguments.seeds:
        first, last = map(int, arguments.seeds.split("-"))
        seeds = range(first, last + 1)
    else:
        seeds = [arguments.seed if arguments.seed is not None else 1]
    passed = failed = 0
    for seed in seeds:
        with tempfile.TemporaryDirectory() as work:
            broken, summary = asyncio.run(run(seed, arguments.seconds, arguments.base_port, work))
            if broken and arguments.keep:
                os.makedirs(arguments.keep, exist_ok=True)
                os.system(f"cp -r '{work}' '{arguments.keep}/seed-{seed}'")
        print(f"seed {seed}: {summary}; {'; '.join(broken[:5]) or 'nothing broken'}", flush=True)
        passed, failed = passed + (not broken), failed + bool(broken)
    print(f"{passed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
