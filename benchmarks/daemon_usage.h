#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace marjoramferry::bench {

/** A marjoramferryd process whose resource use is measured during a run. */
struct MonitoredDaemon
{
    std::string name;
    int processId = 0;
    std::string metricsAddress; ///< host:port that serves GET /metrics; empty for none.
};

/** Resource use of a daemon. All but residentMb count from its start. */
struct DaemonUsage
{
    double cpuSeconds = 0;
    double residentMb = 0;
    uint64_t messagesIn = 0;
    uint64_t messagesOut = 0;
    uint64_t bytesIn = 0;
    uint64_t bytesOut = 0;
};

/** Parses "name:pid" or "name:pid:host:port". Throws Malformed. */
MonitoredDaemon parseMonitoredDaemon(const std::string &text);

/** Reads the usage from /proc and from the metrics of the daemon; without an address, message counts stay 0. */
DaemonUsage readUsage(const MonitoredDaemon &daemon);

} // namespace marjoramferry::bench
