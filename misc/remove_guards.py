#!/usr/bin/env python3
"""Mutation test: removes one guard at a time from a copy of the sources and runs the tests on it.

A guard whose removal makes no test fail is printed as "not seen": either no check covers it or
another guard prevents the same fault. Exits with 1 if a guard does not match or build.

Usage: misc/remove_guards.py [NAME ...]
"""
import os
import pathlib
import shutil
import subprocess
import sys
import tempfile

# Name, file, source text of the guard, replacement text.
GUARDS = [
    ("start known to the agent", "owner/agent_core.cpp",
     "if (const auto known = starts_.find(key, order)) {", "if (const auto known = starts_.find(key, order); false) {"),
    ("second admission", "owner/start_registry.cpp",
     "    if (const auto status = find(key, order)) {\n        return *status;\n    }\n", ""),
    ("epoch at the agent", "owner/start_registry.cpp", "if (epoch < newestEpoch) {", "if (false) {"),
    ("claim before the first start", "owner/job_owner.cpp",
     "        claim(*createRun(message, waiter, now), false);\n",
     "        beginRunning(createRun(message, waiter, now), now, out);\n"),
    ("claims read at a change of owner", "owner/shard_recovery.cpp",
     "    std::ranges::transform(predecessors, std::back_inserter(prefixes_), &ClaimLog::claimPrefix);\n", ""),
    ("missing agents count as unknown", "owner/shard_recovery.cpp",
     "job.hasAllRecords = (isNew || job.hasAllRecords) && stored.version > lossVersion;", "job.hasAllRecords = true;"),
    ("records of starts at a change of owner", "owner/shard_recovery.cpp",
     "    for (const auto &[agent, answer] : answers_) {\n", "    for (const auto &[agent, answer] : decltype(answers_)()) {\n"),
    ("failure recorded before \"no\" is said", "owner/job_owner.cpp",
     "    claim(*run, true);\n}", "    finishFailed(run, true, now, out);\n}"),
    ("lease before \"no\" is said", "owner/claim_log.cpp",
     "return state_ != State::Fenced && now < renewedAt_ + timing_.leaseDuration;", "return true;"),
    ("sent tasks are asked for before \"no\" is said", "owner/job_answer.cpp",
     "    case TaskPhase::Waiting:\n        return wire::Ran::NO;", "    case TaskPhase::Sent:\n    case TaskPhase::Waiting:\n        return wire::Ran::NO;"),
    ("tasks at a lost agent stay there", "owner/job_owner.cpp",
     "    unreachable_.add(AgentIncarnation{agent.name, agent.incarnation}, now);\n",
     "    unreachable_.add(AgentIncarnation{agent.name, agent.incarnation}, now);\n    for (auto &[id, run] : jobs_) {\n"
     "        for (int i = 0; i < static_cast<int>(run->tasks.size()); ++i) {\n"
     "            if (run->tasks[static_cast<size_t>(i)].occupiesSlot() && run->tasks[static_cast<size_t>(i)].agent == agent.name) {\n"
     "                onTaskRefused(run, i);\n            }\n        }\n    }\n"),
    ("evidence before a start", "owner/agent_core.cpp",
     "if (registration_ == 0 || !freshness_.isFresh(now)) {", "if (registration_ == 0) {"),
    ("age of evidence", "owner/agent_core.cpp",
     "= fromMicroseconds(evidence.echoedSentAtUs) - Microseconds(evidence.ageUs);", "= now;"),
    ("registration before a start", "owner/agent_core.cpp",
     "if (registration_ == 0 || !freshness_.isFresh(now)) {", "if (!freshness_.isFresh(now)) {"),
    ("domain state at the agent", "owner/agent_core.cpp",
     "        || !catalog_.isStartAllowed(message.serviceName, endpoint_->name, identity_.domain)) {", "        ) {"),
    ("leaving endpoint", "owner/agent_core.cpp",
     "    return draining_ || !endpoint_ || endpoint_->leaving;", "    return draining_ || !endpoint_;"),
    ("versions only go up", "owner/agent_core.cpp",
     "reply.__isset.catalog && reply.noteVersion > catalog_.version", "reply.__isset.catalog && reply.noteVersion != catalog_.version"),
    ("hand-over unresolved", "owner/owned_shards.cpp",
     "owned->second.drainingSince < version", "true"),
    ("drain waits for jobs", "owner/entry_core.cpp",
     "if (isOwner && owner_.activeJobs() == 0 && (!hasShards || !hasPeers)) {", "if (isOwner) {"),
    ("answers go to their own request", "owner/job_router.cpp",
     "const auto found = requests_.find(reply.requestId);", "const auto found = requests_.begin();"),
    ("open runs keep a worker active", "request/worker_directory.cpp",
     "view->subsetRank || view->mayHaveRuns() || now < view->activeUntil || isLeaving;",
     "view->subsetRank || now < view->activeUntil || isLeaving;"),
    ("earlier runs keep a worker active", "request/worker_directory.cpp",
     "view.mayHaveEarlierRuns = view.mayHaveRuns();", "view.mayHaveEarlierRuns = false;"),
    ("session of a silent agent", "request/worker_directory.cpp",
     "if (!view.mayHaveRuns() || now - view.lastMessageAt <= options_.sessionTimeout) {", "if (true) {"),
    ("no runs for a silent agent", "request/worker_directory.cpp",
     "        && now - view.lastMessageAt <= options_.suspectTimeout;", ";"),
    ("workers outside of the subset", "request/work_scheduler.cpp",
     "                selector_.requestWorkers(step.definition, job.route, operatorState, now);\n", ""),
    ("proof that an entry is alive", "request/work_agent.cpp",
     "    entry.isExpired = true;\n    supervisor_.withdrawSessionsBefore(entry.incarnation, entry.session + 1, now);\n",
     "    entry.isExpired = true;\n"),
    ("crash budget of a task", "request/crash_containment.cpp",
     "    return verdictOn(countsOf(jobId, step, task));", "    return CrashVerdict::MayStart;"),
    ("crash budget over submissions", "request/crash_containment.cpp",
     "    return verdictOn(crashes_.highestCountsOf(jobId));", "    return CrashVerdict::MayStart;"),
    ("each crash counts once", "request/crash_tracker.cpp",
     "    if (contains(crash)) {", "    if (contains(crash) && isRetracted) {"),
    ("a retracted crash does not count", "request/crash_tracker.cpp",
     "    addToCounts(removed, -1);\n", ""),
    ("a suspected crash has no likely cause", "request/crash_tracker.cpp",
     "crash.isDetected && affected.mayBeCause", "affected.mayBeCause"),
    ("a crash is retracted when the process answers", "request/crash_evidence.cpp",
     "return reported_ && reply.listing", "return false && reply.listing"),
    ("answers from before a crash don't retract it", "request/crash_evidence.cpp",
     " && reply.callId > lastCallBeforeReport_", ""),
    ("a flapping link is reported once", "request/crash_evidence.cpp",
     "!hasRefused_ || wasRetracted_", "!hasRefused_"),
    ("a refused worker whose lease expires has crashed", "request/worker_supervisor.cpp",
     "if (crashEvidence_.hasRefused()) {", "if (false) {"),
    ("only confirmed runs are under a crash", "request/worker_supervisor.cpp",
     "        if (run.isConfirmed || run.unansweredAt) {", "        if (true) {"),
    ("a leaving worker does not crash", "request/worker_supervisor.cpp",
     "if (!crashEvidence_.isNews(status) || worker_->leaving) {", "if (!crashEvidence_.isNews(status)) {"),
    ("other queues keep off isolated workers", "request/queue_isolation.h",
     "return isIsolated(queue) == positions_.contains(agent);", "return !isIsolated(queue) || positions_.contains(agent);"),
    ("suspects are probed", "request/crash_containment.cpp",
     "    return isIsolated(route) && (counts.likelyCaused > 0 || counts.all + 1 >= MaxCrashes);",
     "    return counts.all < 0;"),
    ("lost runs, not orders, are counted", "request/work_scheduler.cpp",
     "if (++task.lostRuns >= MaxLostRuns) {", "if (task.attempt >= MaxLostRuns) {"),
    ("age of an order", "request/work_agent.cpp",
     "if (ageUs > std::chrono::duration_cast<Microseconds>(options_.entryTimeout).count()) {", "if (false) {"),
    ("starts that broke off are under a crash", "request/worker_supervisor.cpp",
     "        if (run.isConfirmed || run.unansweredAt) {", "        if (run.isConfirmed) {"),
    ("a crash is dated by the first unanswered call", "request/crash_evidence.h",
     "unansweredSince_.value_or(now);", "now;"),
    ("only jobs that started last cause a crash", "request/crash_tracker.cpp",
     "lastStartedJobs.contains(run.jobId) && run.ageMs", "run.ageMs"),
    ("runs that have run for long cause no crash", "request/crash_tracker.cpp",
     "lastStartedJobs.contains(run.jobId) && run.ageMs <= MaxTimeToCrash.count();",
     "lastStartedJobs.contains(run.jobId);"),
    ("crashes at the same time have no likely cause", "request/crash_tracker.cpp",
     " && crash.simultaneous == 0", ""),
    ("runs of an earlier submission", "request/work_scheduler.cpp",
     "if (found == jobs_.end() || found->second.submission != run.submission) {", "if (found == jobs_.end()) {"),
    ("no rejection once a task may have run", "request/work_scheduler.cpp",
     "return mayHaveRun ? ResponseStatus::Interrupted", "return mayHaveRun ? ResponseStatus::Rejected"),
    ("a stopping entry joins a job that it runs", "request/work_entry.cpp",
     "drainingSince_ && !scheduler_.hasJob(jobId) && ", "drainingSince_ && "),
    ("another process is believed on evidence only", "request/worker_supervisor_identity.cpp",
     "        handleCandidate(announcement, now);\n", "        handleReplacement(now);\n        adoptWorker(announcement, now);\n"),
    ("a silent worker is replaced only after a lease", "request/worker_supervisor_identity.cpp",
     "now - candidate_->since() > timing_.leaseDuration", "true"),
    ("answers from before an announcement don't refute it", "request/successor_candidate.cpp",
     "if (reply.callId <= lastCallId_) {", "if (reply.callId < 0) {"),
    ("a leaving worker keeps its runs", "request/worker_supervisor_identity.cpp",
     "    if (runs_.empty()) {\n", "    dropAllRuns(\"worker_left\", lastReplyAt_);\n    if (runs_.empty()) {\n"),
    ("an incomplete listing ends no run", "request/worker_supervisor.cpp",
     "        if (!listing.isComplete) {", "        if (false) {"),
    ("an announced clock is bounded", "request/worker_lease.cpp",
     "std::min(clockMs, *clockMs_ + elapsed + elapsed * ClockDriftPerMille / 1000)",
     "clockMs + 0 * elapsed * ClockDriftPerMille"),
    ("an odd sequence number hides nothing", "request/worker_supervisor_identity.cpp",
     " && announcement.clockMs <= worker_->clockMs) {", ") {"),
]


