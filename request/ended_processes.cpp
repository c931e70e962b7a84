#include "request/ended_processes.h"

#include <algorithm>

namespace marjoramferry {

namespace {

/** Far longer than an announcement is under way. A later process with the same start time isn't ignored for good. */
constexpr Milliseconds RetentionTime{60'000};
/** Any writer can announce processes, so their number has a bound. */
constexpr size_t MaxEntries = 16;

} // namespace

void EndedProcesses::add(const WorkerIdentity &process, MonotonicTime now)
{
    remove(process);
    entries_.push_back(Entry{process, now});
    if (entries_.size() > MaxEntries) {
        entries_.pop_front();
    }
}

void EndedProcesses::remove(const WorkerIdentity &process)
{
    std::erase_if(entries_, [&](const Entry &each) { return each.process == process; });
}

bool EndedProcesses::contains(const WorkerIdentity &process, MonotonicTime now) const
{
    return std::ranges::any_of(
        entries_, [&](const Entry &each) { return each.process == process && now - each.since <= RetentionTime; });
}

} // namespace marjoramferry
