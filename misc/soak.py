#!/usr/bin/env python3
"""Runs the real programs under random faults and checks the system's invariants.

    misc/soak.py --seed 7                one run
    misc/soak.py --seeds 100-150         one run per seed
    misc/soak.py --minutes 5             runs with new seeds for 5 minutes
    misc/soak.py --seed 7 --entries 30 --workers 110 --domains 3 --busy 8 --group-faults

Entries, agents and stand-ins for the platform's store and workers run as separate processes on
loopback. Agents connect to the entries through proxies that delay, block or reset connections.
Processes are killed, paused, terminated and restarted; the store is slow, unavailable, loses data or
loses responses; workers restart, stall, fail and execute orders late. Another writer leaves odd entries: nested too
deeply, with numbers or ports out of range, or for workers that aren't there. No program may crash. Callers resubmit
interrupted jobs as the platform's clients do. Only processes started by the run are ended, by process id.

Options add faults of which a run at the default size has none or few: several processes paused or killed together
(--group-faults), starts that stay unanswered and are executed late all the while (--late-every), clients whose
connection is reset during a call (--reset-share) or that submit again after their deadline (--resubmit-expired), a
shortage of processor time (--busy), connections that go silent without an end, also those to the store and to workers
(--silent-share, --one-way-share), quotas of processor time (--quota), clients whose connections end late at the entry
(--late-closes), workers that restart in series while their agents are paused or killed (--successions), workers that refuse, garble or
don't answer the calls of their agents (--call-faults), crowds of clients that don't behave (--crowds), and workers that
return under their ID and first execute starts of before, while stops are lost or late (--late-starts). Their random numbers are drawn apart: a
seed means the same run without them.
"""
import argparse
import asyncio
import json
import os
import random
import signal
import sys
import tempfile
import time

from soak_deployment import (CONNECTIONS, DOMAINS, ENTRIES, SERVICE_CONNECTIONS, WORKERS, WORKER_CPU_MILLIS,
                             Deployment, Proxy, Settings, http, write_row)
from soak_crowds import MemoryWatch
from soak_late_starts import find_premature_ends, is_unsent
from soak_faults import fail_calls_of_idle_workers, inject_faults, start_optional_faults, write_odd_entries
from soak_observation import TimeUse, longest_wait_ms, start_watching_entries, wall_time, watch_stalls

CRASHING_SHARE = 0.02  # Of the jobs under faults.
MAX_CRASHES = 3  # A task that crashed so many workers must not be started again.
STARTUP_S_PER_WORKER = 0.05
RESUBMIT_DELAY_S = 1.3  # Clients resubmit a job this long after its connection broke.
ATTEMPT_DEADLINE_S = 1.5  # Of each attempt of a client that submits again after its deadline.
LONG_TASKS, LONG_RUN_MS, LONG_DEADLINE_S = 2, 1600, 4  # A run of this length outlasts the delay of a resubmission.
MAX_ATTEMPTS = 4
FINAL_JOBS, FINAL_INTERVAL_S = 30, 0.05


async def client(deployment, job, results, crashes=False, settings=Settings()):
    """Submits a job, and again after each broken or interrupted call, until its deadline or as the settings say.

    If it crashes, one of its tasks ends each worker process that starts it."""
    rng = deployment.rng
    tasks, run_ms = rng.choice([(8, 60), (4, 600), (2, 200)])
    attempt_s = ATTEMPT_DEADLINE_S
    if random.Random(f"length {job}").random() < settings.long_share:
        tasks, run_ms, attempt_s = LONG_TASKS, LONG_RUN_MS, LONG_DEADLINE_S
    cpu_millis = 6200
    deadline = time.monotonic() + 3
    record = {"job": job, "tasks": tasks, "tries": [], "calls": []}
    results.append(record)
    if crashes:
        record["crashing_task"] = rng.randrange(tasks)
    crash_suffix = f"/{record['crashing_task']}" if crashes else ""
    body = {"spec": f"{run_ms}/{cpu_millis}{crash_suffix}", "best-effort": True,
            "phases": [{"count": tasks, "cpu": cpu_millis, "mem-mb": 64, "estimate-ms": run_ms}]}
    entry = rng.randrange(deployment.settings.entries)
    if settings.resubmit_expired or settings.reset_share:
        await submit_persistently(deployment, record, body, entry, attempt_s)
        return
    while (remaining_s := deadline - time.monotonic()) > 0.05:
        headers = ("Host: desk.example", f"Deadline-Ms: {int(remaining_s * 1000)}", f"Request-Id: {job}")
        sent_at = wall_time()
        response = await http(deployment.client_port(entry), "POST", f"/orders/{job}", body, headers, remaining_s)
        if record_try(record, entry, sent_at, response):
            return
        await asyncio.sleep(RESUBMIT_DELAY_S)
        entry = (entry + 1) % deployment.settings.entries


