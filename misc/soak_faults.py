"""The faults of the soak: random disturbances of a deployment, drawn from a generator of their own each."""
import asyncio
import json
import random
import signal
import time

from soak_crowds import inject_crowds
from soak_late_starts import inject_late_starts
from soak_deployment import CONNECTIONS, QUOTA_PERIOD_S, SERVICE_CONNECTIONS, http, write_row


async def write_odd_entries(deployment, rng, seconds):
    """Sends what another writer may send to the agents, and leaves rows among those of the entries."""
    end = time.monotonic() + seconds
    deep = "[" * 500_000 + "]" * 500_000
    while time.monotonic() < end:
        await asyncio.sleep(rng.uniform(0.1, 1.0))
        if rng.random() < 0.3:
            await write_row(deployment, "entries", f"odd {rng.randrange(3)}",
                            rng.choice(["127.0.0.1:99999", "[" * 1000, "18446744073709551616", "127.0.0.1"]))
            continue
        index = rng.randrange(deployment.settings.workers)
        name = rng.choice([f"w-{index}", "w-other"])
        beat = {"service": rng.choice(["orders", "unknown"]), "addr": f"127.0.0.1:{rng.choice([9, 99999])}",
                "zone": "north", "state": "ready", "capacity": {"cpu": 32000, "mem-mb": 4096, "gpu": 0}, "labels": [],
                "clock-ms": rng.choice([5, 2**53, 2**64]), "seq": rng.choice([1, 2**53, 2**64]),
                "born": rng.choice([1, int(time.time() * 1000), 2**53])}
        body = json.dumps(beat)
        if rng.random() < 0.3:
            body = body.replace('"labels": []', f'"labels": {deep}')
        await http(deployment.port("agent_http", index), "PUT", f"/api/instances/{name}", body, timeout=1)


async def inject_worker_fault(deployment, index, fault, duration):
    port = deployment.port("worker", index)
    await http(port, "POST", "/faults", fault)
    await asyncio.sleep(duration)
    await http(port, "POST", "/faults", {})


async def inject_faults(deployment, seconds):
    rng, settings = deployment.rng, deployment.settings
    pending, end = [], time.monotonic() + seconds
    pause, restart = deployment.pause, deployment.restart

    async def inject_store_fault(fault, duration):
        await http(deployment.store, "POST", "/faults", fault)
        await asyncio.sleep(duration)
        await http(deployment.store, "POST", "/faults", {})

    def inject_link_faults(duration):
        for _, connection in list(CONNECTIONS.values()):
            if rng.random() < 0.4:
                continue
            kind = rng.choice(["up", "down", "both", "reset", "delay"])
            if kind == "reset":
                for writer in connection["writers"] if not connection["silent"] else ():
                    writer.transport.abort()
            elif kind == "delay":
                connection["delay"] = rng.uniform(0, 0.05)
            for direction in ("up", "down"):
                if kind in (direction, "both"):
                    connection[direction] = time.monotonic() + duration

    nodes = [f"entry{i}" for i in range(settings.entries)] + [f"agent{i}" for i in range(settings.workers)]
    random_node = lambda: rng.choice(nodes)
    while time.monotonic() < end:
        await asyncio.sleep(rng.uniform(0.1, 1.2))
        duration = rng.uniform(0.1, 3)
        kind = rng.randrange(6)
        if kind == 0:
            pending.append(asyncio.create_task(pause(random_node(), duration)))
        elif kind == 1:
            pending.append(asyncio.create_task(restart(random_node(), signal.SIGKILL, duration)))
        elif kind == 2:
            pending.append(asyncio.create_task(restart(random_node(), signal.SIGTERM, 0)))
        elif kind == 3:
            inject_link_faults(duration)
        elif kind == 4:
            fault = rng.choice([{"outage": True}, {"latency_ms": 700}, {"lose_answers": True}, {"forget": True}])
            pending.append(asyncio.create_task(inject_store_fault(fault, duration)))
        else:
            fault = rng.choice([{"restart": True}, {"stuck": True}, {"fail_all": True}, {"late_share": 0.1}])
            pending.append(asyncio.create_task(inject_worker_fault(
                deployment, rng.randrange(settings.workers), fault, duration)))
    await asyncio.gather(*pending)


async def inject_group_faults(deployment, rng, seconds):
    """Pauses several processes together, kills agents in a row, and pauses agents when an entry has just gone."""
    settings = deployment.settings
    pending, end = [], time.monotonic() + seconds
    agents = [f"agent{i}" for i in range(settings.workers)]
    entries = [f"entry{i}" for i in range(settings.entries)]

    def some(names, share):
        return rng.sample(names, max(1, int(len(names) * rng.uniform(0, share))))

    async def pause_all(names, duration):
        await asyncio.gather(*(deployment.pause(name, duration) for name in names))

    async def kill_in_turn(names):
        restarts = []
        for name in names:
            restarts.append(asyncio.create_task(deployment.restart(name, signal.SIGKILL, rng.uniform(0.5, 3))))
            await asyncio.sleep(rng.uniform(0.3, 3))
        await asyncio.gather(*restarts)

    async def lose_entries_then_agents():
        duration = rng.uniform(0.4, 4)
        if rng.random() < 0.5:
            lost = pause_all(some(entries, 0.3), duration)
        else:
            lost = deployment.restart(rng.choice(entries), signal.SIGKILL, duration)
        lost = asyncio.create_task(lost)
        await asyncio.sleep(rng.uniform(0, 0.8))
        await pause_all(some(agents, 0.4), rng.uniform(0.6, 4))
        await lost

    while time.monotonic() < end:
        await asyncio.sleep(rng.uniform(0.3, 1.5))
        kind = rng.randrange(4)
        if kind == 0:
            fault = pause_all(some(agents, 0.3) + some(entries, 0.3), rng.uniform(0.4, 4))
        elif kind == 1:
            fault = pause_all(some(agents, 0.5), rng.uniform(0.4, 4))
        elif kind == 2:
            fault = kill_in_turn(rng.sample(agents, min(len(agents), rng.randint(2, 5))))
        else:
            fault = lose_entries_then_agents()
        pending.append(asyncio.create_task(fault))
    await asyncio.gather(*pending)


