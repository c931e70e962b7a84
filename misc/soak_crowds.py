"""Crowds of clients that don't behave, as a fault of the soak, and the memory of the processes that they call."""
import asyncio
import time
from dataclasses import dataclass

from client_crowds import AGENT_CROWDS, ENTRY_CROWDS

MACHINE = "[machine]\nmemory = 96MiB\ndescriptors = 600\n"  # Ends the settings of entries and agents.
MAX_MEMORY_MIB = 96
CROWD_SHARE = 0.4  # Of the clients that a crowd has when it is played alone.
CROWD_S, GAP_S = (0.3, 1.5), (0.05, 0.5)
SAMPLE_S = 0.05


@dataclass(frozen=True)
class Target:
    """The ports of an entry and an agent."""
    entry_port: int
    metrics_port: int
    link_port: int
    agent_port: int


async def play_crowd(clients, duration):
    playing = [asyncio.create_task(client.play()) for client in clients]
    await asyncio.sleep(duration)
    for task in playing:
        task.cancel()
    await asyncio.gather(*playing, return_exceptions=True)
    for client in clients:
        client.leave()


async def inject_crowds(deployment, rng, seconds):
    """Sends one crowd after the other to processes that other faults restart and pause meanwhile."""
    settings, end = deployment.settings, time.monotonic() + seconds
    while time.monotonic() < end:
        entry, agent = rng.randrange(settings.entries), rng.randrange(settings.workers)
        target = Target(deployment.port("http", entry), deployment.port("metrics", entry),
                        deployment.port("link", entry), deployment.port("agent_http", agent))
        clients = rng.choice(ENTRY_CROWDS + AGENT_CROWDS)(target)
        await play_crowd(clients[:int(len(clients) * CROWD_SHARE)], rng.uniform(*CROWD_S))
        await asyncio.sleep(rng.uniform(*GAP_S))


class MemoryWatch:
    """The largest resident size of each entry and agent, over all processes that had its name."""

    def __init__(self, deployment):
        self.deployment, self.largest_mib = deployment, {}
        self.task = asyncio.create_task(self.sample())

    async def sample(self):
        while True:
            for name, process in self.deployment.processes.items():
                if name[:5] in ("entry", "agent"):
                    self.largest_mib[name] = max(self.largest_mib.get(name, 0), peak_memory_mib(process.pid))
            await asyncio.sleep(SAMPLE_S)

    def end(self):
        """Returns the violations."""
        self.task.cancel()
        return [f"{name} took {mib:.0f} MiB" for name, mib in sorted(self.largest_mib.items()) if mib > MAX_MEMORY_MIB]


def peak_memory_mib(pid):
    """Returns 0 for a process that has ended."""
    try:
        with open(f"/proc/{pid}/status") as status:
            return next((int(line.split()[1]) / 1024 for line in status if line.startswith("VmHWM")), 0)
    except OSError:
        return 0
