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
    const Process process{crash.worker, crash.bornMs};
    if (!known_.insert(process).second) {
        return false;
    }
    Crash recorded{process, now - Milliseconds(crash.agoMs), {}};
    const bool isSimultaneous = clearSimultaneousCauses(recorded.at);
    const std::set<std::string> lastStartedJobs = isSimultaneous ? std::set<std::string>() : findLastStartedJobs(crash);
    std::ranges::transform(crash.runs, std::back_inserter(recorded.tasks), [&](const wire::CrashedRun &run) {
        const bool isLikelyCause = lastStartedJobs.contains(run.jobId) && run.ageMs <= MaxTimeToCrash.count();
        return AffectedTask{RunKey{run.jobId, run.stepIndex, run.taskIndex, 0}, isLikelyCause};
    });
    std::ranges::for_each(recorded.tasks, [this](const AffectedTask &affected) { addToCounts(affected, 1); });
    crashes_.push_back(std::move(recorded));
    return true;
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
        highest.likelyCaused = std::max(highest.likelyCaused, each->second.likelyCaused);
    }
    return highest;
}

/** Clears the likely causes of the crashes at this time; returns whether there were any such crashes. */
bool CrashTracker::clearSimultaneousCauses(MonotonicTime at)
{
    bool isAny = false;
    for (Crash &crash : crashes_) {
        if (crash.at - at > SimultaneousTime || at - crash.at > SimultaneousTime) {
            continue;
        }
        isAny = true;
        for (AffectedTask &affected : crash.tasks) {
            counts_.at(affected.task).likelyCaused -= affected.isLikelyCause ? 1 : 0;
            affected.isLikelyCause = false;
        }
    }
    return isAny;
}

void CrashTracker::addToCounts(const AffectedTask &affected, int change)
{
    CrashCounts &counts = counts_[affected.task];
    counts.all += change;
    counts.likelyCaused += affected.isLikelyCause ? change : 0;
    if (counts.all == 0) {
        counts_.erase(affected.task);
    }
}

void CrashTracker::forgetOldest()
{
    std::ranges::for_each(crashes_.front().tasks, [this](const AffectedTask &affected) { addToCounts(affected, -1); });
    known_.erase(crashes_.front().process);
    crashes_.pop_front();
}

} // namespace marjoramferry
