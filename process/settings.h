#pragma once

#include "core/time.h"
#include "request/agent_core.h"
#include "request/entry_core.h"
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
};

struct AgentSettings
{
    AgentIdentity identity;
    AgentTiming timing;
    StartRecordLimits memory;
    std::string httpListen;
    std::string logLevel;
    long endpointConnections = 64;
};

/** An entry whose tasks share workers. */
struct WorkEntrySettings
{
    WorkEntryOptions options;
    TableSettings store;
    std::string httpListen;
    std::string readinessListen;
    std::string metricsListen;
    std::string linkListen;
    std::string logLevel;
    size_t maxBodyBytes = 1U << 20U;
};

/** An agent beside a worker that runs many tasks at once. */
struct WorkAgentSettings
{
    WorkAgentOptions options;
    TableSettings store;
    std::string httpListen;
    std::string metricsListen;
    std::string logLevel;
    long workerConnections = 16;
};

using Settings = std::variant<EntrySettings, AgentSettings, WorkEntrySettings, WorkAgentSettings>;

/**
 * Reads and checks an INI file. Throws Settings naming section, key and remedy: for an unknown or
 * missing key, a number without or with a wrong unit, or an address that is none.
 */
Settings readSettings(const std::string &path);

} // namespace marjoramferry
