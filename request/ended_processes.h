#pragma once

#include "core/time.h"
#include "request/worker_protocol.h"

#include <deque>

namespace marjoramferry {

/**
 * The processes of workers that are known to have ended, so that their delayed announcements are recognized. A process
 * has ended if another one under its ID has listed its runs, to a call that was sent after it had announced itself.
 */
class EndedProcesses
{
public:
    void add(const WorkerIdentity &process, MonotonicTime now);

    /** Takes back that the process has ended. */
    void remove(const WorkerIdentity &process);

    bool contains(const WorkerIdentity &process, MonotonicTime now) const;

private:
    struct Entry
    {
        WorkerIdentity process;
        MonotonicTime since;
    };

    std::deque<Entry> entries_; ///< The oldest one comes first.
};

} // namespace marjoramferry
