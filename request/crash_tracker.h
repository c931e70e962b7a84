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

/** The crashes of workers on which a task was running. */
struct CrashCounts
{
    int all = 0;
    int likelyCaused = 0; ///< Those shortly before which the task's job was the last to start on the worker.

    bool operator==(const CrashCounts &) const = default;
};

/** Counts under how many crashes of workers each task was running, for all entries' jobs. */
class CrashTracker
{
public:
    /** Records a crash that an agent reported; returns false if it was recorded before. */
    bool record(const wire::WorkerCrash &crash, MonotonicTime now);

    CrashCounts countsOf(const std::string &jobId, int step, int task) const;

    /** The highest of each count among the tasks of the job. */
    CrashCounts highestCountsOf(const std::string &jobId) const;

private:
    using Process = std::pair<std::string, int64_t>; ///< Worker and its start time.

    struct AffectedTask
    {
        RunKey task; ///< With attempt 0.
        bool isLikelyCause = false;
    };

    struct Crash
    {
        Process process;
        MonotonicTime at;
        std::vector<AffectedTask> tasks;
    };

    bool clearSimultaneousCauses(MonotonicTime at);
    void addToCounts(const AffectedTask &affected, int change);
    void forgetOldest();

    std::deque<Crash> crashes_;
    std::set<Process> known_;
    std::map<RunKey, CrashCounts> counts_;
};

} // namespace marjoramferry
