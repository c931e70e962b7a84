#include "request/crash_log.h"

#include <algorithm>

namespace marjoramferry {

namespace {

constexpr size_t MaxCrashes = 32;

wire::WorkerCrash toWire(const WorkerCrash &crash, MonotonicTime now)
{
    wire::WorkerCrash report;
    report.worker = crash.worker.id;
    report.bornMs = crash.worker.startTimeMs;
    report.agoMs = millisecondsBetween(crash.at, now);
    report.status = crash.status;
    std::ranges::transform(crash.runs, std::back_inserter(report.runs), [](const CrashedRun &run) {
        wire::CrashedRun result;
        result.jobId = run.key.jobId;
        result.stepIndex = run.key.step;
        result.taskIndex = run.key.task;
        result.queue = run.queue;
        result.ageMs = run.ageMs;
        return result;
    });
    return report;
}

} // namespace

void CrashLog::add(WorkerCrash crash, MonotonicTime now)
{
    std::erase_if(crashes_, [&](const auto &each) { return each.second.worker == crash.worker; });
    crashes_.emplace_back(++lastNumber_, std::move(crash));
    while (crashes_.size() > MaxCrashes || now - crashes_.front().second.at > CrashRetentionTime) {
        crashes_.pop_front();
    }
}

std::vector<wire::WorkerCrash> CrashLog::reportsAfter(int64_t number, MonotonicTime now) const
{
    std::vector<wire::WorkerCrash> reports;
    for (const auto &[each, crash] : crashes_) {
        if (each > number && now - crash.at <= CrashRetentionTime) {
            reports.push_back(toWire(crash, now));
        }
    }
    return reports;
}

} // namespace marjoramferry
