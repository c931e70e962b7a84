#include "request/worker_health.h"

#include <algorithm>

namespace marjoramferry {

namespace {

/** Tasks rarely fail for reasons of their own, so this many consecutive failures indicate a faulty worker. */
constexpr int EjectionThreshold = 3;
/** The ejection time doubles with each failed probe, from the initial to the maximum value. */
constexpr Milliseconds InitialEjectionTime{800};
constexpr Milliseconds MaxEjectionTime{3200};
/** Another probe is sent if the last one has not ended after this time. */
constexpr Milliseconds ProbeTimeout{2000};

} // namespace

void WorkerHealth::recordSuccess(const std::string &worker, MonotonicTime now)
{
    Record &record = records_[worker] = Record();
    record.lastSuccessAt = now;
}

void WorkerHealth::recordFailure(const std::string &worker, MonotonicTime now)
{
    Record &record = records_[worker];
    ++record.consecutiveFailures;
    if (record.isEjected || record.consecutiveFailures >= EjectionThreshold) {
        eject(record, now);
    }
}

void WorkerHealth::recordOverdue(const std::string &worker, MonotonicTime dispatchedAt, MonotonicTime now)
{
    if (!hasSucceededSince(worker, dispatchedAt)) {
        eject(records_[worker], now);
    }
}

bool WorkerHealth::hasSucceededSince(const std::string &worker, MonotonicTime since) const
{
    const auto found = records_.find(worker);
    return found != records_.end() && found->second.lastSuccessAt > since;
}

void WorkerHealth::eject(Record &record, MonotonicTime now)
{
    if (record.isEjected && now < record.ejectedUntil) {
        return;
    }
    record.isEjected = true;
    record.ejectedUntil = now + std::min(InitialEjectionTime * (1 << std::min(record.ejections, 4)), MaxEjectionTime);
    ++record.ejections;
    record.lastProbeAt = MonotonicTime();
}

void WorkerHealth::recordProbe(const std::string &worker, MonotonicTime now)
{
    const auto found = records_.find(worker);
    if (found != records_.end()) {
        found->second.lastProbeAt = now;
    }
}

HealthStatus WorkerHealth::status(const std::string &worker, MonotonicTime now) const
{
    const auto found = records_.find(worker);
    if (found == records_.end() || !found->second.isEjected) {
        return HealthStatus::Healthy;
    }
    const Record &record = found->second;
    if (now < record.ejectedUntil || now - record.lastProbeAt < ProbeTimeout) {
        return HealthStatus::Ejected;
    }
    return HealthStatus::Probing;
}

void WorkerHealth::removeWorker(const std::string &worker)
{
    records_.erase(worker);
}

} // namespace marjoramferry
