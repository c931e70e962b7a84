"""A request that hands a job in arrives again, seconds after the job was cancelled and its POST was answered."""
import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "common-3"))
from deployment import CANCEL_S, play  # noqa: E402

JOB = "7d41b2e90c35fa68"
BODY = {"spec": "900/2000", "best-effort": True,
        "phases": [{"count": 4, "cpu": 2000, "mem-mb": 64, "estimate-ms": 900}]}
DEADLINE_S = 5
LATE_S = 1.5  # After cancel_ms.


async def case(deployment, has_trouble):
    daemon = deployment.edges[0]  # By the hash of the client.
    post = asyncio.create_task(deployment.submit(daemon, JOB, BODY, DEADLINE_S))
    await asyncio.sleep(0.3)
    answer = await deployment.cancel(daemon, JOB)
    cancelled_at = deployment.record.now()
    first = await post
    if answer is None or answer[0] != 200 or first is None or first[0] != 200:
        raise RuntimeError(f"the cancel was not acknowledged: {answer}, {first}")
    await asyncio.sleep(CANCEL_S + LATE_S)
    if has_trouble:
        await deployment.submit(daemon, JOB, BODY, DEADLINE_S)  # The same request, which was held up on its way.
    await asyncio.sleep(1)
    return [f"{task} run {run} was started {at - cancelled_at:.2f} s after the cancel was acknowledged"
            for at, _, task, run in deployment.starts_of(JOB) if at > cancelled_at + CANCEL_S]


play(FOLDER, case)