def record_try(record, entry, sent_at, response):
    """Returns whether the response is final."""
    record["tries"].append(response[0] if response else None)
    record["calls"].append({"entry": entry, "from": sent_at, "to": wall_time()})
    if response and response[0] not in (502, 504):
        record["answer"] = response[0], response[1].decode(errors="replace")
    return "answer" in record


async def submit_persistently(deployment, record, body, entry, attempt_s):
    """Submits a job until it is answered; each attempt has a deadline of its own, and some are reset before."""
    settings, rng = deployment.settings, random.Random(f"attempts {record['job']}")
    headers = ("Host: desk.example", f"Deadline-Ms: {int(attempt_s * 1000)}", f"Request-Id: {record['job']}")
    for _ in range(MAX_ATTEMPTS):
        resets = rng.random() < settings.reset_share
        wait_s = rng.uniform(0, attempt_s) if resets else attempt_s
        port = deployment.client_port(entry)
        sent_at = wall_time()
        response = await http(port, "POST", f"/orders/{record['job']}", body, headers, wait_s, resets)
        if record_try(record, entry, sent_at, response):
            return
        if response is None and not resets and not settings.resubmit_expired:
            return
        await asyncio.sleep(RESUBMIT_DELAY_S)
        entry = rng.randrange(settings.entries)


async def publish_configuration(deployment):
    """Writes an operator configuration with one queue to the store."""
    configuration = {"version": 1, "routes": [{"name": "orders", "host": "desk.example", "path-prefix": "/orders/",
                                               "service": "orders", "target-latency-ms": 60, "max-attempts": 3,
                                               "priority": 0, "stretch": 1.6}]}
    while await write_row(deployment, "op", "config", json.dumps(configuration)) is None:
        await asyncio.sleep(0.1)  # The store may still be starting, if processor time is short.


def find_violations(work, results, settings, held_calls=()):
    """Checks the invariants against what callers and workers observed; returns descriptions."""
    violations, runs = [], {}
    for index in range(settings.workers):
        for line in open(f"{work}/runs{index}.log"):
            row = json.loads(line)
            if row.get("cpu_peak", 0) > settings.cpu_millis:
                violations.append(f"worker {row['worker']} exceeded its capacity: "
                                  f"{row['cpu_peak']} thousandths of a core in use")
            key = (row["worker"], row["born"], row["task"], row["run"])
            runs.setdefault(key, {}).update(row)
    tasks = {}
    for row in runs.values():
        tasks.setdefault(row["task"], []).append(row)
    for task, rows in tasks.items():
        rows.sort(key=lambda row: row["from"])
        for before, after in zip(rows, rows[1:]):
            # 1 ms tolerance, because the log has whole milliseconds.
            is_overlap = after["from"] < before.get("to", float("inf")) - 1
            if is_overlap and not is_unsent(held_calls, before) and not is_unsent(held_calls, after):
                violations.append(f"{task} ran twice at the same time: {before} and {after}")
    violations += find_premature_ends(held_calls, work, runs.values())
    sent = {task: [row for row in rows if not is_unsent(held_calls, row)] for task, rows in tasks.items()}
    for record in results:
        of_job = [task for task in tasks if task.startswith(record["job"] + ".")]
        started = [row for task in of_job for row in sent[task]]
        status, body = record.get("answer", (None, ""))
        if status == 200 and '"complete"' in body:
            done = {row["task"] for task in of_job for row in tasks[task] if row.get("done")}
            if len(done) < record["tasks"]:
                violations.append(f"{record['job']} was reported complete with "
                                  f"{len(done)} of {record['tasks']} tasks done")
        if "crashing_task" in record:
            starts = len(sent.get(f"{record['job']}.0.0.{record['crashing_task']}", []))
            if starts > MAX_CRASHES:
                violations.append(f"{record['job']} was started {starts} times, though it crashes workers")
        if status == 503 and started and len(record["tries"]) == 1:
            violations.append(f"{record['job']} was rejected, but one of its tasks had started")
    return violations


