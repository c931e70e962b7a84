"""Shows what entries do while a soak submits jobs, to tell a late entry from a late soak or kernel."""
import asyncio
import json
import os
import sys
import time
from datetime import datetime, timezone

SAMPLE_INTERVAL_S = 0.1
ESTABLISHED, SYN_SENT, LISTEN = "01", "02", "0A"  # States of a socket in /proc/net/tcp.


def wall_time():
    """The time as in the logs of the processes."""
    return datetime.now(timezone.utc).isoformat(timespec="milliseconds")


class TimeUse:
    """Measures a time and how much processor time this process uses in it: at 100 %, the soak itself is the limit."""

    def __init__(self):
        self.start = time.monotonic(), time.process_time()

    def end(self):
        self.seconds, self.used_s = time.monotonic() - self.start[0], time.process_time() - self.start[1]

    def __str__(self):
        return f"{self.seconds:.2f} s with {100 * self.used_s / self.seconds:.0f} % of a processor"


async def watch_stalls(stalls, interval_s=0.02):
    """Records for how long this process has stood still, which tells a shortage of processor time from a fault."""
    while True:
        before = time.monotonic()
        await asyncio.sleep(interval_s)
        stalls.append(time.monotonic() - before - interval_s)


def read_sockets():
    """Returns the TCP sockets of this machine as (local port, remote port, state, unread bytes)."""
    with open("/proc/net/tcp") as table:
        rows = [line.split() for line in table][1:]
    return [(int(row[1].split(":")[1], 16), int(row[2].split(":")[1], 16), row[3], int(row[4].split(":")[1], 16))
            for row in rows]


def read_listen_drops():
    """Returns how many connections the kernel refused because a backlog was full."""
    with open("/proc/net/netstat") as table:
        names, values = [line.split() for line in table if line.startswith("TcpExt:")]
    return {name: int(value) for name, value in zip(names, values) if name in ("ListenOverflows", "ListenDrops")}


def read_steal():
    """Returns the time in ticks for which each virtual processor was ready but not run by its host."""
    with open("/proc/stat") as table:
        return [int(line.split()[8]) for line in table if line.startswith("cpu") and line[3].isdigit()]


def read_threads(pid):
    """Returns the state of each thread, its milliseconds with and waiting for a processor, and where it waits.

    The result is empty if the process has ended."""
    threads = []
    try:
        for thread in sorted(os.listdir(f"/proc/{pid}/task"), key=int):
            state, schedule, wait = (read_text(f"/proc/{pid}/task/{thread}/{name}")
                                     for name in ("stat", "schedstat", "wchan"))
            run_ns, delay_ns, _ = schedule.split()
            threads.append((state.rpartition(")")[2].split()[0], int(run_ns) // 10**6, int(delay_ns) // 10**6, wait))
    except (FileNotFoundError, ProcessLookupError):
        return []
    return threads


def read_text(path):
    with open(path) as file:
        return file.read()


def sample(entries):
    """Returns what the system shows now of each entry, given by name, process ID and ports."""
    sockets = read_sockets()
    result = {"time": wall_time(), "steal": read_steal(), **read_listen_drops()}
    for name, pid, ports in entries:
        result[name] = {
            "not_accepted": {s[0]: s[3] for s in sockets if s[0] in ports and s[2] == LISTEN},
            "connecting": sum(1 for s in sockets if s[1] in ports and s[2] == SYN_SENT),
            "unread": sum(1 for s in sockets if s[0] in ports and s[2] != LISTEN and s[3]),
            "connections": sum(1 for s in sockets if s[0] in ports and s[2] == ESTABLISHED),
            "threads": read_threads(pid)}
    return result


def longest_wait_ms(path):
    """Returns how long a thread of an entry waited for a processor between two samples, which is when it ran again."""
    with open(path) as lines:
        samples = [json.loads(line) for line in lines if line.startswith("{") and line.endswith("}\n")]
    return max((now[2] - before[2]
                for earlier, later in zip(samples, samples[1:]) for name in later if name.startswith("entry")
                for before, now in zip(earlier[name]["threads"], later[name]["threads"])), default=0)


def start_watching_entries(deployment):
    """Samples the threads and the HTTP sockets of the entries, in a process of its own: a sample takes up to 70 ms."""
    entries = [(name, deployment.processes[name].pid, [deployment.port("http", i), deployment.client_port(i)])
               for i, name in enumerate(f"entry{i}" for i in range(deployment.settings.entries))]
    deployment.start("watch", sys.executable, __file__, json.dumps(entries))


def main():
    entries = json.loads(sys.argv[1])
    while True:
        print(json.dumps(sample(entries)), flush=True)
        time.sleep(SAMPLE_INTERVAL_S)


if __name__ == "__main__":
    main()
