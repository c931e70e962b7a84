#!/usr/bin/env python3
"""Measures the CPU time per job of entries and agents on the platform path, at a constant load on loopback.

    benchmarks/work_path.py --jobs 150 --seconds 8 --workers 20

Starts the stand-in of the store, entries, agents and stand-ins of workers as misc/soak.py does, but
without faults. Clients with persistent connections submit the three kinds of job in KINDS. --wait delays
the load, so that a profiler can be attached to the entries, whose process ids are printed.
"""
import argparse
import asyncio
import json
import os
import random
import sys
import tempfile
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "misc"))
import soak

# Tasks per job, run time of a task in ms, and weight (jobs among 140).
KINDS = [(8, 60, 34.4), (4, 900, 6.25), (2, 200, 100.0)]


class EntryClient:
    """Pool of persistent connections to one entry."""

    def __init__(self, port):
        self.port, self.idle = port, []

    async def submit(self, job, tasks, run_ms, cpu):
        reader, writer = self.idle.pop() if self.idle else await asyncio.open_connection("127.0.0.1", self.port)
        body = json.dumps({"spec": f"{run_ms}/{cpu}", "best-effort": True,
                           "phases": [{"count": tasks, "cpu": cpu, "mem-mb": 64, "estimate-ms": run_ms}]})
        header = (f"POST /orders/{job} HTTP/1.1\r\nHost: desk.example\r\nDeadline-Ms: 2500\r\nRequest-Id: {job}\r\n"
                  f"Content-Length: {len(body)}\r\n\r\n")
        sent = time.monotonic()
        writer.write((header + body).encode())
        response_header = await reader.readuntil(b"\r\n\r\n")
        length = int(response_header.lower().split(b"content-length:")[1].split(b"\r\n")[0])
        await reader.readexactly(length)
        self.idle.append((reader, writer))
        return int(response_header.split(b" ")[1]), time.monotonic() - sent - run_ms / 1000


def cpu_seconds(process):
    threads = f"/proc/{process.pid}/task"
    return sum(int(open(f"{threads}/{thread}/schedstat").read().split()[0]) for thread in os.listdir(threads)) / 1e9


async def run(options, work_dir):
    rng = random.Random(options.seed)
    settings = soak.Settings(entries=options.entries, workers=options.workers, cpu_millis=options.cpu_millis)
    deployment = soak.Deployment(work_dir, options.base_port, rng, settings)
    deployment.link_port_kind = "link"  # Connects directly, because the speed of a proxy would limit the results.
    try:
        deployment.start_by_name("store")
        await asyncio.sleep(0.3)
        await soak.publish_configuration(deployment)
        entries = [f"entry{i}" for i in range(options.entries)]
        for name in entries:
            deployment.start_by_name(name)
        for i in range(options.workers):
            deployment.start_by_name(f"agent{i}")
            deployment.start_by_name(f"workr{i}")
        await asyncio.sleep(2)
        print("entries:", *[deployment.processes[name].pid for name in entries], flush=True)
        await asyncio.sleep(options.wait)
        clients = [EntryClient(deployment.port("http", i)) for i in range(options.entries)]
        agents = [f"agent{i}" for i in range(options.workers)]
        before = {name: cpu_seconds(deployment.processes[name]) for name in entries + agents}
        calls, begin, submitted = [], time.monotonic(), 0
        while (elapsed := time.monotonic() - begin) < options.seconds:
            while submitted < elapsed * options.jobs:
                tasks, run_ms, _ = rng.choices(KINDS, [kind[2] for kind in KINDS])[0]
                job = f"{rng.getrandbits(64):016x}"
                calls.append(asyncio.create_task(rng.choice(clients).submit(job, tasks, run_ms, options.task_cpu)))
                submitted += 1
            await asyncio.sleep(0.002)
        answers = await asyncio.gather(*calls)
        used = {name: cpu_seconds(deployment.processes[name]) - before[name] for name in entries + agents}
    finally:
        deployment.kill_all()
    overheads = sorted(overhead for status, overhead in answers if status == 200)
    print(f"{len(answers)} jobs, {len(overheads)} complete; time in addition to the run time: "
          f"median {overheads[len(overheads) // 2] * 1000:.1f} ms, p99 {overheads[len(overheads) * 99 // 100] * 1000:.1f} ms")
    for role, members in (("entries", entries), ("agents", agents)):
        spent = sum(used[name] for name in members)
        print(f"{role}: {spent / len(answers) * 1e6:.0f} us per job, "
              f"{spent / options.seconds / len(members) * 100:.2f}% of a core each")


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--jobs", type=float, default=150, help="jobs per second, over all entries")
    parser.add_argument("--seconds", type=float, default=8)
    parser.add_argument("--entries", type=int, default=1)
    parser.add_argument("--workers", type=int, default=20)
    parser.add_argument("--cpu-millis", type=int, default=64000, help="capacity of each worker in thousandths of a core")
    parser.add_argument("--task-cpu", type=int, default=6200, help="demand of each task in thousandths of a core")
    parser.add_argument("--wait", type=float, default=0, help="seconds between startup and load")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--base-port", type=int, default=9400)
    with tempfile.TemporaryDirectory() as work_dir:
        asyncio.run(run(parser.parse_args(), work_dir))


if __name__ == "__main__":
    main()
