#pragma once

#include "core/time.h"
#include "request/agent_core.h"
#include "request/entry_core.h"

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
    StartMemory memory;
    std::string httpListen;
    std::string logLevel;
    long endpointConnections = 64;
};

using Settings = std::variant<EntrySettings, AgentSettings>;

/**
 * Reads and checks an INI file. Throws Settings naming section, key and remedy: for an unknown or
 * missing key, a number without or with a wrong unit, or an address that is none.
 */
Settings readSettings(const std::string &path);

} // namespace marjoramferry
