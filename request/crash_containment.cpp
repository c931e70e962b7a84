#include "request/crash_containment.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include <algorithm>

namespace marjoramferry {

namespace {

/** A task is given up, and its job fails, once so many workers crashed while they ran it. */
constexpr int MaxCrashes = 2;
/** A task that may have crashed a worker is not started again before its queue has been quiet for this long. */
constexpr Milliseconds ProbeDelay{1000};

} // namespace

CrashContainment::CrashContainment(const WorkerDirectory &directory)
    : directory_(directory)
{
}

void CrashContainment::recordJob(const wire::Route &route, double work, MonotonicTime now)
{
    isolations_.try_emplace(route.serviceName, route.serviceName).first->second.recordJob(route.name, work, now);
}

void CrashContainment::recordStart(const wire::Route &route, MonotonicTime now)
{
    if (isIsolated(route)) {
        isolations_.at(route.serviceName).recordStartedJob(now);
    }
}

bool CrashContainment::recordCrash(const std::string &agent,
                                   const wire::WorkerCrash &crash,
                                   const std::function<bool(const std::string &jobId)> &isOwnJob,
                                   MonotonicTime now)
{
    if (!crashes_.record(crash, now)) {
        return false;
    }
    const auto isRepeated
        = [&](const wire::CrashedRun &run) { return isGivenUp(run.jobId, run.stepIndex, run.taskIndex); };
    out_.log(LogEvent::Level::Warning,
             "worker_crash_recorded",
             {{"agent", agent},
              {"worker", crash.worker},
              {"ago_ms", absl::StrCat(crash.agoMs)},
              {"runs", absl::StrCat(crash.runs.size())},
              {"repeated_tasks", absl::StrCat(std::ranges::count_if(crash.runs, isRepeated))}});
    const auto view = directory_.views().find(agent);
    if (view != directory_.views().end()) {
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
              {"agents", absl::StrJoin(isolation.group(), ",")},
              {"known_agents", absl::StrCat(directory_.views().size())}});
}

bool CrashContainment::isGivenUp(const std::string &jobId, int step, int task) const
{
    return crashes_.countCrashes(jobId, step, task) >= MaxCrashes;
}

bool CrashContainment::hasTaskGivenUp(const std::string &jobId) const
{
    return crashes_.mostCrashes(jobId) >= MaxCrashes;
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
    return isIsolated(route) && crashes_.countCrashes(jobId, step, task) > 0;
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
