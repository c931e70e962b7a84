"""Another writer's heartbeat, for a service that no configuration names, reaches one agent once."""
import asyncio
import os
import time

from deployment import ZONES, has_trouble, job_id, main
from http_io import call

PHASES = [{"count": 4, "cpu": 6200, "mem-mb": 64, "estimate-ms": 900}]
SPEC = "900 " + "x" * 496
JOBS, GAP_S = 12, 0.1


async def scenario(deployment):
    side = deployment.sides[0]
    clients = []
    for number in range(JOBS):
        clients.append(asyncio.create_task(
            deployment.submit_until_answered(ZONES[number % 3], job_id(number), PHASES, SPEC)))
        await asyncio.sleep(GAP_S)
        if has_trouble() and number == JOBS // 2:
            status, _ = await call(side.control, "PUT", "/api/instances/i-other001", {
                "service": "notnamed1", "addr": f"{side.ip}:9", "zone": side.zone, "version": "v1", "slots": 8,
                "state": "ready", "cold-left-ms": 0, "capacity": {"cpu": 16000, "mem-mb": 32768, "gpu": 0},
                "labels": ["a", "r9-9"], "clock-ms": 482113, "seq": 4, "born": int(time.time() * 1000)})
            deployment.record.add("other_writer_heartbeat", to=side.name, answer=status)
    answers = await asyncio.gather(*clients)
    await asyncio.sleep(2.0)
    overlaps = deployment.overlaps()
    for task, length_ms, first, second in overlaps:
        deployment.record.add("TWICE", task=task, overlap_ms=round(length_ms, 1), first=first, second=second)
    print(f"answers: {answers}")
    print(f"tasks with two runs at the same time: {len(overlaps)}; "
          f"longest overlap: {max([o[1] for o in overlaps], default=0):.0f} ms")
    return 1 if overlaps else 0


main(os.path.dirname(os.path.abspath(__file__)), scenario)
