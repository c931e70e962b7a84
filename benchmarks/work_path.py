#!/usr/bin/env python3
"""Processor time of each role on the platform path, for a job, at a steady load on loopback.

    benchmarks/work_path.py --jobs 150 --seconds 8 --workers 20

Starts the stand-in of the store, entries, agents and stand-ins of workers as in misc/soak.py, but
without faults, and has callers on lasting connections submit the three kinds of job of a counter.
--wait lets a profiler be attached to the entries, whose process numbers are printed.
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

KINDS = [(8, 60, 34.4), (4, 900, 6.25), (2, 200, 100.0)]  # Tasks, run time in ms, jobs among 140.


class Caller:
    """Lasting connections to one entry."""

    def __init__(self, port):
        self.port, self.free = port, []

    async def submit(self, job, tasks, run_ms, cpu):
        reader, writer = self.free.pop() if self.free else await asyncio.open_connection("127.0.0.1", self.port)
        body = json.dumps({"spec": f"{run_ms}/{cpu}", "best-effort": True,
                           "phases": [{"count": tasks, "cpu": cpu, "mem-mb": 64, "estimate-ms": run_ms}]})
        head = (f"POST /orders/{job} HTTP/1.1\r\nHost: desk.example\r\nDeadline-Ms: 2500\r\nRequest-Id: {job}\r\n"
                f"Content-Length: {len(body)}\r\n\r\n")
        sent = time.monotonic()
        writer.write((head + body).encode())
        top = await reader.readuntil(b"\r\n\r\n")
        length = int(top.lower().split(b"content-length:")[1].split(b"\r\n")[0])
        await reader.readexactly(length)
        self.free.append((reader, writer))
        return int(top.split(b" ")[1]), time.monotonic() - sent - run_ms / 1000


def processor_seconds(process):
    folder = f"/proc/{process.pid}/task"
    return sum(int(open(f"{folder}/{thread}/schedstat").read().split()[0]) for thread in os.listdir(folder)) / 1e9


async def run(options, work):
    rng = random.Random(options.seed)
    soak.ENTRIES, soak.CPU = options.entries, options.cpu_millis
    deployment = soak.Deployment(work, options.base_port, rng)
    deployment.links = "link"  # A proxy would bind the figures to its own speed.
    try:
        deployment.start_named("store")
        await asyncio.sleep(0.3)
        await soak.publish(deployment)
        names = [f"entry{i}" for i in range(options.entries)]
        for name in names:
            deployment.start_named(name)
        for i in range(options.workers):
            deployment.start_named(f"agent{i}")
            deployment.start_named(f"workr{i}")
        await asyncio.sleep(2)
        print("entries:", *[deployment.processes[name].pid for name in names], flush=True)
        await asyncio.sleep(options.wait)
        callers = [Caller(deployment.port("http", i)) for i in range(options.entries)]
        agents = [f"agent{i}" for i in range(options.workers)]
        before = {name: processor_seconds(deployment.processes[name]) for name in names + agents}
        calls, begin, number = [], time.monotonic(), 0
        while (elapsed := time.monotonic() - begin) < options.seconds:
            while number < elapsed * options.jobs:
                tasks, run_ms, _ = rng.choices(KINDS, [kind[2] for kind in KINDS])[0]
                job = f"{rng.getrandbits(64):016x}"
                calls.append(asyncio.create_task(rng.choice(callers).submit(job, tasks, run_ms, options.task_cpu)))
                number += 1
            await asyncio.sleep(0.002)
        answers = await asyncio.gather(*calls)
        used = {name: processor_seconds(deployment.processes[name]) - before[name] for name in names + agents}
    finally:
        deployment.end()
    added = sorted(extra for status, extra in answers if status == 200)
    print(f"{len(answers)} jobs, {len(added)} complete; beyond the run time: median {added[len(added) // 2] * 1000:.1f} ms, "
          f"p99 {added[len(added) * 99 // 100] * 1000:.1f} ms")
    for kind, members in (("entries", names), ("agents", agents)):
        spent = sum(used[name] for name in members)
        print(f"{kind}: {spent / len(answers) * 1e6:.0f} us a job, {spent / options.seconds / len(members) * 100:.2f}% of a core each")


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--jobs", type=float, default=150, help="a second, at all entries together")
    parser.add_argument("--seconds", type=float, default=8)
    parser.add_argument("--entries", type=int, default=1)
    parser.add_argument("--workers", type=int, default=20)
    parser.add_argument("--cpu-millis", type=int, default=64000, help="of each worker")
    parser.add_argument("--task-cpu", type=int, default=6200)
    parser.add_argument("--wait", type=float, default=0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--base-port", type=int, default=9400)
    with tempfile.TemporaryDirectory() as work:
        asyncio.run(run(parser.parse_args(), work))


if __name__ == "__main__":
    main()
