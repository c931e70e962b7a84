"""Starts that are held up on their way to a worker, and reach its next process before the first call of its agent.

Nobody can prevent such a run. Its agent can prevent that the task is started elsewhere beside it: it must not report a
run as ended while it sees another run of the task on its worker."""
import asyncio
import random
import re
import time
from datetime import datetime

HELD_SHARE = 0.3  # Of runs; each copy of the start is held up.
LOST_STOPS, LATE_STOPS = 0.4, 0.3  # Shares of stops.
LATE_STOP_S = 2
MAX_DELIVERED = 3  # More starts would exceed the worker's capacity by themselves.
WATCHED_EVENTS = ("run_ended", "run_end_withheld", "run_end_released", "unknown_run_stopped")
LISTING_MS = 1.5  # The lines on one listing are logged within this time.
LISTING_REASONS = ("worker_restarted", "not_listed", "fenced_off")
LOG_LINE = re.compile(r"time=(\S+) .*?event=(\S+)(.*)")


class HeldCalls:
    """The calls to one worker that don't get through: starts until it returns, stops for seconds or for good."""

    def __init__(self, seed, worker, port):
        self.rng, self.seed, self.worker, self.port = random.Random(seed), seed, worker, port
        self.starts, self.unsent_runs, self.is_active = [], [], False

    def take(self, data):
        """Returns whether the call is held up."""
        if not self.is_active:
            return False
        draw = self.rng.random()
        if data.startswith(b"POST /api/run-start"):
            run = re.search(rb'"run":(\d+)', data), re.search(rb'"task":"([^"]+)"', data)
            name = b" ".join(match.group(1) for match in run if match).decode()
            is_held = random.Random(f"{name} {self.seed}").random() < HELD_SHARE
            if is_held:
                self.starts.append(data)
            return is_held
        if data.startswith(b"POST /api/run-stop") and draw < LOST_STOPS + LATE_STOPS:
            if draw >= LOST_STOPS:
                asyncio.get_running_loop().call_later(LATE_STOP_S, lambda: asyncio.ensure_future(self.send(data)))
            return True
        return False

    async def send(self, data):
        """Returns the response; empty without one."""
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
            writer.write(data)
            response = await asyncio.wait_for(reader.read(4096), 1)
            writer.close()
        except (OSError, asyncio.TimeoutError):
            return b""
        return response

    async def deliver_starts(self):
        """Sends the newest starts, as the first calls that a process gets."""
        held, self.starts = self.starts[-MAX_DELIVERED:], []
        for data in held:
            sent_at = time.monotonic()
            if b" 200 " in (await self.send(data)).split(b"\r\n")[0]:
                task = re.search(rb'"task":"([^"]+)"', data).group(1).decode()
                run = int(re.search(rb'"run":(\d+)', data).group(1))
                self.unsent_runs.append({"worker": self.worker, "task": task, "run": run, "sent_ms": sent_at * 1000})


async def inject_late_starts(deployment, rng, seconds):
    """Workers are away, in series that overlap, and execute starts of before when they return."""
    end, pending = time.monotonic() + seconds, []
    calls = deployment.held_calls
    for each in calls:
        each.is_active = seconds > 0
    while time.monotonic() < end:
        await asyncio.sleep(rng.uniform(0.1, 0.7))
        index = rng.randrange(len(calls))
        downtime = rng.uniform(0.05, 0.5) if rng.random() < 0.6 else rng.uniform(0.5, 1.5)
        pending.append(asyncio.create_task(deployment.leave_and_return(index, downtime)))
    await asyncio.gather(*pending)
    for each in calls:
        each.is_active = False


def is_unsent(held_calls, row):
    """Whether the worker has executed a start that its process was not sent."""
    return any(run["worker"] == row["worker"] and run["task"] == row["task"] and run["run"] == row["run"]
               and -2 <= row["from"] - run["sent_ms"] < 1000
               for calls in held_calls for run in calls.unsent_runs)


def read_events(path, clock_offset_s):
    """The agent's log lines on ends, as (monotonic ms, event, run, reason)."""
    events = []
    for line in open(path, errors="replace"):
        match = LOG_LINE.match(line)
        if match and match.group(2) in WATCHED_EVENTS:
            fields = dict(field.split("=", 1) for field in match.group(3).split() if "=" in field)
            wall_s = datetime.fromisoformat(match.group(1) + "+00:00").timestamp()
            is_done = fields.get("outcome") == "DONE"
            events.append(((wall_s - clock_offset_s) * 1000, match.group(2), fields.get("run", ""),
                           "done" if is_done else fields.get("reason", "")))
    return events


def find_premature_ends(held_calls, work, runs):
    """Ends that an agent has reported while it saw another run of the task on its worker."""
    clock_offset_s = time.time() - time.monotonic()
    violations = []
    for index, calls in enumerate(held_calls):
        unsent = [row for row in runs if row["worker"] == calls.worker and is_unsent(held_calls, row)]
        events = read_events(f"{work}/agent{index}.log", clock_offset_s)
        for position, (at, event, run, reason) in enumerate(events):
            is_withheld = any(other[1] == "run_end_withheld" and other[2] == run
                              for other in events[position + 1:position + 2])
            if event != "run_ended" or reason == "done" or is_withheld:
                continue
            job, step, task, _ = run.split("/")
            for row in unsent:
                is_same_task = row["task"] == f"{job}.0.{step}.{task}"
                unknown = f"{job}/{step}/{task}/{row['run']}"
                # The listing that ends a run is logged just before the unknown runs in it.
                is_seen = any(other[1] == "unknown_run_stopped" and other[2] == unknown
                              and (other[0] < at or (other[0] <= at + LISTING_MS and reason in LISTING_REASONS))
                              and other[0] > row["from"] - 2 for other in events)
                if is_same_task and is_seen and row["from"] <= at < row.get("to", float("inf")) - 2:
                    violations.append(f"agent{index} reported {run} as ended ({reason}) while it saw run "
                                      f"{row['run']} of {row['task']} on its worker")
    return violations
