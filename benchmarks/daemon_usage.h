#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace marjoramferry::bench {

/** A daemon of ours that is watched during a run. */
struct WatchedDaemon
{
    std::string name;
    int processId = 0;
    std::string http; ///< host:port of its metrics; empty for none.
};

/** What a daemon has used since its start. */
struct DaemonUsage
{
    double cpuSeconds = 0;
    double residentMb = 0;
    uint64_t messagesIn = 0;
    uint64_t messagesOut = 0;
    uint64_t bytesIn = 0;
    uint64_t bytesOut = 0;
};

/** Parses "name:pid:host:port". Throws Malformed. */
WatchedDaemon parseWatched(const std::string &text);

DaemonUsage readUsage(const WatchedDaemon &daemon);

} // namespace marjoramferry::bench