async def silence_connections(rng, directions, share, seconds):
    """Lets open connections go silent for good, many at once, while new ones work."""
    end = time.monotonic() + seconds
    while share and time.monotonic() < end:
        await asyncio.sleep(rng.uniform(0.3, 2))
        silent = rng.choice(directions)
        for _, connection in list(CONNECTIONS.values()) + list(SERVICE_CONNECTIONS.values()):
            if rng.random() < share:
                connection["silent"].update(silent)


async def inject_quotas(deployment, rng, seconds):
    """Limits the processor time of several agents, entries or both for seconds."""
    settings = deployment.settings
    pending, end = [], time.monotonic() + seconds
    agents = [f"agent{i}" for i in range(settings.workers)]
    entries = [f"entry{i}" for i in range(settings.entries)]
    while time.monotonic() < end:
        await asyncio.sleep(rng.uniform(0.3, 2))
        names = rng.choice([agents, entries, agents + entries])
        duration = rng.uniform(1, 4)
        for name in rng.sample(names, rng.randint(1, len(names))):
            await asyncio.sleep(rng.uniform(0, QUOTA_PERIOD_S / len(names)))  # They don't stop in step.
            throttled = deployment.run_under_quota(name, rng.uniform(0.01, 0.05), duration)
            pending.append(asyncio.create_task(throttled))
    await asyncio.gather(*pending)


async def inject_successions(deployment, rng, seconds):
    """Restarts workers under the same ID in series, while their agents are paused or have been killed."""
    pending, end = [], time.monotonic() + seconds
    workers = deployment.settings.workers

    async def restart_in_series(index):
        port = deployment.port("worker", index)
        for _ in range(rng.randint(1, 4)):
            await asyncio.sleep(rng.uniform(0.02, 0.8))
            await http(port, "POST", "/faults", {"restart": True, "late_share": rng.choice([0, 0, 0.2])})
        await asyncio.sleep(rng.uniform(0.02, 0.8))
        await http(port, "POST", "/faults", {})

    while time.monotonic() < end:
        await asyncio.sleep(rng.uniform(0.3, 2))
        for index in rng.sample(range(workers), rng.randint(1, (workers + 1) // 2)):
            agent, pause_s, is_killed = f"agent{index}", rng.uniform(0.4, 4), rng.random() < 0.4
            pending.append(asyncio.create_task(restart_in_series(index)))
            pending.append(asyncio.create_task(deployment.restart(agent, signal.SIGKILL, pause_s / 2) if is_killed
                                               else deployment.pause(agent, pause_s)))
    await asyncio.gather(*pending)


async def inject_call_faults(deployment, rng, seconds):
    """Workers fail the calls of their agents for a while, one or all of them, in series that overlap."""
    pending, end = [], time.monotonic() + seconds
    workers = deployment.settings.workers

    while time.monotonic() < end:
        await asyncio.sleep(rng.uniform(0.2, 1.5))
        count = rng.choice([1, rng.randint(1, workers), workers])
        for index in rng.sample(range(workers), count):
            fault = {"calls": rng.choice(["503", "429", "500", "odd", "none"])}
            pending.append(asyncio.create_task(inject_worker_fault(deployment, index, fault, rng.uniform(0.1, 2))))
    await asyncio.gather(*pending)


async def fail_calls_of_idle_workers(deployment, rng, submit):
    """All workers fail their calls together while nothing else runs, beside the jobs that @p submit hands in."""
    workers = deployment.settings.workers
    fault, duration = {"calls": rng.choice(["503", "429"])}, rng.uniform(0.5, 2)
    faults = [asyncio.create_task(inject_worker_fault(deployment, i, fault, duration)) for i in range(workers)]
    await asyncio.sleep(0.2)  # All workers have the fault by then.
    await asyncio.gather(*faults, *(submit() for _ in range(workers)))


def start_optional_faults(deployment, seed, seconds):
    """Starts the faults that the settings ask for, and returns their tasks."""
    settings = deployment.settings

    def generator(name):
        return random.Random(f"{name} {seed}")

    faults = [silence_connections(generator("silent"), [("up", "down")], settings.silent_share, seconds),
              silence_connections(generator("one way"), [("up",), ("down",)], settings.one_way_share, seconds),
              inject_group_faults(deployment, generator("groups"), seconds if settings.group_faults else 0),
              inject_quotas(deployment, generator("quota"), seconds if settings.quota else 0),
              inject_successions(deployment, generator("successions"), seconds if settings.successions else 0),
              inject_call_faults(deployment, generator("calls"), seconds if settings.call_faults else 0),
              inject_crowds(deployment, generator("crowds"), seconds if settings.crowds else 0),
              inject_late_starts(deployment, generator("late starts"), seconds if settings.late_starts else 0)]
    return [asyncio.create_task(fault) for fault in faults]
