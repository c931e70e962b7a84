#!/usr/bin/env python3
"""Blocks the links from an entry to the agents while a client hands a job in, leaves, and has another entry run it."""
import asyncio
import sys
import tempfile
import time

import soak

SETTINGS = soak.Settings(entries=2, workers=5)
CLIENT_WAIT_S = 0.2
LATE_S = 0.15  # The links are free again this long after the job has been sent to the other entry.
TASKS, TASK_MS, TASK_CPU_MILLIS = 8, 600, 6200
HEADERS = ("Host: desk.example", "Deadline-Ms: 3000")


async def submit(deployment, entry, job, timeout):
    body = {"spec": f"{TASK_MS}/{TASK_CPU_MILLIS}", "best-effort": True,
            "phases": [{"count": TASKS, "cpu": TASK_CPU_MILLIS, "mem-mb": 64, "estimate-ms": TASK_MS}]}
    return await soak.http(deployment.port("http", entry), "POST", f"/orders/{job}", body, HEADERS, timeout)


async def wait_until_served(deployment, entry):
    for i in range(100):
        response = await submit(deployment, entry, f"{entry:08x}{i:08x}", 3.0)
        if response and response[0] == 200:
            return
        await asyncio.sleep(0.1)


async def play(work):
    deployment = soak.Deployment(work, 14400, None, SETTINGS)
    try:
        deployment.start_by_name("store")
        proxies = [soak.Proxy(deployment.port("proxy", i), deployment.port("link", i)) for i in range(SETTINGS.entries)]
        for proxy in proxies:
            await proxy.start()
        await soak.publish_configuration(deployment)
        for i in range(SETTINGS.entries):
            deployment.start_by_name(f"entry{i}")
        for i in range(SETTINGS.workers):
            deployment.start_by_name(f"agent{i}")
            deployment.start_by_name(f"workr{i}")
        for i in range(SETTINGS.entries):
            await wait_until_served(deployment, i)
        job = "00000000000000aa"
        proxies[0].blocked_until["down"] = time.monotonic() + CLIENT_WAIT_S + soak.RESUBMIT_DELAY_S + LATE_S
        first = await submit(deployment, 0, job, CLIENT_WAIT_S)
        await asyncio.sleep(soak.RESUBMIT_DELAY_S)
        second = await submit(deployment, 1, job, 3.0)
        await asyncio.sleep(0.5)
        dispatched = sum(job in line and "run_dispatched" in line for line in open(f"{work}/entry0.log"))
        violations = soak.find_violations(work, [], SETTINGS)
        print(f"answers: {first and first[0]}, {second and second[0]}; runs dispatched by the first entry: "
              f"{dispatched}; {len(violations)} violations {violations[:1]}")
        return first is None and second is not None and second[0] == 200 and dispatched > 0 and not violations
    finally:
        deployment.kill_all()


with tempfile.TemporaryDirectory() as directory:
    sys.exit(0 if asyncio.run(play(directory)) else 1)
