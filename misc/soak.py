#!/usr/bin/env python3
"""Runs the real programs under random faults and checks the system's invariants.

    misc/soak.py --seed 7                one run
    misc/soak.py --seeds 100-150         one run per seed
    misc/soak.py --minutes 5             runs with new seeds for 5 minutes

Entries, agents and stand-ins for the platform's store and workers run as separate processes on
loopback. Agents connect to the entries through proxies that delay, block or reset connections.
Processes are killed, paused, terminated and restarted; the store is slow, unavailable, loses data or
loses responses; workers restart, stall, fail and execute orders late. Another writer leaves odd entries: nested too
deeply, with numbers or ports out of range, or for workers that aren't there. No program may crash. Callers resubmit interrupted
jobs as the platform's clients do. Only processes started by the run are ended, by process id.
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
WORKER_CPU_MILLIS = 32000
CRASHING_SHARE = 0.02  # Of the jobs under faults.
MAX_CRASHES = 3  # A task that crashed so many workers must not be started again.
WORKER_DOWNTIME_S = 2
RESUBMIT_DELAY_S = 1.3  # Clients resubmit a job this long after its connection broke.
BUILD = os.environ.get("BUILD", "build/release")
CRASH_SIGNALS = (signal.SIGSEGV, signal.SIGABRT, signal.SIGBUS, signal.SIGILL, signal.SIGFPE)


class Proxy:
    """Forwards connections to one entry and applies link faults to them."""

    def __init__(self, listen, target):
        self.listen, self.target, self.connections = listen, target, set()

    async def start(self):
        self.server = await asyncio.start_server(self.accept, "127.0.0.1", self.listen)

    async def accept(self, reader, writer):
        try:
            upstream_reader, upstream_writer = await asyncio.open_connection("127.0.0.1", self.target)
        except OSError:
            writer.close()
            return
        connection = {"up": 0.0, "down": 0.0, "delay": 0.0, "writers": (writer, upstream_writer)}
        self.connections.add(id(connection))
        CONNECTIONS[id(connection)] = (self, connection)
        try:
            await asyncio.gather(self.pump(connection, "up", reader, upstream_writer),
                                 self.pump(connection, "down", upstream_reader, writer))
        except asyncio.CancelledError:
            pass  # Cancelled at the end of the run.
        CONNECTIONS.pop(id(connection), None)

    async def pump(self, connection, direction, reader, writer):
        try:
            while data := await reader.read(65536):
                while time.monotonic() < connection[direction]:  # Blocked data is delayed, not dropped.
                    await asyncio.sleep(0.01)
                if connection["delay"]:
                    await asyncio.sleep(connection["delay"])
                writer.write(data)
                await writer.drain()
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


CONNECTIONS = {}


class Deployment:
    def __init__(self, work, base, rng):
        self.work, self.base, self.rng = work, base, rng
        self.processes = {}
        self.crashed = set()
        self.store = base
        self.link_port_kind = "proxy"  # Agents connect to the entries through the proxies.

    def port(self, kind, index):
        return self.base + {"http": 10, "ready": 20, "metrics": 30, "link": 40, "proxy": 50, "agent_http": 100,
                            "agent_metrics": 120, "worker": 140}[kind] + index

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
        seeds = ",".join(self.address(self.link_port_kind, i) for i in range(ENTRIES))
        if name == "store":
            self.start(name, f"{BUILD}/standins/marjoramferry-standin", "store", "--listen", f"127.0.0.1:{self.store}")
            return
        if name.startswith("workr"):
            self.start(name, f"{BUILD}/standins/marjoramferry-standin", "worker", "--name", f"w-{index}", "--listen",
                       self.address("worker", index), "--agent", self.address("agent_http", index), "--cpu-millis",
                       str(WORKER_CPU_MILLIS), "--start-log", f"{self.work}/runs{index}.log")
            return
        ini = f"{self.work}/{name}.ini"
        common = f"name = {name}\ndomain = north\nlog_level = info\n"
        tail = f"seeds = {seeds}\n[platform]\nstore = 127.0.0.1:{self.store}\n"
        with open(ini, "w") as out:
            if name.startswith("entry"):
                out.write(f"[process]\nrole = work-entry\n{common}[work_entry]\nhttp_listen = {self.address('http', index)}\n"
                          f"readiness_listen = {self.address('ready', index)}\n"
                          f"metrics_listen = {self.address('metrics', index)}\n"
                          f"link_listen = {self.address('link', index)}\n"
                          f"link_address = {self.address(self.link_port_kind, index)}\n" + tail)
            else:
                out.write(f"[process]\nrole = work-agent\n{common}[work_agent]\nhttp_listen = {self.address('agent_http', index)}\n"
                          f"metrics_listen = {self.address('agent_metrics', index)}\n" + tail)
        self.start(name, f"{BUILD}/programs/marjoramferryd", "--config", ini)

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

    async def restart_crashed(self, name):
        """Restarts a worker some time after each of its ends."""
        while True:
            if self.processes[name].poll() is not None:
                await asyncio.sleep(WORKER_DOWNTIME_S)
                self.start_by_name(name)
            await asyncio.sleep(0.02)

    def kill_all(self):
        for name, process in self.processes.items():
            self.record_crash(name)
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()


async def http(port, method, path, body=None, headers=(), timeout=5.0):
    """Sends one request; returns (status, body), or None without a complete response."""
    async def send_request():
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
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


async def client(deployment, job, results, crashes=False):
    """Submits a job, and again after each broken or interrupted call, until its deadline.

    If it crashes, one of its tasks ends each worker process that starts it."""
    rng = deployment.rng
    tasks, run_ms = rng.choice([(8, 60), (4, 600), (2, 200)])
    cpu_millis = 6200
    deadline = time.monotonic() + 3
    record = {"job": job, "tasks": tasks, "tries": []}
    results.append(record)
    if crashes:
        record["crashing_task"] = rng.randrange(tasks)
    crash_suffix = f"/{record['crashing_task']}" if crashes else ""
    body = {"spec": f"{run_ms}/{cpu_millis}{crash_suffix}", "best-effort": True,
            "phases": [{"count": tasks, "cpu": cpu_millis, "mem-mb": 64, "estimate-ms": run_ms}]}
    entry = rng.randrange(ENTRIES)
    while (remaining_s := deadline - time.monotonic()) > 0.05:
        headers = ("Host: desk.example", f"Deadline-Ms: {int(remaining_s * 1000)}", f"Request-Id: {job}")
        response = await http(deployment.port("http", entry), "POST", f"/orders/{job}", body, headers, remaining_s)
        record["tries"].append(response[0] if response else None)
        if response and response[0] not in (502, 504):
            record["answer"] = response[0], response[1].decode(errors="replace")
            return
        await asyncio.sleep(RESUBMIT_DELAY_S)
        entry = (entry + 1) % ENTRIES


async def write_row(deployment, table, key, value):
    row = {"table": table, "part": "", "key": key, "value": base64.b64encode(value.encode()).decode()}
    await http(deployment.store, "POST", "/api/rows-tx", {"expected-rev": [], "remove": [], "writes": [row]})


async def write_odd_entries(deployment, rng, seconds):
    """Sends what another writer may send to the agents, and leaves rows among those of the entries."""
    end = time.monotonic() + seconds
    deep = "[" * 500_000 + "]" * 500_000
    while time.monotonic() < end:
        await asyncio.sleep(rng.uniform(0.1, 1.0))
        if rng.random() < 0.3:
            await write_row(deployment, "entries", f"odd {rng.randrange(3)}",
                            rng.choice(["127.0.0.1:99999", "[" * 1000, "18446744073709551616", "127.0.0.1"]))
            continue
        index = rng.randrange(WORKERS)
        name = rng.choice([f"w-{index}", "w-other"])
        beat = {"service": rng.choice(["orders", "unknown"]), "addr": f"127.0.0.1:{rng.choice([9, 99999])}",
                "zone": "north", "state": "ready", "capacity": {"cpu": 32000, "mem-mb": 4096, "gpu": 0}, "labels": [],
                "clock-ms": rng.choice([5, 2**53, 2**64]), "seq": rng.choice([1, 2**53, 2**64]),
                "born": rng.choice([1, int(time.time() * 1000), 2**53])}
        body = json.dumps(beat)
        if rng.random() < 0.3:
            body = body.replace('"labels": []', f'"labels": {deep}')
        await http(deployment.port("agent_http", index), "PUT", f"/api/instances/{name}", body, timeout=1)


async def publish_configuration(deployment):
    """Writes an operator configuration with one queue to the store."""
    configuration = {"version": 1, "routes": [{"name": "orders", "host": "desk.example", "path-prefix": "/orders/",
                                               "service": "orders", "target-latency-ms": 60, "max-attempts": 3,
                                               "priority": 0, "stretch": 1.6}]}
    await write_row(deployment, "op", "config", json.dumps(configuration))


async def inject_faults(deployment, seconds):
    rng = deployment.rng
    pending, end = [], time.monotonic() + seconds

    async def pause(name, duration):
        deployment.signal(name, signal.SIGSTOP)
        await asyncio.sleep(duration)
        deployment.signal(name, signal.SIGCONT)

    async def restart(name, signal_number, duration):
        process = deployment.processes[name]
        deployment.signal(name, signal_number)
        await asyncio.sleep(duration)
        await deployment.restart_after_exit(name, process)

    async def inject_store_fault(fault, duration):
        await http(deployment.store, "POST", "/faults", fault)
        await asyncio.sleep(duration)
        await http(deployment.store, "POST", "/faults", {})

    async def inject_worker_fault(index, fault, duration):
        await http(deployment.port("worker", index), "POST", "/faults", fault)
        await asyncio.sleep(duration)
        await http(deployment.port("worker", index), "POST", "/faults", {})

    def inject_link_faults(duration):
        for _, connection in list(CONNECTIONS.values()):
            if rng.random() < 0.4:
                continue
            kind = rng.choice(["up", "down", "both", "reset", "delay"])
            if kind == "reset":
                for writer in connection["writers"]:
                    writer.transport.abort()
            elif kind == "delay":
                connection["delay"] = rng.uniform(0, 0.05)
            for direction in ("up", "down"):
                if kind in (direction, "both"):
                    connection[direction] = time.monotonic() + duration

    random_node = lambda: rng.choice([f"entry{i}" for i in range(ENTRIES)] + [f"agent{i}" for i in range(WORKERS)])
    while time.monotonic() < end:
        await asyncio.sleep(rng.uniform(0.1, 1.2))
        duration = rng.uniform(0.1, 3)
        kind = rng.randrange(6)
        if kind == 0:
            pending.append(asyncio.create_task(pause(random_node(), duration)))
        elif kind == 1:
            pending.append(asyncio.create_task(restart(random_node(), signal.SIGKILL, duration)))
        elif kind == 2:
            pending.append(asyncio.create_task(restart(random_node(), signal.SIGTERM, 0)))
        elif kind == 3:
            inject_link_faults(duration)
        elif kind == 4:
            fault = rng.choice([{"outage": True}, {"latency_ms": 700}, {"lose_answers": True}, {"forget": True}])
            pending.append(asyncio.create_task(inject_store_fault(fault, duration)))
        else:
            fault = rng.choice([{"restart": True}, {"stuck": True}, {"fail_all": True}, {"late_share": 0.1}])
            pending.append(asyncio.create_task(inject_worker_fault(rng.randrange(WORKERS), fault, duration)))
    await asyncio.gather(*pending)


def find_violations(work, results):
    """Checks the invariants against what callers and workers observed; returns descriptions."""
    violations, runs = [], {}
    for index in range(WORKERS):
        for line in open(f"{work}/runs{index}.log"):
            row = json.loads(line)
            if row.get("cpu_peak", 0) > WORKER_CPU_MILLIS:
                violations.append(f"worker {row['worker']} exceeded its capacity: "
                                  f"{row['cpu_peak']} thousandths of a core in use")
            key = (row["worker"], row["born"], row["task"], row["run"])
            runs.setdefault(key, {}).update(row)
    tasks = {}
    for row in runs.values():
        tasks.setdefault(row["task"], []).append(row)
    for task, rows in tasks.items():
        rows.sort(key=lambda row: row["from"])
        for before, after in zip(rows, rows[1:]):
            # 1 ms tolerance, because the log has whole milliseconds.
            if after["from"] < before.get("to", float("inf")) - 1:
                violations.append(f"{task} ran twice at the same time: {before} and {after}")
    for record in results:
        started = [row for task in tasks if task.startswith(record["job"] + ".") for row in tasks[task]]
        status, body = record.get("answer", (None, ""))
        if status == 200 and '"complete"' in body:
            done = {row["task"] for row in started if row.get("done")}
            if len(done) < record["tasks"]:
                violations.append(f"{record['job']} was reported complete with "
                                  f"{len(done)} of {record['tasks']} tasks done")
        if "crashing_task" in record:
            starts = len(tasks.get(f"{record['job']}.0.0.{record['crashing_task']}", []))
            if starts > MAX_CRASHES:
                violations.append(f"{record['job']} was started {starts} times, though it crashes workers")
        if status == 503 and started and len(record["tries"]) == 1:
            violations.append(f"{record['job']} was rejected, but one of its tasks had started")
    return violations


async def run(seed, seconds, base, work):
    rng = random.Random(seed)
    CONNECTIONS.clear()
    deployment = Deployment(work, base, rng)
    try:
        deployment.start_by_name("store")
        proxies = [Proxy(deployment.port("proxy", i), deployment.port("link", i)) for i in range(ENTRIES)]
        for proxy in proxies:
            await proxy.start()
        await asyncio.sleep(0.3)
        await publish_configuration(deployment)
        for i in range(ENTRIES):
            deployment.start_by_name(f"entry{i}")
        for i in range(WORKERS):
            deployment.start_by_name(f"agent{i}")
            deployment.start_by_name(f"workr{i}")
        await asyncio.sleep(2)
        results, clients = [], []
        fault_task = asyncio.create_task(inject_faults(deployment, seconds))
        odd_task = asyncio.create_task(write_odd_entries(deployment, random.Random(f"odd {seed}"), seconds))
        worker_tasks = [asyncio.create_task(deployment.restart_crashed(f"workr{i}")) for i in range(WORKERS)]
        start_time = time.monotonic()
        while not fault_task.done() or time.monotonic() - start_time < seconds:
            job = f"{rng.getrandbits(64):016x}"
            clients.append(asyncio.create_task(client(deployment, job, results, rng.random() < CRASHING_SHARE)))
            await asyncio.sleep(rng.uniform(0.02, 0.08))
        await asyncio.gather(fault_task, odd_task)
        await asyncio.gather(*clients)
        # All jobs must be served again after the last fault.
        final_results, clients = [], []
        await asyncio.sleep(4)
        for _ in range(30):
            clients.append(asyncio.create_task(client(deployment, f"{rng.getrandbits(64):016x}", final_results)))
            await asyncio.sleep(0.05)
        await asyncio.gather(*clients)
        for task in worker_tasks:
            task.cancel()
        for proxy in proxies:
            proxy.server.close()
    finally:
        deployment.kill_all()
    violations = find_violations(work, results + final_results)
    violations += [f"{name} crashed" for name in sorted(deployment.crashed)]
    served = sum(1 for record in final_results if record.get("answer", (0, ""))[0] == 200)
    if served < len(final_results):
        violations.append(f"after the faults {served} of {len(final_results)} jobs were served")
    total = sum(1 for record in results if record.get("answer", (0, ""))[0] == 200)
    return violations, f"{total} of {len(results)} jobs served under faults"


def main():
    options = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    options.add_argument("--seed", type=int)
    options.add_argument("--seeds", help="range of seeds, FROM-TO")
    options.add_argument("--minutes", type=float)
    options.add_argument("--seconds", type=float, default=8, help="duration of the faults in a run")
    options.add_argument("--base-port", type=int, default=9000)
    options.add_argument("--keep", help="directory for the logs of failed runs")
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
            violations, summary = asyncio.run(run(seed, arguments.seconds, arguments.base_port, work))
            if violations and arguments.keep:
                os.makedirs(arguments.keep, exist_ok=True)
                os.system(f"cp -r '{work}' '{arguments.keep}/seed-{seed}'")
        print(f"seed {seed}: {summary}; {'; '.join(violations[:5]) or 'no violations'}", flush=True)
        passed, failed = passed + (not violations), failed + bool(violations)
    print(f"{passed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
