#pragma once

#include "core/time.h"
#include "request/worker_protocol.h"

#include <messages_types.h>

#include <cstdint>
#include <deque>
#include <string>
#include <utility>
#include <vector>

namespace marjoramferry {

/** Agents and entries remember crashes for this long. Callers seldom wait for longer. */
inline constexpr Milliseconds CrashRetentionTime{60'000};

/** A run that was on a worker when the worker crashed. */
struct CrashedRun
{
    RunKey key;
    std::string queue;
    int ageMs = 0; ///< Time from the confirmed start to the crash.

    bool operator==(const CrashedRun &) const = default;
};

struct WorkerCrash
{
    WorkerIdentity worker;
    MonotonicTime at;
    std::vector<CrashedRun> runs;
    wire::CrashStatus::type status = wire::CrashStatus::DETECTED;

    bool operator==(const WorkerCrash &) const = default;
};

/** The latest reports of crashes of the agent's worker, numbered from 1, for entries that have not received them. */
class CrashLog
{
public:
    /** Adds a report, which replaces the last one of the same process. */
    void add(WorkerCrash crash, MonotonicTime now);

    /** The number of the newest report, 0 if there was none. */
    int64_t lastNumber() const
    {
        return lastNumber_;
    }

    /** The reports with a higher number than @p number that are still kept. */
    std::vector<wire::WorkerCrash> reportsAfter(int64_t number, MonotonicTime now) const;

private:
    int64_t lastNumber_ = 0;
    std::deque<std::pair<int64_t, WorkerCrash>> crashes_; ///< By number, in ascending order.
};

} // namespace marjoramferry
