#pragma once

#include "core/time.h"

#include <deque>
#include <string>
#include <unordered_set>
#include <utility>

namespace marjoramferry {

/** Remembers for a while which jobs have ended here after a task of theirs had been ordered. */
class StartedJobs
{
public:
    void add(const std::string &jobId, MonotonicTime now);

    bool contains(const std::string &jobId, MonotonicTime now);

private:
    void forgetOld(MonotonicTime now);

    std::deque<std::pair<MonotonicTime, std::string>> byTime_;
    std::unordered_multiset<std::string> ids_;
};

} // namespace marjoramferry
