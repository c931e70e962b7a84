"""Runners are unhealthy for about a second, one after the other; their agents never use them again."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "common-2"))
from deployment import has_trouble, new_job_id, run_case
from platform_standins import job

UNHEALTHY_S = 0.8
ROUNDS = 2
CONTACT_S = 3.0
DEADLINE_MS = 700
FOLDER = os.path.dirname(os.path.abspath(__file__))


async def send_to_each_runner(deployment, entry):
    """Hands in a job with a task for each runner."""
    body = job("60", counts=(len(deployment.workers),), estimate_ms=60)
    body["phases"][0]["anti-affinity"] = 1
    await deployment.send(entry, "POST", new_job_id(), body, deadline_ms=DEADLINE_MS)


async def send_jobs(deployment):
    """Hands in a job of two tasks at each entry; returns how many were served."""
    answers = await asyncio.gather(*(deployment.send(entry, "POST", new_job_id(), job("60", counts=(2,), estimate_ms=60))
                                     for entry in deployment.entries))
    return sum(1 for answer in answers if answer and answer[0] == 200)


async def case(deployment):
    record = deployment.record
    for index, runner in enumerate(deployment.workers * ROUNDS):
        if has_trouble():
            record.add("unhealthy:", runner.name)
            runner.is_healthy = False
        end = record.now() + UNHEALTHY_S
        await send_to_each_runner(deployment, deployment.entries[index % 3])
        await asyncio.sleep(max(0, end - record.now()))
        if has_trouble():
            record.add("healthy again:", runner.name, f"refused calls: {runner.refused_calls}")
            runner.is_healthy = True
        await asyncio.sleep(0.6)
    await asyncio.sleep(CONTACT_S)
    served, sent = 0, 0
    for _ in range(10):
        sent += 3
        served += await send_jobs(deployment)
        await asyncio.sleep(0.5)
    record.add(f"{served} of {sent} jobs served, with all {len(deployment.workers)} runners healthy and idle")
    record.add("ready:", [await deployment.is_ready(name) for name in deployment.entries])
    return [] if served else [f"Fault: no request is served any more (0 of {sent} jobs over 5 s and more)"]


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, case))
