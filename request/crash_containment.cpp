#include "request/crash_containment.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include <algorithm>

namespace marjoramferry {

namespace {

/** A job fails once a task of it is the likely cause of so many crashes of workers. */
constexpr int MaxLikelyCaused = 2;
/** A task is not started again after so many crashes of workers on which it was running. */
constexpr int MaxCrashes = 3;
/** A task that may have crashed a worker is not started again before its queue has been quiet for this long. */
constexpr Milliseconds ProbeDelay{1000};

CrashVerdict verdictOn(const CrashCounts &counts)
{
    if (counts.likelyCaused >= MaxLikelyCaused) {
        return CrashVerdict::LikelyCause;
    }
    return counts.detected >= MaxCrashes ? CrashVerdict::CauseUnclear : CrashVerdict::MayStart;
}

} // namespace

CrashContainment::CrashContainment(const WorkerDirectory &directory)
    : directory_(directory)
{
}

void CrashContainment::recordJob(const wire::Route &route, double work, Milliseconds runTime, MonotonicTime now)
{
    QueueIsolation &isolation = isolations_.try_emplace(route.serviceName, route.serviceName).first->second;
    isolation.recordJob(route.name, work, runTime, now);
}

void CrashContainment::recordStart(const wire::Route &route, MonotonicTime now)
{
    const QueueIsolation *isolation = isolationOf(route.serviceName);
    if (isolation != nullptr && isolation->usesGroup(route.name)) {
        isolations_.at(route.serviceName).recordStartedJob(now);
    }
}

bool CrashContainment::recordCrash(const std::string &agent,
                                   const wire::WorkerCrash &crash,
                                   const std::function<bool(const std::string &jobId)> &isOwnJob,
                                   MonotonicTime now)
{
    const bool isKnown = crashes_.contains(crash);
    if (!crashes_.record(crash, now)) {
        return false;
    }
    const auto isGivenUp = [&](const wire::CrashedRun &run) {
        return verdictOnTask(run.jobId, run.stepIndex, run.taskIndex) != CrashVerdict::MayStart;
    };
    out_.log(LogEvent::Level::Warning,
             "worker_crash_recorded",
             {{"agent", agent},
              {"worker", crash.worker},
              {"status", wire::_CrashStatus_VALUES_TO_NAMES.at(crash.status)},
              {"ago_ms", absl::StrCat(crash.agoMs)},
              {"runs", absl::StrCat(crash.runs.size())},
              {"given_up_tasks", absl::StrCat(std::ranges::count_if(crash.runs, isGivenUp))}});
    const auto view = directory_.views().find(agent);
    if (view != directory_.views().end() && !isKnown) {
        const std::string &service = view->second.state.serviceName;
        isolations_.try_emplace(service, service).first->second.recordCrash(agent, crash, isOwnJob, now);
    }
    return true;
}

void CrashContainment::update(const OperatorStateCache &operatorState, MonotonicTime now)
{
    for (auto &[service, isolation] : isolations_) {
        if (isolation.update(directory_, operatorState, now)) {
            logIsolatedQueues(service, isolation, now);
        }
    }
}

void CrashContainment::logIsolatedQueues(const std::string &service, const QueueIsolation &isolation, MonotonicTime now)
{
    const auto nameAndScore = [&](std::string *text, const std::string &queue) {
        absl::StrAppend(text, queue, ":", isolation.score(queue, now));
    };
    out_.log(LogEvent::Level::Warning,
             "isolated_queues_changed",
             {{"service", service},
              {"queues", absl::StrJoin(isolation.isolatedQueues(), ",", nameAndScore)},
              {"warned", absl::StrJoin(isolation.warnedQueues(), ",")},
              {"agents", absl::StrJoin(isolation.group(), ",")},
              {"known_agents", absl::StrCat(directory_.views().size())}});
}

CrashVerdict CrashContainment::verdictOnTask(const std::string &jobId, int step, int task) const
{
    return verdictOn(countsOf(jobId, step, task));
}

CrashVerdict CrashContainment::verdictOnJob(const std::string &jobId) const
{
    return verdictOn(crashes_.highestCountsOf(jobId));
}

CrashCounts CrashContainment::countsOf(const std::string &jobId, int step, int task) const
{
    return crashes_.countsOf(jobId, step, task);
}

bool CrashContainment::hasCrashedUnder(const std::string &jobId) const
{
    return crashes_.highestCountsOf(jobId).all > 0;
}

const QueueIsolation *CrashContainment::isolationOf(const std::string &service) const
{
    const auto found = isolations_.find(service);
    return found == isolations_.end() ? nullptr : &found->second;
}

bool CrashContainment::isIsolated(const wire::Route &route) const
{
    const QueueIsolation *isolation = isolationOf(route.serviceName);
    return isolation != nullptr && isolation->isIsolated(route.name);
}

bool CrashContainment::isUsable(const std::string &agent, MonotonicTime now) const
{
    const auto found = directory_.views().find(agent);
    return found != directory_.views().end() && directory_.isUsable(found->second, now);
}

// How long a crashed worker is down is not known. While the group crashes, it is left to jobs that can be in time.
bool CrashContainment::isWithoutHope(const wire::Route &route, MonotonicTime latestStartAt, MonotonicTime now) const
{
    if (!isIsolated(route)) {
        return false;
    }
    const QueueIsolation &isolation = isolations_.at(route.serviceName);
    const bool isTooLate = isolation.isCautious(now) && now > latestStartAt;
    return isTooLate
        || std::ranges::none_of(isolation.group(), [&](const auto &agent) { return isUsable(agent, now); });
}

bool CrashContainment::needsProbe(const wire::Route &route, const std::string &jobId, int step, int task) const
{
    const CrashCounts counts = countsOf(jobId, step, task);
    return isIsolated(route) && (counts.likelyCaused > 0 || counts.all + 1 >= MaxCrashes);
}

/** The worker that other tasks use last, unless it is the only one that is up. */
std::string CrashContainment::findProbeAgent(const wire::Route &route, MonotonicTime now) const
{
    const QueueIsolation &isolation = isolations_.at(route.serviceName);
    if (activeProbes_ > 0 || now - isolation.lastCrashAt() < ProbeDelay) {
        return "";
    }
    std::vector<std::string> usable;
    std::ranges::copy_if(
        isolation.group(), std::back_inserter(usable), [&](const auto &agent) { return isUsable(agent, now); });
    return usable.size() < 2 ? "" : usable.back();
}

} // namespace marjoramferry
