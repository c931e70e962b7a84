#include "request/crash_tracker.h"

#include "request/crash_log.h"

#include <algorithm>

namespace marjoramferry {

namespace {

constexpr size_t MaxCrashes = 4096;
/** A task that crashes its worker is taken to do so within this time of its start. */
constexpr Milliseconds MaxTimeToCrash{100};

/** Workers that crash within this time of each other are taken to have a common cause, which is no task. */
constexpr Milliseconds SimultaneousTime{20};

bool isSimultaneous(MonotonicTime first, MonotonicTime second)
{
    return first - second <= SimultaneousTime && second - first <= SimultaneousTime;
}

/** The jobs that started last on the worker. */
std::set<std::string> findLastStartedJobs(const wire::WorkerCrash &crash)
{
    std::set<std::string> jobs;
    if (crash.runs.empty()) {
        return jobs;
    }
    const int youngestMs = std::ranges::min_element(crash.runs, {}, &wire::CrashedRun::ageMs)->ageMs;
    for (const wire::CrashedRun &run : crash.runs) {
        if (run.ageMs == youngestMs) {
            jobs.insert(run.jobId);
        }
    }
    return jobs;
}

} // namespace

bool CrashTracker::record(const wire::WorkerCrash &crash, MonotonicTime now)
{
    while (!crashes_.empty() && (crashes_.size() >= MaxCrashes || now - crashes_.front().at > CrashRetentionTime)) {
        forgetOldest();
    }
    const bool isRetracted = crash.status == wire::CrashStatus::RETRACTED;
    Crash reported = makeCrash(crash, now);
    if (contains(crash)) {
        const auto known = std::ranges::find(crashes_, reported.process, &Crash::process);
        const bool isRepeated = known->tasks == reported.tasks && known->isDetected == reported.isDetected;
        if (!isRetracted && (isRepeated || (known->isDetected && !reported.isDetected))) {
            return false;
        }
        remove(reported.process);
    } else if (isRetracted) {
        return false;
    }
    if (!isRetracted) {
        add(std::move(reported));
    }
    return true;
}

bool CrashTracker::contains(const wire::WorkerCrash &crash) const
{
    return known_.contains({crash.worker, crash.bornMs});
}

CrashTracker::Crash CrashTracker::makeCrash(const wire::WorkerCrash &report, MonotonicTime now)
{
    const bool isDetected = report.status == wire::CrashStatus::DETECTED;
    Crash crash{{report.worker, report.bornMs}, now - Milliseconds(report.agoMs), isDetected, {}};
    const std::set<std::string> lastStartedJobs = findLastStartedJobs(report);
    std::ranges::transform(report.runs, std::back_inserter(crash.tasks), [&](const wire::CrashedRun &run) {
        const bool mayBeCause = lastStartedJobs.contains(run.jobId) && run.ageMs <= MaxTimeToCrash.count();
        return AffectedTask{RunKey{run.jobId, run.stepIndex, run.taskIndex, 0}, run.ageMs, mayBeCause};
    });
    return crash;
}

void CrashTracker::add(Crash crash)
{
    addToSimultaneous(crash, 1);
    crash.simultaneous = static_cast<int>(
        std::ranges::count_if(crashes_, [&](const Crash &other) { return isSimultaneous(other.at, crash.at); }));
    addToCounts(crash, 1);
    known_.insert(crash.process);
    crashes_.push_back(std::move(crash));
}

void CrashTracker::remove(const Process &process)
{
    const auto found = std::ranges::find(crashes_, process, &Crash::process);
    const Crash removed = std::move(*found);
    crashes_.erase(found);
    known_.erase(removed.process);
    addToCounts(removed, -1);
    addToSimultaneous(removed, -1);
}

CrashCounts CrashTracker::countsOf(const std::string &jobId, int step, int task) const
{
    const auto found = counts_.find(RunKey{jobId, step, task, 0});
    return found == counts_.end() ? CrashCounts() : found->second;
}

CrashCounts CrashTracker::highestCountsOf(const std::string &jobId) const
{
    CrashCounts highest;
    for (auto each = counts_.lower_bound(RunKey{jobId, 0, 0, 0}); each != counts_.end() && each->first.jobId == jobId;
         ++each) {
        highest.all = std::max(highest.all, each->second.all);
        highest.detected = std::max(highest.detected, each->second.detected);
        highest.likelyCaused = std::max(highest.likelyCaused, each->second.likelyCaused);
    }
    return highest;
}

/** Changes the number of simultaneous crashes of those at the time of this one. */
void CrashTracker::addToSimultaneous(const Crash &crash, int change)
{
    for (Crash &other : crashes_) {
        if (isSimultaneous(other.at, crash.at)) {
            addToCounts(other, -1);
            other.simultaneous += change;
            addToCounts(other, 1);
        }
    }
}

void CrashTracker::addToCounts(const Crash &crash, int change)
{
    for (const AffectedTask &affected : crash.tasks) {
        CrashCounts &counts = counts_[affected.task];
        counts.all += change;
        counts.detected += crash.isDetected ? change : 0;
        counts.likelyCaused += crash.isDetected && affected.mayBeCause && crash.simultaneous == 0 ? change : 0;
        if (counts.all == 0) {
            counts_.erase(affected.task);
        }
    }
}

/** Crashes at the time of a forgotten one keep it as simultaneous: their causes don't become likely by its age. */
void CrashTracker::forgetOldest()
{
    addToCounts(crashes_.front(), -1);
    known_.erase(crashes_.front().process);
    crashes_.pop_front();
}

} // namespace marjoramferry
