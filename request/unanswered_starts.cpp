#include "request/unanswered_starts.h"

namespace marjoramferry {

UnansweredStarts::UnansweredStarts(Milliseconds executionTime)
    : executionTime_(executionTime)
{
}

void UnansweredStarts::add(const RunKey &key, MonotonicTime now)
{
    expiries_[key] = now + executionTime_;
}

void UnansweredStarts::removeExpired(MonotonicTime now)
{
    std::erase_if(expiries_, [&](const auto &each) { return each.second < now; });
}

bool UnansweredStarts::hasStartOfTask(const RunKey &key) const
{
    const auto from = expiries_.lower_bound(RunKey{key.jobId, key.step, key.task, 0});
    return from != expiries_.end() && from->first.isSameTask(key);
}

} // namespace marjoramferry
