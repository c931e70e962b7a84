#include "request/crash_tracker.h"

#include "request/crash_log.h"

#include <algorithm>

namespace marjoramferry {

namespace {

constexpr size_t MaxCrashes = 4096;

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
    std::ranges::transform(crash.runs, std::back_inserter(recorded.tasks), [](const wire::CrashedRun &run) {
        return RunKey{run.jobId, run.stepIndex, run.taskIndex, 0};
    });
    std::ranges::for_each(recorded.tasks, [this](const RunKey &task) { ++counts_[task]; });
    crashes_.push_back(std::move(recorded));
    return true;
}

int CrashTracker::countCrashes(const std::string &jobId, int step, int task) const
{
    const auto found = counts_.find(RunKey{jobId, step, task, 0});
    return found == counts_.end() ? 0 : found->second;
}

int CrashTracker::mostCrashes(const std::string &jobId) const
{
    int most = 0;
    for (auto each = counts_.lower_bound(RunKey{jobId, 0, 0, 0}); each != counts_.end() && each->first.jobId == jobId;
         ++each) {
        most = std::max(most, each->second);
    }
    return most;
}

void CrashTracker::forgetOldest()
{
    for (const RunKey &task : crashes_.front().tasks) {
        const auto found = counts_.find(task);
        if (--found->second == 0) {
            counts_.erase(found);
        }
    }
    known_.erase(crashes_.front().process);
    crashes_.pop_front();
}

} // namespace marjoramferry