async def run(seed, seconds, base, work, settings):
    rng = random.Random(seed)
    CONNECTIONS.clear()
    SERVICE_CONNECTIONS.clear()
    deployment = Deployment(work, base, rng, settings, seed)
    signal.signal(signal.SIGTERM, lambda *_: deployment.end())
    try:
        deployment.start_by_name("store")
        proxies = deployment.make_proxies()
        for proxy in proxies:
            await proxy.start()
        await asyncio.sleep(0.3)
        await publish_configuration(deployment)
        for i in range(settings.entries):
            deployment.start_by_name(f"entry{i}")
        for i in range(settings.workers):
            deployment.start_by_name(f"agent{i}")
            deployment.start_by_name(f"workr{i}")
        await asyncio.sleep(2 + STARTUP_S_PER_WORKER * max(0, settings.workers - WORKERS))
        deployment.start_busy_processes()
        results, clients = [], []
        fault_task = asyncio.create_task(inject_faults(deployment, seconds))
        odd_task = asyncio.create_task(write_odd_entries(deployment, random.Random(f"odd {seed}"), seconds))
        optional_tasks = start_optional_faults(deployment, seed, seconds)
        memory = MemoryWatch(deployment) if settings.crowds else None
        worker_tasks = [asyncio.create_task(deployment.restart_crashed(f"workr{i}")) for i in range(settings.workers)]
        start_time, fault_time = time.monotonic(), TimeUse()
        while not fault_task.done() or time.monotonic() - start_time < seconds:
            job = f"{rng.getrandbits(64):016x}"
            crashes = rng.random() < CRASHING_SHARE
            clients.append(asyncio.create_task(client(deployment, job, results, crashes, settings)))
            await asyncio.sleep(rng.uniform(0.02, 0.08) / settings.load)
        fault_time.end()
        await asyncio.gather(fault_task, odd_task, *optional_tasks)
        await asyncio.gather(*clients)
        if settings.call_faults:
            await fail_calls_of_idle_workers(
                deployment, random.Random(f"idle {seed}"),
                lambda: client(deployment, f"{rng.getrandbits(64):016x}", results))
        deployment.stop_busy_processes()
        # All jobs must be served again after the last fault.
        final_results, clients, stalls = [], [], []
        start_watching_entries(deployment)
        await asyncio.sleep(4)
        stall_task = asyncio.create_task(watch_stalls(stalls))
        final_time = TimeUse()
        for _ in range(FINAL_JOBS):
            clients.append(asyncio.create_task(client(deployment, f"{rng.getrandbits(64):016x}", final_results)))
            await asyncio.sleep(FINAL_INTERVAL_S)
        final_time.end()
        await asyncio.gather(*clients)
        for task in worker_tasks + [stall_task]:
            task.cancel()
        for proxy in proxies:
            proxy.server.close()
        memory_violations = memory.end() if memory else []
    finally:
        deployment.kill_all()
    await asyncio.sleep(0.3)  # The proxies close the connections of the processes that have ended.
    violations = find_violations(work, results + final_results, settings, deployment.held_calls) + memory_violations
    with open(f"{work}/clients.json", "w") as out:
        # Runs are logged with the time of the monotonic clock.
        json.dump({"wall_time": wall_time(), "monotonic_s": time.monotonic(), "violations": violations,
                   "jobs": results + final_results}, out, indent=1)
    violations += [f"{name} crashed" for name in sorted(deployment.crashed)]
    served = sum(1 for record in final_results if record.get("answer", (0, ""))[0] == 200)
    if served < len(final_results):
        violations.append(f"after the faults {served} of {len(final_results)} jobs were served")
    total = sum(1 for record in results if record.get("answer", (0, ""))[0] == 200)
    return violations, (f"{total} of {len(results)} jobs served under faults (submitted for {fault_time} under faults, "
                        f"for {final_time} after them, stood still for up to {max(stalls, default=0) * 1000:.0f} ms "
                        f"then; a thread of an entry waited for a processor for up to "
                        f"{longest_wait_ms(f'{work}/watch.log')} ms)")


