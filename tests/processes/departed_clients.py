#!/usr/bin/env python3
"""Stops an entry (SIGSTOP), lets clients hand jobs in and leave, and wakes it: it must start none of their tasks."""
import asyncio
import json
import signal
import sys
import tempfile

import soak

CLIENTS, CLIENT_WAIT_S, FREEZE_S, SETTLING_S = 60, 0.2, 2.0, 1.5
TASK_MS, TASK_CPU_MILLIS, TASKS = 300, 6200, 2
HEADERS = ("Host: desk.example", "Deadline-Ms: 1500")


async def submit(deployment, job, timeout):
    body = {"spec": f"{TASK_MS}/{TASK_CPU_MILLIS}", "best-effort": True,
            "phases": [{"count": TASKS, "cpu": TASK_CPU_MILLIS, "mem-mb": 64, "estimate-ms": TASK_MS}]}
    return await soak.http(deployment.port("http", 0), "POST", f"/orders/{job}", body, HEADERS, timeout)


def started_jobs(work):
    rows = [json.loads(line) for i in range(soak.WORKERS) for line in open(f"{work}/runs{i}.log")]
    return {row["task"].split(".")[0] for row in rows}


async def play(work):
    deployment = soak.Deployment(work, 14000, None)
    deployment.link_port_kind = "link"
    try:
        deployment.start_by_name("store")
        await asyncio.sleep(0.3)
        await soak.publish_configuration(deployment)
        deployment.start_by_name("entry0")
        for i in range(soak.WORKERS):
            deployment.start_by_name(f"agent{i}")
            deployment.start_by_name(f"workr{i}")
        for _ in range(100):
            response = await submit(deployment, "00000000000000aa", 2.0)
            if response and response[0] == 200:
                break
            await asyncio.sleep(0.1)
        jobs = [f"{i:016x}" for i in range(CLIENTS)]
        deployment.signal("entry0", signal.SIGSTOP)
        answers = await asyncio.gather(*(submit(deployment, job, CLIENT_WAIT_S) for job in jobs))
        await asyncio.sleep(FREEZE_S)
        deployment.signal("entry0", signal.SIGCONT)
        await asyncio.sleep(SETTLING_S)
        last = await submit(deployment, "00000000000000bb", 2.0)
        started = started_jobs(work)
        print(f"{sum(answer is not None for answer in answers)} of {CLIENTS} clients were answered; "
              f"jobs started for them: {len(started & set(jobs))}; job afterwards: {last and last[0]}")
        return not started & set(jobs) and "00000000000000bb" in started and last and last[0] == 200
    finally:
        deployment.kill_all()


with tempfile.TemporaryDirectory() as directory:
    sys.exit(0 if asyncio.run(play(directory)) else 1)
