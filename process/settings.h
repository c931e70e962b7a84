#pragma once

#include "core/time.h"
#include "owner/agent_core.h"
#include "owner/entry_core.h"
#include "process/client_limits.h"
#include "request/work_agent.h"
#include "request/work_entry.h"

#include <string>
#include <variant>

namespace marjoramferry {

struct TableSettings
{
    std::string address; ///< host:port of the platform's table service.
    Milliseconds timeout{1000};
};

struct EntrySettings
{
    EntryOptions options;
    TableSettings table;
    std::string httpListen;
    std::string linkListen;
    std::string logLevel;
    ClientLimits clients;
};

struct AgentSettings
{
    AgentIdentity identity;
    AgentTiming timing;
    StartRecordLimits startRecordLimits;
    std::string httpListen;
    std::string logLevel;
    ClientLimits clients;
    long endpointConnections = 64;
};

/** Settings of the "work-entry" role: an entry whose tasks share workers. */
struct WorkEntrySettings
{
    WorkEntryOptions options;
    TableSettings store;
    std::string httpListen;
    std::string readinessListen;
    std::string metricsListen;
    std::string linkListen;
    std::string logLevel;
    ClientLimits clients;
    size_t maxBodyBytes = 1U << 20U;
};

/** Settings of the "work-agent" role: an agent of a worker that runs many tasks concurrently. */
struct WorkAgentSettings
{
    WorkAgentOptions options;
    TableSettings store;
    std::string httpListen;
    std::string metricsListen;
    std::string logLevel;
    ClientLimits clients;
    long workerConnections = 16;
};

using Settings = std::variant<EntrySettings, AgentSettings, WorkEntrySettings, WorkAgentSettings>;

/**
 * Reads and validates an INI file. Throws Settings, with section, key and remedy, if a key is unknown or
 * missing, a quantity has a missing or unknown unit, or a value is out of range or not a valid address.
 */
Settings readSettings(const std::string &path);

} // namespace marjoramferry