def main():
    options = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    options.add_argument("--seed", type=int)
    options.add_argument("--seeds", help="range of seeds, FROM-TO")
    options.add_argument("--minutes", type=float)
    options.add_argument("--seconds", type=float, default=8, help="duration of the faults in a run")
    options.add_argument("--base-port", type=int, default=9000)
    options.add_argument("--keep", help="directory for the logs of failed runs")
    options.add_argument("--entries", type=int, default=ENTRIES)
    options.add_argument("--workers", type=int, default=WORKERS, help="each with an agent")
    options.add_argument("--cpu-millis", type=int, default=WORKER_CPU_MILLIS, help="capacity of each worker")
    options.add_argument("--domains", type=int, default=1, choices=range(1, len(DOMAINS) + 1))
    options.add_argument("--load", type=float, default=1, help="factor of the rate of jobs")
    options.add_argument("--busy", type=int, default=0, help="processes that only use processor time")
    options.add_argument("--late-every", type=int, default=0, help="one in so many starts is executed late")
    options.add_argument("--reset-share", type=float, default=0, help="share of calls whose connection is reset")
    options.add_argument("--long-share", type=float, default=0,
                         help="share of jobs with long tasks, if clients submit again")
    options.add_argument("--resubmit-expired", action="store_true", help="clients submit again after their deadline")
    options.add_argument("--group-faults", action="store_true", help="several processes are paused or killed together")
    options.add_argument("--silent-share", type=float, default=0,
                         help="share of the open connections that go silent for good, at each of several times")
    options.add_argument("--one-way-share", type=float, default=0, help="the same, in one direction")
    options.add_argument("--quota", action="store_true", help="processes run for 10 to 50 ms of each 100 ms only")
    options.add_argument("--late-closes", action="store_true",
                         help="the end of a client's connection reaches the entry 20 to 200 ms late")
    options.add_argument("--successions", action="store_true",
                         help="workers restart in series while their agents are paused or killed")
    options.add_argument("--call-faults", action="store_true",
                         help="workers fail the calls of their agents, one or all of them")
    options.add_argument("--crowds", action="store_true",
                         help="crowds of clients that don't behave, at entries and agents")
    options.add_argument("--late-starts", action="store_true",
                         help="workers that return execute starts of before; stops are lost or late")
    options.add_argument("--drop-late-on-restart", action="store_true",
                         help="late starts end with the worker's process, and never reach the next one")
    arguments = options.parse_args()
    settings = Settings(**{field: getattr(arguments, field) for field in Settings.__dataclass_fields__})
    if arguments.minutes:
        end = time.monotonic() + arguments.minutes * 60
        seeds = iter(lambda: int(time.time() * 1000) % 2**31 if time.monotonic() < end else None, None)
    elif arguments.seeds:
        first, last = map(int, arguments.seeds.split("-"))
        seeds = range(first, last + 1)
    else:
        seeds = [arguments.seed if arguments.seed is not None else 1]
    passed = failed = 0
    for seed in seeds:
        with tempfile.TemporaryDirectory() as work:
            violations, summary = asyncio.run(run(seed, arguments.seconds, arguments.base_port, work, settings))
            if violations and arguments.keep:
                os.makedirs(arguments.keep, exist_ok=True)
                os.system(f"cp -r '{work}' '{arguments.keep}/seed-{seed}'")
        print(f"seed {seed}: {summary}; {'; '.join(violations[:5]) or 'no violations'}", flush=True)
        passed, failed = passed + (not violations), failed + bool(violations)
    print(f"{passed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
