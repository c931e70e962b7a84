#include "process/settings.h"

#include "core/error.h"
#include "process/ini_file.h"

#include <absl/random/random.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <array>

namespace marjoramferry {

namespace {

std::string newIncarnation(const std::string &name)
{
    absl::BitGen random;
    return absl::StrCat(name, "-", absl::StrFormat("%016x", absl::Uniform<uint64_t>(random)));
}

std::string readLogLevel(IniFile &ini)
{
    std::string level = ini.text("process", "log_level", "info");
    constexpr std::array<std::string_view, 4> Known = {"debug", "info", "warn", "error"};
    if (std::ranges::find(Known, level) == Known.end()) {
        throw Error(ErrorKind::Settings,
                    "[process] log_level",
                    "\"" + level + "\" is no level",
                    "use debug, info, warn or error");
    }
    return level;
}

void readOwner(IniFile &ini, EntryOptions &options)
{
    OwnerTiming &owner = options.owner;
    const Milliseconds horizon = ini.duration("owner", "horizon", owner.answersKept);
    owner.answersKept = horizon;
    owner.claims.horizon = horizon;
    options.keeper.predecessorsKeptMs = 2 * horizon.count();
    owner.claims.pace = ini.duration("owner", "claim_pace", owner.claims.pace);
    owner.maxAnswerBytes = ini.bytes("owner", "answer_memory", owner.maxAnswerBytes);
    options.keeper.takeover = ini.duration("owner", "takeover", options.keeper.takeover);
    owner.claims.lease = ini.duration("owner", "lease", owner.claims.lease);
    owner.agentReturn = ini.duration("owner", "agent_return", owner.agentReturn);
    constexpr long MostOwners = 64;
    options.keeper.maxOwners = static_cast<size_t>(ini.number("owner", "max_owners", 4, 1, MostOwners));
    if (owner.claims.lease >= options.keeper.takeover) {
        throw Error(ErrorKind::Settings, "[owner] lease", "is not below [owner] takeover", "set it at least 10% lower");
    }
}

EntrySettings readEntry(IniFile &ini)
{
    EntrySettings settings;
    EntryOptions &options = settings.options;
    options.name = ini.require("process", "name");
    options.incarnation = newIncarnation(options.name);
    ini.require("process", "domain");
    settings.logLevel = readLogLevel(ini);
    settings.httpListen = ini.address("entry", "http_listen");
    settings.linkListen = ini.address("entry", "link_listen");
    options.address = ini.text("entry", "link_address", settings.linkListen);
    options.placement = ini.text("entry", "placement", options.placement);
    makePlacement(options.placement, 0);
    constexpr long MostRequests = 1'000'000;
    options.maxWaitingRequests
        = static_cast<size_t>(ini.number("entry", "max_waiting_requests", 2000, 1, MostRequests));
    options.bounds.maxBodyBytes = ini.bytes("entry", "max_body", options.bounds.maxBodyBytes);
    options.keeper.freshness = ini.duration("entry", "freshness", options.keeper.freshness);
    options.keeper.poll = ini.duration("entry", "poll", options.keeper.poll);
    settings.table.address = ini.address("platform", "table");
    settings.table.timeout = ini.duration("platform", "table_timeout", settings.table.timeout);
    readOwner(ini, options);
    absl::BitGen random;
    options.seed = absl::Uniform<uint64_t>(random);
    return settings;
}

AgentSettings readAgent(IniFile &ini)
{
    AgentSettings settings;
    settings.identity.name = ini.require("process", "name");
    settings.identity.incarnation = newIncarnation(settings.identity.name);
    settings.identity.domain = ini.require("process", "domain");
    settings.identity.entries = ini.addresses("agent", "entries");
    settings.logLevel = readLogLevel(ini);
    settings.httpListen = ini.address("agent", "http_listen");
    settings.timing.presence = ini.duration("agent", "presence", settings.timing.presence);
    settings.timing.freshness = ini.duration("agent", "freshness", settings.timing.freshness);
    settings.timing.announceLapse = ini.duration("agent", "announce_lapse", settings.timing.announceLapse);
    settings.memory.horizon = ini.duration("agent", "horizon", settings.memory.horizon);
    settings.memory.maxOutputBytes = ini.bytes("agent", "output_memory", settings.memory.maxOutputBytes);
    constexpr long MostRecords = 100'000'000;
    settings.memory.maxRecords = static_cast<size_t>(ini.number("agent", "max_records", 200'000, 1, MostRecords));
    constexpr long MostConnections = 1024;
    settings.endpointConnections = ini.number("agent", "endpoint_connections", 64, 1, MostConnections);
    return settings;
}

} // namespace

Settings readSettings(const std::string &path)
{
    IniFile ini(path);
    const std::string role = ini.require("process", "role");
    if (role != "entry" && role != "agent") {
        throw Error(ErrorKind::Settings, "[process] role", "\"" + role + "\" is no role", "use entry or agent");
    }
    Settings settings = role == "entry" ? Settings(readEntry(ini)) : Settings(readAgent(ini));
    ini.requireAllUsed();
    return settings;
}

} // namespace marjoramferry