# Shrinking a failing plan is slow, and only the first failure is needed.
ENVIRONMENT = dict(os.environ, RC_PARAMS="seed=20261203 max_success=100 noshrink=1")


def run(command, cwd):
    return subprocess.run(command, cwd=cwd, env=ENVIRONMENT, stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True, check=False)


def run_tests(copy):
    """Returns the first violation that a test program reports, or "not seen"."""
    for program in ("decision_tests", "promise_tests"):
        exclusions = run(["scripts/known_red.sh", "--exclusions", program], copy).stdout.splitlines()
        result = run(["scripts/run_catch.sh", f"build/release/tests/{program}", *exclusions], copy)
        if result.returncode == 0:
            continue
        lines = [line.strip() for line in result.stdout.splitlines()
                 if any(word in line for word in ("start ", "answer", "version decreased", "job failed", "CHECK("))]
        return f"red in {program}: {lines[0] if lines else 'crash'}"
    return "not seen"


def main():
    root = pathlib.Path(__file__).resolve().parent.parent
    selected = sys.argv[1:]
    unusable = 0
    with tempfile.TemporaryDirectory() as scratch:
        copy = pathlib.Path(scratch) / "copy"
        shutil.copytree(root, copy, ignore=shutil.ignore_patterns("build", ".git"))
        run(["cmake", "--preset", "release"], copy)
        for name, file, guard, replacement in GUARDS:
            if selected and name not in selected:
                continue
            path = copy / file
            text = path.read_text()
            if guard not in text:
                print(f"{name}: guard text not found in {file}; update GUARDS", flush=True)
                unusable += 1
                continue
            path.write_text(text.replace(guard, replacement, 1))
            build = run(["cmake", "--build", "build/release", "--target", "promise_tests", "decision_tests", "-j4"], copy)
            if build.returncode != 0:
                print(f"{name}: does not build\n{build.stdout[-1500:]}", flush=True)
                unusable += 1
            else:
                print(f"{name}: {run_tests(copy)}", flush=True)
            path.write_text(text)
    return 1 if unusable else 0


if __name__ == "__main__":
    sys.exit(main())
