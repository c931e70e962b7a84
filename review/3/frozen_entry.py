"""An entry stands still for 3.5 s while clients hand jobs in, and wakes again."""
import asyncio
import os
import signal

from deployment import ZONES, has_trouble, job_id, main

FREEZE_S = 3.5
PHASES = [{"count": 4, "cpu": 6200, "mem-mb": 64, "estimate-ms": 900}]
SPEC = "900 " + "x" * 496  # 500 bytes; the first word is the work in milliseconds.
JOBS, GAP_S = 40, 0.05


async def scenario(deployment):
    frozen = deployment.entries[0]
    if has_trouble():
        deployment.signal(frozen, signal.SIGSTOP)
        asyncio.get_running_loop().call_later(FREEZE_S, deployment.signal, frozen, signal.SIGCONT)
    clients = []
    for number in range(JOBS):
        clients.append(asyncio.create_task(
            deployment.submit_until_answered(ZONES[0], job_id(number), PHASES, SPEC)))
        await asyncio.sleep(GAP_S)
    answers = await asyncio.gather(*clients)
    await asyncio.sleep(3.0)
    overlaps = deployment.overlaps()
    for task, length_ms, first, second in overlaps:
        deployment.record.add("TWICE", task=task, overlap_ms=round(length_ms, 1), first=first, second=second)
    print(f"answers: {answers}")
    print(f"tasks with two runs at the same time: {len(overlaps)}; "
          f"longest overlap: {max([o[1] for o in overlaps], default=0):.0f} ms")
    return 1 if overlaps else 0


main(os.path.dirname(os.path.abspath(__file__)), scenario)
