#pragma once

#include "core/time.h"
#include "request/decaying_count.h"

#include <cstddef>
#include <map>
#include <set>
#include <string>

namespace marjoramferry {

struct QueueScoreLimits
{
    Milliseconds halfLife{0};
    double addedFrom = 0; ///< A queue is marked from this score on.
    double removedBelow = 0;
    double min = 0;
    double max = 0;
};

/** Decaying scores of queues. Marks those whose score has passed a threshold, until it falls below another. */
class QueueScores
{
public:
    explicit QueueScores(const QueueScoreLimits &limits);

    /** 0 for a queue without a score. */
    double at(const std::string &queue, MonotonicTime now) const;

    void set(const std::string &queue, double score, MonotonicTime at);

    const std::set<std::string> &marked() const
    {
        return marked_;
    }

    /** Marks the queue with the highest score, unless none of @p knownQueues would be left unmarked. */
    void markHighest(size_t knownQueues, MonotonicTime now);

    /** Removes the marks of queues whose score has decayed. */
    void update(MonotonicTime now);

private:
    const QueueScoreLimits limits_;
    std::map<std::string, DecayingCount> scores_;
    std::set<std::string> marked_;
};

} // namespace marjoramferry
