#pragma once

#include "core/time.h"

#include <map>
#include <string>

namespace marjoramferry {

/** Whether tasks may be sent to a worker. */
enum class Trust {
    Full,
    Probe, ///< One task at a time, to see whether it recovered.
    None,
};

/**
 * Tells workers that fail, stall or slow down what they start, though they say that they are well.
 *
 * The worker's own outcomes decide: several failures or overdue tasks in a row put it on probation.
 * After a pause it gets one task at a time, and full trust again with the first that ends well.
 */
class WorkerHealth
{
public:
    void noteSuccess(const std::string &worker, MonotonicTime now);
    void noteFailure(const std::string &worker, MonotonicTime now);

    /**
     * A task that was sent at @p sentAt runs far longer than expected. That speaks against the worker
     * only if it has ended nothing since; otherwise the task is long.
     */
    void noteOverdue(const std::string &worker, MonotonicTime sentAt, MonotonicTime now);
    /** Whether a task ended well there after @p since. */
    bool hasSucceededSince(const std::string &worker, MonotonicTime since) const;
    void noteProbe(const std::string &worker, MonotonicTime now);
    Trust trust(const std::string &worker, MonotonicTime now) const;

    /** Forgets a worker that has gone. */
    void forget(const std::string &worker);

private:
    struct Record
    {
        int failuresInRow = 0;
        int ejections = 0; ///< Without a success between.
        bool isEjected = false;
        MonotonicTime succeededAt;
        MonotonicTime until;
        MonotonicTime probedAt;
    };

    void eject(Record &record, MonotonicTime now);

    std::map<std::string, Record> records_;
};

} // namespace marjoramferry
