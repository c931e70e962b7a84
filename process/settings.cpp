#include "process/settings.h"

#include "core/clock.h"
#include "core/error.h"
#include "process/ini_file.h"

#include <absl/random/random.h>
#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <array>
#include <functional>
#include <map>

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
    constexpr std::array<std::string_view, 4> KnownLevels = {"debug", "info", "warn", "error"};
    if (std::ranges::find(KnownLevels, level) == KnownLevels.end()) {
        throw Error(ErrorKind::Settings,
                    "[process] log_level",
                    "\"" + level + "\" is not a log level",
                    "use debug, info, warn or error");
    }
    return level;
}

/** Reads what the machine has, and divides it among the listeners. */
ClientLimits readClientLimits(IniFile &ini)
{
    ClientSettings settings;
    settings.machineMemoryBytes = ini.memory("machine", "memory", settings.machineMemoryBytes);
    constexpr double MaxDescriptors = 1 << 20;
    const auto descriptors = static_cast<double>(systemDescriptorLimit());
    settings.descriptors = static_cast<size_t>(ini.decimal("machine", "descriptors", descriptors, 1, MaxDescriptors));
    settings.idleTimeout = ini.duration("clients", "idle_timeout", settings.idleTimeout);
    settings.transferTimeout = ini.duration("clients", "transfer_timeout", settings.transferTimeout);
    return divideClientLimits(settings);
}

