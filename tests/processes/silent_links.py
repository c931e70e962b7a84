#!/usr/bin/env python3
"""Lets the links between an entry and its agents go silent without an end, in one direction or both.

The agents must connect again, their worker must get jobs, and the entry must close the silent connections."""
import asyncio
import os
import sys
import tempfile

import soak

SETTINGS = soak.Settings(entries=1, workers=2)
BASE_PORT, PORTS = 14600, 200
ROUNDS, ROUND_S = 2, 2.5  # An agent connects again after 0.7 s of silence; its session expires after 1.85 s.
SETTLING_S = 10
TASKS, TASK_MS, TASK_CPU_MILLIS = 2, 60, 6200
HEADERS = ("Host: desk.example", "Deadline-Ms: 2000")


async def submit(deployment, job):
    body = {"spec": f"{TASK_MS}/{TASK_CPU_MILLIS}", "best-effort": True,
            "phases": [{"count": TASKS, "cpu": TASK_CPU_MILLIS, "mem-mb": 64, "estimate-ms": TASK_MS}]}
    response = await soak.http(deployment.port("http", 0), "POST", f"/orders/{job:016x}", body, HEADERS, 3.0)
    return response and response[0]


def count_sockets(deployment):
    folder = f"/proc/{deployment.processes['entry0'].pid}/fd"
    return sum(os.readlink(f"{folder}/{name}").startswith("socket:") for name in os.listdir(folder))


def count_connects(work):
    return sum("event=entry_connected " in line
               for i in range(SETTINGS.workers) for line in open(f"{work}/agent{i}.log"))


async def start(deployment, work):
    deployment.start_by_name("store")
    proxies = deployment.make_proxies()
    for proxy in proxies:
        await proxy.start()
    await soak.publish_configuration(deployment)
    deployment.start_by_name("entry0")
    for i in range(SETTINGS.workers):
        deployment.start_by_name(f"agent{i}")
        deployment.start_by_name(f"workr{i}")
    for i in range(100):
        if count_connects(work) == SETTINGS.workers and await submit(deployment, i) == 200:
            break
        await asyncio.sleep(0.1)
    return proxies


async def play(directions, base):
    """Returns what is wrong, or ""."""
    with tempfile.TemporaryDirectory() as work:
        deployment = soak.Deployment(work, base, None, SETTINGS)
        try:
            proxies = await start(deployment, work)
            sockets, connects = count_sockets(deployment), count_connects(work)
            for _ in range(ROUNDS):
                for proxy, connection in list(soak.CONNECTIONS.values()):
                    if proxy in proxies:
                        connection["silent"].update(directions)
                await asyncio.sleep(ROUND_S)
            await asyncio.sleep(SETTLING_S)
            connects, sockets = count_connects(work) - connects, count_sockets(deployment) - sockets
            answer = await submit(deployment, 1000)
        finally:
            deployment.kill_all()
    summary = (f"silent {' and '.join(directions)}, {ROUNDS} times: {connects} new connections of {SETTINGS.workers} "
               f"agents, {sockets} more sockets at the entry after {SETTLING_S} s, job: {answer}")
    print(summary)
    return "" if connects >= SETTINGS.workers and sockets <= 0 and answer == 200 else summary


async def play_all():
    cases = [("up",), ("down",), ("up", "down")]
    plays = [play(directions, BASE_PORT + PORTS * i) for i, directions in enumerate(cases)]
    return [fault for fault in await asyncio.gather(*plays) if fault]


faults = asyncio.run(play_all())
for fault in faults:
    print(f"silent_links_test.sh: {fault}")
sys.exit(1 if faults else 0)
