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
    int detected = 0; ///< Those that are not only suspected.
    int likelyCaused = 0; ///< Those shortly before which the task's job was the last to start on the worker.

    bool operator==(const CrashCounts &) const = default;
};

/**
 * Counts under how many crashes of workers each task was running, for all entries' jobs. A suspected crash has no
 * likely cause, and a retracted one no longer counts.
 */
class CrashTracker
{
public:
    /** Records a report of an agent; returns false if it says nothing new. */
    bool record(const wire::WorkerCrash &crash, MonotonicTime now);

    /** Whether a crash of the process is recorded. */
    bool contains(const wire::WorkerCrash &crash) const;

    CrashCounts countsOf(const std::string &jobId, int step, int task) const;

    /** The highest of each count among the tasks of the job. */
    CrashCounts highestCountsOf(const std::string &jobId) const;

private:
    using Process = std::pair<std::string, int64_t>; ///< Worker and its start time.

    struct AffectedTask
    {
        RunKey task; ///< With attempt 0.
        int ageMs = 0;
        bool mayBeCause = false; ///< Its job was the last to start on the worker, shortly before the crash.

        bool operator==(const AffectedTask &) const = default;
    };

    struct Crash
    {
        Process process;
        MonotonicTime at;
        bool isDetected = false;
        std::vector<AffectedTask> tasks;
        int simultaneous = 0; ///< Other crashes at the same time.
    };

    static Crash makeCrash(const wire::WorkerCrash &report, MonotonicTime now);
    void add(Crash crash);
    void remove(const Process &process);
    void addToSimultaneous(const Crash &crash, int change);
    void addToCounts(const Crash &crash, int change);
    void forgetOldest();

    std::deque<Crash> crashes_;
    std::set<Process> known_;
    std::map<RunKey, CrashCounts> counts_;
};

} // namespace marjoramferry
