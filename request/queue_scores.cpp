#include "request/queue_scores.h"

#include <algorithm>

namespace marjoramferry {

QueueScores::QueueScores(const QueueScoreLimits &limits)
    : limits_(limits)
{
}

double QueueScores::at(const std::string &queue, MonotonicTime now) const
{
    const auto found = scores_.find(queue);
    return found == scores_.end() ? 0 : found->second.at(now);
}

void QueueScores::set(const std::string &queue, double score, MonotonicTime at)
{
    scores_.try_emplace(queue, limits_.halfLife).first->second.set(std::clamp(score, limits_.min, limits_.max), at);
}

void QueueScores::markHighest(size_t knownQueues, MonotonicTime now)
{
    std::string highest;
    for (const auto &[queue, score] : scores_) {
        if (!marked_.contains(queue) && score.at(now) >= limits_.addedFrom
            && (highest.empty() || score.at(now) > at(highest, now))) {
            highest = queue;
        }
    }
    if (!highest.empty() && marked_.size() + 1 < knownQueues) {
        marked_.insert(highest);
    }
}

void QueueScores::update(MonotonicTime now)
{
    std::erase_if(marked_, [&](const std::string &queue) { return at(queue, now) < limits_.removedBelow; });
}

} // namespace marjoramferry
