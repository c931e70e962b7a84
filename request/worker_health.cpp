#include "request/worker_health.h"

#include <algorithm>

namespace marjoramferry {

namespace {

/** A queue's own failures are rare, so this many in a row point at the worker. */
constexpr int FailuresToEject = 3;
/** The first probation; it doubles with each failed probe up to the longest. */
constexpr Milliseconds FirstProbation{800};
constexpr Milliseconds LongestProbation{3200};
/** A probe that has not ended after this is given up and another one sent. */
constexpr Milliseconds ProbeLapse{2000};

} // namespace

void WorkerHealth::noteSuccess(const std::string &worker, MonotonicTime now)
{
    Record &record = records_[worker] = Record();
    record.succeededAt = now;
}

void WorkerHealth::noteFailure(const std::string &worker, MonotonicTime now)
{
    Record &record = records_[worker];
    ++record.failuresInRow;
    if (record.isEjected || record.failuresInRow >= FailuresToEject) {
        eject(record, now);
    }
}

void WorkerHealth::noteOverdue(const std::string &worker, MonotonicTime sentAt, MonotonicTime now)
{
    if (!hasSucceededSince(worker, sentAt)) {
        eject(records_[worker], now);
    }
}

bool WorkerHealth::hasSucceededSince(const std::string &worker, MonotonicTime since) const
{
    const auto found = records_.find(worker);
    return found != records_.end() && found->second.succeededAt > since;
}

void WorkerHealth::eject(Record &record, MonotonicTime now)
{
    if (record.isEjected && now < record.until) {
        return;
    }
    record.isEjected = true;
    record.until = now + std::min(FirstProbation * (1 << std::min(record.ejections, 4)), LongestProbation);
    ++record.ejections;
    record.probedAt = MonotonicTime();
}

void WorkerHealth::noteProbe(const std::string &worker, MonotonicTime now)
{
    const auto found = records_.find(worker);
    if (found != records_.end()) {
        found->second.probedAt = now;
    }
}

Trust WorkerHealth::trust(const std::string &worker, MonotonicTime now) const
{
    const auto found = records_.find(worker);
    if (found == records_.end() || !found->second.isEjected) {
        return Trust::Full;
    }
    const Record &record = found->second;
    if (now < record.until || now - record.probedAt < ProbeLapse) {
        return Trust::None;
    }
    return Trust::Probe;
}

void WorkerHealth::forget(const std::string &worker)
{
    records_.erase(worker);
}

} // namespace marjoramferry
