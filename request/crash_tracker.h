#pragma once

#include "core/time.h"
#include "request/worker_protocol.h"

#include <messages_types.h>

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace marjoramferry {

/** Counts under how many crashes of workers each task was running, for all entries' jobs. */
class CrashTracker
{
public:
    /** Records a crash that an agent reported; returns false if it was recorded before. */
    bool record(const wire::WorkerCrash &crash, MonotonicTime now);

    /** The number of workers that crashed while the task was running on them. */
    int countCrashes(const std::string &jobId, int step, int task) const;

    /** The same for the task of the job with the most crashes. */
    int mostCrashes(const std::string &jobId) const;

private:
    using Process = std::pair<std::string, int64_t>; ///< Worker and its start time.

    struct Crash
    {
        Process process;
        MonotonicTime at;
        std::vector<RunKey> tasks; ///< With attempt 0.
    };

    void forgetOldest();

    std::deque<Crash> crashes_;
    std::set<Process> known_;
    std::map<RunKey, int> counts_;
};

} // namespace marjoramferry
