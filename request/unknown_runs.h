#pragma once

#include "core/time.h"
#include "request/worker_protocol.h"

#include <vector>

namespace marjoramferry {

/** The runs that the worker has listed and its agent has not started, until a listing shows that they are gone. */
class UnknownRuns
{
public:
    /**
     * Records the unknown runs of a listing that answers a call sent at @p sentAt. Answers overtake each other, so runs
     * are gone only by the listing of a call that was sent after they were listed.
     */
    void record(std::vector<RunKey> listed, bool isComplete, MonotonicTime sentAt, MonotonicTime now);

    /** Forgets them: none can be left on the worker. */
    void clear();

    bool isEmpty() const
    {
        return keys_.empty();
    }

    bool hasRunOfTask(const RunKey &key) const;

    /** When they were last listed. A call sent since shows what has become of them. */
    MonotonicTime listedAt() const
    {
        return listedAt_;
    }

private:
    std::vector<RunKey> keys_; ///< Sorted.
    MonotonicTime listedAt_;
};

} // namespace marjoramferry