void readOwner(IniFile &ini, EntryOptions &options)
{
    OwnerTiming &owner = options.owner;
    const Milliseconds horizon = ini.duration("owner", "horizon", owner.answerRetention);
    owner.answerRetention = horizon;
    owner.claims.retention = horizon;
    options.clusterState.predecessorRetentionMs = 2 * horizon.count();
    owner.claims.writeInterval = ini.duration("owner", "claim_pace", owner.claims.writeInterval);
    owner.maxAnswerBytes = ini.bytes("owner", "answer_memory", owner.maxAnswerBytes);
    options.clusterState.takeoverTimeout = ini.duration("owner", "takeover", options.clusterState.takeoverTimeout);
    owner.claims.leaseDuration = ini.duration("owner", "lease", owner.claims.leaseDuration);
    owner.lostAgentTimeout = ini.duration("owner", "agent_return", owner.lostAgentTimeout);
    constexpr long MaxOwners = 64;
    options.clusterState.maxOwners = static_cast<size_t>(ini.number("owner", "max_owners", 4, 1, MaxOwners));
    if (owner.claims.leaseDuration >= options.clusterState.takeoverTimeout) {
        throw Error(
            ErrorKind::Settings, "[owner] lease", "is not less than [owner] takeover", "set it at least 10% lower");
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
    settings.clients = readClientLimits(ini);
    settings.httpListen = ini.address("entry", "http_listen");
    settings.linkListen = ini.address("entry", "link_listen");
    options.address = ini.text("entry", "link_address", settings.linkListen);
    options.placement = ini.text("entry", "placement", options.placement);
    makePlacementPolicy(options.placement, 0);
    constexpr long MaxRequests = 1'000'000;
    options.maxWaitingRequests = static_cast<size_t>(ini.number("entry", "max_waiting_requests", 2000, 1, MaxRequests));
    options.jobLimits.maxBodyBytes = ini.bytes("entry", "max_body", options.jobLimits.maxBodyBytes);
    options.clusterState.maxEvidenceAge = ini.duration("entry", "freshness", options.clusterState.maxEvidenceAge);
    options.clusterState.pollInterval = ini.duration("entry", "poll", options.clusterState.pollInterval);
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
    settings.clients = readClientLimits(ini);
    settings.httpListen = ini.address("agent", "http_listen");
    settings.timing.heartbeatInterval = ini.duration("agent", "presence", settings.timing.heartbeatInterval);
    settings.timing.maxEvidenceAge = ini.duration("agent", "freshness", settings.timing.maxEvidenceAge);
    settings.timing.announcementTimeout = ini.duration("agent", "announce_lapse", settings.timing.announcementTimeout);
    settings.startRecordLimits.retention = ini.duration("agent", "horizon", settings.startRecordLimits.retention);
    settings.startRecordLimits.maxOutputBytes
        = ini.bytes("agent", "output_memory", settings.startRecordLimits.maxOutputBytes);
    constexpr long MaxRecords = 100'000'000;
    settings.startRecordLimits.maxRecords
        = static_cast<size_t>(ini.number("agent", "max_records", 200'000, 1, MaxRecords));
    constexpr long MaxConnections = 1024;
    settings.endpointConnections = ini.number("agent", "endpoint_connections", 64, 1, MaxConnections);
    return settings;
}

/**
 * Returns the link addresses of the seed entries. If seed_port is set, it replaces the port of each seed: the
 * seeds are then listed with another of their addresses, and their links listen on seed_port.
 */
std::vector<std::string> readSeeds(IniFile &ini, const std::string &section)
{
    constexpr long MaxPort = 65'535;
    const long port = ini.number(section, "seed_port", 0, 0, MaxPort);
    const std::string list = ini.text(section, "seeds", "");
    std::vector<std::string> seeds;
    for (const absl::string_view item : absl::StrSplit(list, ',', absl::SkipWhitespace())) {
        const absl::string_view address = absl::StripAsciiWhitespace(item);
        const absl::string_view host = address.substr(0, address.find(':'));
        seeds.push_back(port == 0 ? std::string(address) : absl::StrCat(host, ":", port));
    }
    return seeds;
}

/** Time between the end of an orderly shutdown and the kill by the platform. */
constexpr Milliseconds ShutdownMargin{700};
/** The same for an agent, whose runs are stopped shortly before. */
constexpr Milliseconds AgentShutdownMargin{800};

/** Reads the time that the platform leaves a process to stop, and returns that time without the margin. */
Milliseconds readShutdownTimeout(IniFile &ini, Milliseconds margin)
{
    const Milliseconds grace = ini.duration("platform", "process_grace", Milliseconds(6000));
    constexpr int MinGraceFactor = 2;
    if (grace < margin * MinGraceFactor) {
        throw Error(ErrorKind::Settings,
                    "[platform] process_grace",
                    "is too short for an orderly shutdown",
                    absl::StrCat("use at least ", (margin * MinGraceFactor).count(), "ms"));
    }
    return grace - margin;
}

WorkerLimits readWorkerLimits(IniFile &ini)
{
    WorkerLimits limits;
    limits.maxLease = ini.duration("platform", "max_lease", limits.maxLease);
    limits.maxStopTime = ini.duration("platform", "max_stop_time", limits.maxStopTime);
    limits.resubmissionDelay = ini.duration("platform", "resubmission_delay", limits.resubmissionDelay);
    return limits;
}

/** Reads a duration that is by default @p usual, or @p max if that is shorter; @p reason says why it can't be longer.
 */
Milliseconds readBoundedDuration(
    IniFile &ini, const std::string &key, Milliseconds usual, Milliseconds max, const std::string &reason)
{
    constexpr const char *Section = "work_agent";
    const Milliseconds duration = ini.duration(Section, key, std::min(usual, max));
    if (duration > max) {
        throw Error(ErrorKind::Settings,
                    absl::StrCat("[", Section, "] ", key),
                    reason,
                    absl::StrCat("use at most ", max.count(), "ms"));
    }
    return duration;
}

/** Reads the times after which no run of a silent entry is left, which follow from the limits of the deployment. */
void readRunTimeouts(IniFile &ini, WorkAgentOptions &options)
{
    const WorkerLimits limits = readWorkerLimits(ini);
    // A proof is echoed with the next message of the entry, and that message is answered with the agent's next one.
    const Milliseconds usualProofAge = 2 * options.heartbeatInterval;
    const Milliseconds maxLease = maxLeaseFor(limits, usualProofAge);
    const Milliseconds maxEntryTimeout = maxEntryTimeoutFor(limits);
    if (maxLease <= Milliseconds(0) || maxEntryTimeout <= usualProofAge) {
        throw Error(ErrorKind::Settings,
                    "[platform] resubmission_delay",
                    "is too short for the intervals of messages and lease renewals",
                    "lower [work_agent] beat, or use the deployment's value");
    }
    constexpr int RenewalsPerLease = 3;
    options.worker.maxPollWait = std::min(options.worker.maxPollWait, maxLease / RenewalsPerLease);
    options.worker.leaseLimit = leaseLimitFor(limits);
    options.worker.longestLease = longestLeaseFor(limits);
    options.entryTimeout = readBoundedDuration(ini,
                                               "entry_lapse",
                                               options.entryTimeout,
                                               maxEntryTimeout,
                                               "leaves runs until [platform] resubmission_delay has passed");
    options.worker.leaseDuration
        = readBoundedDuration(ini,
                              "lease",
                              options.worker.leaseDuration,
                              maxLease,
                              "is longer than [platform] max_lease or resubmission_delay allow");
}

/** Section of the optional scheduling features; all are off by default. */
constexpr const char *SchedulingSection = "scheduling";

WorkEntrySettings readWorkEntry(IniFile &ini)
{
    constexpr const char *Section = "work_entry";
    WorkEntrySettings settings;
    WorkEntryOptions &options = settings.options;
    options.name = ini.require("process", "name");
    options.incarnation = newIncarnation(options.name);
    ini.require("process", "domain");
    settings.logLevel = readLogLevel(ini);
    settings.clients = readClientLimits(ini);
    settings.httpListen = ini.address(Section, "http_listen");
    settings.readinessListen = ini.address(Section, "readiness_listen");
    settings.metricsListen = ini.address(Section, "metrics_listen");
    settings.linkListen = ini.address(Section, "link_listen");
    settings.maxBodyBytes = ini.bytes(Section, "max_body", settings.maxBodyBytes);
    options.linkAddress = ini.text(Section, "link_address", settings.linkListen);
    options.seedAddresses = readSeeds(ini, Section);
    options.shutdownTimeout = ini.duration(Section, "grace", readShutdownTimeout(ini, ShutdownMargin));
    options.minDrainTime
        = ini.duration(Section, "drain_least", std::min(options.minDrainTime, options.shutdownTimeout));
    options.directory.heartbeatInterval = ini.duration(Section, "beat", options.directory.heartbeatInterval);
    options.directory.suspectTimeout = ini.duration(Section, "suspect", options.directory.suspectTimeout);
    const Milliseconds minSessionTimeout = sessionTimeoutFor(readWorkerLimits(ini), DefaultEntryTimeout);
    options.directory.sessionTimeout = ini.duration(Section, "give_up", minSessionTimeout);
    if (options.directory.sessionTimeout < minSessionTimeout) {
        throw Error(ErrorKind::Settings,
                    "[work_entry] give_up",
                    "is shorter than runs may stay on the worker of a silent agent",
                    absl::StrCat("use at least ", minSessionTimeout.count(), "ms"));
    }
    constexpr double MaxSlowdown = 1000;
    options.scheduler.selector.remoteSlowdown
        = ini.decimal("platform", "remote_slowdown", options.scheduler.selector.remoteSlowdown, 1, MaxSlowdown);
    options.scheduler.admission = ini.boolean(SchedulingSection, "admission", false);
    options.scheduler.selector.offers = ini.boolean(SchedulingSection, "offers", false);
    options.directory.offers = options.scheduler.selector.offers;
    settings.store.address = ini.address("platform", "store");
    settings.store.timeout = ini.duration("platform", "store_timeout", Milliseconds(400));
    absl::BitGen random;
    options.scheduler.selector.seed = absl::Uniform<uint64_t>(random);
    return settings;
}

WorkAgentSettings readWorkAgent(IniFile &ini)
{
    constexpr const char *Section = "work_agent";
    WorkAgentSettings settings;
    WorkAgentOptions &options = settings.options;
    options.name = ini.require("process", "name");
    options.incarnation = newIncarnation(options.name);
    options.domain = ini.require("process", "domain");
    settings.logLevel = readLogLevel(ini);
    settings.clients = readClientLimits(ini);
    settings.httpListen = ini.address(Section, "http_listen");
    settings.metricsListen = ini.address(Section, "metrics_listen");
    options.seedAddresses = readSeeds(ini, Section);
    options.shutdownTimeout = ini.duration(Section, "grace", readShutdownTimeout(ini, AgentShutdownMargin));
    options.heartbeatInterval = ini.duration(Section, "beat", options.heartbeatInterval);
    options.worker.maxPollWait = ini.duration(Section, "watch", options.worker.maxPollWait);
    readRunTimeouts(ini, options);
    options.offers = ini.boolean(SchedulingSection, "offers", false);
    settings.store.address = ini.address("platform", "store");
    settings.store.timeout = ini.duration("platform", "store_timeout", Milliseconds(400));
    constexpr long MaxConnections = 1024;
    settings.workerConnections = ini.number(Section, "worker_connections", 16, 1, MaxConnections);
    options.initialFence = wallMilliseconds();
    return settings;
}

using Reader = std::function<Settings(IniFile &)>;

} // namespace

Settings readSettings(const std::string &path)
{
    IniFile ini(path);
    const std::string role = ini.require("process", "role");
    static const std::map<std::string, Reader> readers = {
        {"entry", &readEntry}, {"agent", &readAgent}, {"work-entry", &readWorkEntry}, {"work-agent", &readWorkAgent}};
    const auto reader = readers.find(role);
    if (reader == readers.end()) {
        throw Error(ErrorKind::Settings,
                    "[process] role",
                    "\"" + role + "\" is not a role",
                    "use entry, agent, work-entry or work-agent");
    }
    Settings settings = reader->second(ini);
    ini.rejectUnknownKeys();
    return settings;
}

} // namespace marjoramferry
