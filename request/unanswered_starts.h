#pragma once

#include "core/time.h"
#include "request/worker_protocol.h"

#include <map>

namespace marjoramferry {

/**
 * Starts that the worker has not answered, for as long as they may still be executed. A fence settles them for the
 * process that has accepted it; the next process under the worker's ID knows no fence, and can execute them.
 */
class UnansweredStarts
{
public:
    /** @p executionTime is the longest time after which a call without an answer may be executed. */
    explicit UnansweredStarts(Milliseconds executionTime);

    void add(const RunKey &key, MonotonicTime now);

    /** Forgets the starts that can no longer be executed. */
    void removeExpired(MonotonicTime now);

    bool isEmpty() const
    {
        return expiries_.empty();
    }

    bool hasStartOfTask(const RunKey &key) const;

private:
    const Milliseconds executionTime_;
    std::map<RunKey, MonotonicTime> expiries_;
};

} // namespace marjoramferry
