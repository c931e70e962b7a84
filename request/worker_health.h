#pragma once

#include "core/time.h"

#include <map>
#include <string>

namespace marjoramferry {

/** Whether tasks may be sent to a worker. */
enum class HealthStatus {
    Healthy,
    Probing, ///< Accepts one task at a time, as a probe for recovery.
    Ejected,
};

/**
 * Detects outliers: workers that fail, stall or slow down their tasks although they report themselves healthy.
 *
 * Decides by the outcomes of the tasks on a worker. Several consecutive failures, or an overdue task, eject the
 * worker for a limited time. After that it receives one probe task at a time, and the first success makes it
 * healthy again.
 */
class WorkerHealth
{
public:
    void recordSuccess(const std::string &worker, MonotonicTime now);
    void recordFailure(const std::string &worker, MonotonicTime now);

    /**
     * Ejects the worker for a task dispatched at @p dispatchedAt that runs far longer than expected. Has no effect if
     * the worker has completed a task since, because then the task itself is likely long.
     */
    void recordOverdue(const std::string &worker, MonotonicTime dispatchedAt, MonotonicTime now);

    /** Whether a task succeeded on the worker after @p since. */
    bool hasSucceededSince(const std::string &worker, MonotonicTime since) const;
    void recordProbe(const std::string &worker, MonotonicTime now);
    HealthStatus status(const std::string &worker, MonotonicTime now) const;

    void removeWorker(const std::string &worker);

private:
    struct Record
    {
        int consecutiveFailures = 0;
        int ejections = 0; ///< Since the last success.
        bool isEjected = false;
        MonotonicTime lastSuccessAt;
        MonotonicTime ejectedUntil;
        MonotonicTime lastProbeAt;
    };

    void eject(Record &record, MonotonicTime now);

    std::map<std::string, Record> records_;
};

} // namespace marjoramferry
