#include "request/unknown_runs.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace marjoramferry {

void UnknownRuns::record(std::vector<RunKey> listed, bool isComplete, MonotonicTime sentAt, MonotonicTime now)
{
    std::ranges::sort(listed);
    const bool isNewer = sentAt >= listedAt_;
    if (!listed.empty()) {
        listedAt_ = now;
    }
    if (isNewer && isComplete) {
        keys_ = std::move(listed);
        return;
    }
    std::vector<RunKey> both;
    std::ranges::set_union(keys_, listed, std::back_inserter(both));
    keys_ = std::move(both);
}

void UnknownRuns::clear()
{
    keys_.clear();
}

bool UnknownRuns::hasRunOfTask(const RunKey &key) const
{
    return std::ranges::any_of(keys_, [&](const RunKey &each) { return each.isSameTask(key); });
}

} // namespace marjoramferry
