"""A client hands a job in, moves to another zone, and cancels the job there."""
import asyncio
import os

from deployment import HOST, PREFIX, ZONES, default_route, has_trouble, job_id, main
from http_io import call
from platform_standins import configuration

STEPS, WORK_MS = 9, 800
DEADLINE_MS = 12000
CANCEL_MS, STOP_TIMEOUT_MS = 3000, 50  # Of the deployment's bounds.
PHASES = [{"count": 2, "cpu": 6200, "mem-mb": 64, "estimate-ms": WORK_MS, **({"after": [step - 1]} if step else {})}
          for step in range(STEPS)]


async def scenario(deployment):
    route = {**default_route(), "timeout-ms": DEADLINE_MS}
    deployment.store.put("op", "config", configuration(2, [route]))
    await asyncio.sleep(3.0)
    first, other = deployment.balancer.pick(ZONES[0]), deployment.balancer.pick(ZONES[1])
    job = job_id(1)
    post = asyncio.create_task(deployment.submit(first, job, PHASES, WORK_MS, DEADLINE_MS))
    await asyncio.sleep(1.0)
    entry = other if has_trouble() else first
    status, answer = await call(entry.frontend, "DELETE", PREFIX + job, None, (f"Host: {HOST}",), 4.0)
    acknowledged = deployment.record.now_ms()
    deployment.record.add("client_cancel", job=job, entry=entry.name, status=status, body=answer[:100].decode())
    await asyncio.sleep(CANCEL_MS / 1000 + 3.0)
    if status not in (200, 410):
        return 2
    late = []
    for runner in deployment.runners:
        for task, run, begin, end, how in runner.history:
            if begin > acknowledged + CANCEL_MS:
                late.append((task, run, runner.name, round(begin - acknowledged)))
                deployment.record.add("UNASKED", task=task, run=run, runner=runner.name,
                                      started_after_cancel_ms=round(begin - acknowledged))
    print(f"DELETE at {entry.name}: {status}; tasks started later than {CANCEL_MS} ms after it: {len(late)}")
    post.cancel()
    return 1 if late else 0


main(os.path.dirname(os.path.abspath(__file__)), scenario)
