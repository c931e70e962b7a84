#include "owner/entry_core.h"

#include "core/error.h"
#include "core/shard.h"
#include "event/error_json.h"
#include "owner/evidence.h"

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <ranges>
#include <utility>

namespace marjoramferry {

using nlohmann::json;

namespace {

/** Period of tasks that are not urgent and iterate over all agents or shards. */
constexpr Milliseconds HousekeepingPeriod{50};
constexpr int StatusOk = 200;
constexpr int StatusCreated = 201;
constexpr int StatusBadRequest = 400;
constexpr int StatusNotFound = 404;
constexpr int StatusConflict = 409;
constexpr int StatusPayloadTooLarge = 413;
constexpr int StatusUnavailable = 503;
constexpr int BusyRetryAfterMs = 1000;
constexpr std::string_view JobsPath = "/v1/jobs/";
constexpr std::string_view DomainsPath = "/v1/domains/";

int statusOf(ErrorKind kind)
{
    switch (kind) {
    case ErrorKind::TooLarge:
        return StatusPayloadTooLarge;
    case ErrorKind::Conflict:
        return StatusConflict;
    case ErrorKind::NotFound:
        return StatusNotFound;
    case ErrorKind::Unavailable:
        return StatusUnavailable;
    default:
        return StatusBadRequest;
    }
}

std::string firstIncarnation(const EntryOptions &options)
{
    return options.incarnation + ".0";
}

} // namespace

EntryCore::EntryCore(EntryOptions options)
    : options_(std::move(options))
    , clusterState_(LocalOwner{firstIncarnation(options_), Owner{options_.name, options_.address}},
                    options_.clusterState)
    , publisher_(options_.incarnation, options_.publisher)
    , directory_(options_.directory)
    , owner_(options_.owner, clusterState_, directory_, makePlacementPolicy(options_.placement, options_.seed))
    , router_(options_.router)
{
}

std::vector<EntryCommand> EntryCore::handle(const EntryEvent &event, EventTime time)
{
    try {
        std::visit(Overloaded{
                       [&](const Tick &) { onTick(time); },
                       [&](const HttpRequest &each) { onHttp(each, time.now); },
                       [&](const LinkMessage &each) { onLinkMessage(each, time.now); },
                       [&](const LinkClosed &each) { onLinkClosed(each.link, time.now); },
                       [&](const PeerMessage &each) { onPeerMessage(each, time.now); },
                       [&](const PeerClosed &each) { router_.onPeerClosed(each.address, time.now); },
                       [&](const TableCallCompleted &each) { onTableCallCompleted(each, time.now); },
                       [&](const DrainRequested &) { draining_ = true; },
                   },
                   event);
        afterEvent(time);
    } catch (const Error &error) {
        out_.log(LogEvent::Level::Warning, "event_rejected", {{"reason", error.what()}});
    }
    return out_.take();
}

void EntryCore::onTick(EventTime time)
{
    owner_.onTick(time.now, out_);
    deliverLocal(router_.advance(clusterState_.ownership(), clusterState_.localOwner().incarnation, time.now, out_),
                 time.now);
    if (time.now < nextHousekeeping_) {
        return;
    }
    nextHousekeeping_ = time.now + HousekeepingPeriod;
    for (const AgentView &agent : directory_.removeTimedOut(time.now)) {
        out_.log(LogEvent::Level::Warning, "agent_timed_out", {{"agent", agent.name}, {"domain", agent.domain}});
        owner_.onAgentUnreachable(agent, time.now);
    }
    registrar_.advance(time.now, out_);
    replyToInForceWaiters(time.now);
    handOverShards(time.now);
    leaveWhenDrained();
}

void EntryCore::afterEvent(EventTime time)
{
    rejoinAfterFencing();
    const bool hasOwnershipChanged = clusterState_.ownershipVersion() != lastOwnershipVersion_
        || (lastFenceVersion_ == 0 && clusterState_.localFenceVersion() != 0);
    if (hasOwnershipChanged) {
        lastOwnershipVersion_ = clusterState_.ownershipVersion();
        lastFenceVersion_ = clusterState_.localFenceVersion();
        onOwnershipChanged(time.now);
    }
    deliverLocal(router_.sendNew(clusterState_.ownership(), clusterState_.localOwner().incarnation, time.now, out_),
                 time.now);
    for (ClusterStateRequest &request : clusterState_.dueRequests(time.now, time.wallMs)) {
        out_.add(TableCall{TableCaller::ClusterState, static_cast<int64_t>(request.call), std::move(request.request)});
    }
    if (auto request = publisher_.nextRequest(clusterState_, time.now)) {
        out_.add(TableCall{TableCaller::Publisher, 0, std::move(*request)});
    }
    replyToPublications();
    owner_.advance(time.now, out_);
    deliverReplies(time.now);
}

// --- HTTP -----------------------------------------------------------------------------------

void EntryCore::onHttp(const HttpRequest &request, MonotonicTime now)
{
    try {
        if (handleFixedPath(request, now) || handleJobPath(request, now) || handleDomainPath(request, now)) {
            return;
        }
        throw Error(ErrorKind::NotFound,
                    request.method + " " + request.path,
                    "is not part of the HTTP API",
                    "see the HTTP contract");
    } catch (const Error &error) {
        replyError(request.token, error);
    }
}

bool EntryCore::handleFixedPath(const HttpRequest &request, MonotonicTime now)
{
    const std::string call = request.method + " " + request.path;
    if (call == "POST /v1/jobs") {
        onSubmission(request, now);
    } else if (call == "POST /v1/notes") {
        publish(request, ReleaseNote::fromJson(request.body), false, now);
    } else if (call == "GET /v1/notes/current") {
        reply(request.token, StatusOk, renderNotes());
    } else if (call == "GET /v1/status") {
        reply(request.token, StatusOk, renderStatus(now));
    } else if (call == "GET /healthz") {
        reply(request.token, StatusOk, R"({"status":"up"})");
    } else if (call == "GET /readyz") {
        const bool isReady = !draining_ && clusterState_.isFresh(now) && !clusterState_.ownership().owners().empty();
        reply(request.token, isReady ? StatusOk : StatusUnavailable, json{{"ready", isReady}}.dump());
    } else {
        return false;
    }
    return true;
}

void EntryCore::onSubmission(const HttpRequest &request, MonotonicTime now)
{
    wire::Job job = parseJob(request.body, options_.jobLimits);
    if (router_.waiting() >= options_.maxWaitingRequests) {
        // The same job may have been submitted through another entry, so the answer has no "ran" states.
        const json error = {{"kind", "entry_full"},
                            {"message", "this entry has reached its limit of waiting requests; retry later"},
                            {"retry_after_ms", BusyRetryAfterMs}};
        const json body = {{"job_id", job.jobId}, {"status", "failed"}, {"error", error}};
        reply(request.token, StatusUnavailable, body.dump(), BusyRetryAfterMs);
        return;
    }
    router_.submit(request.token, std::move(job), now);
}

bool EntryCore::handleJobPath(const HttpRequest &request, MonotonicTime now)
{
    const bool isCancel = request.method == "DELETE";
    if (!request.path.starts_with(JobsPath) || (!isCancel && request.method != "GET")) {
        return false;
    }
    router_.lookup(request.token, request.path.substr(JobsPath.size()), isCancel, now);
    return true;
}

bool EntryCore::handleDomainPath(const HttpRequest &request, MonotonicTime now)
{
    if (request.method != "POST" || !request.path.starts_with(DomainsPath)) {
        return false;
    }
    const std::string rest = request.path.substr(DomainsPath.size());
    const size_t slash = rest.find('/');
    const std::string direction = slash == std::string::npos ? std::string() : rest.substr(slash + 1);
    if (direction != "in" && direction != "out") {
        return false;
    }
    publish(request, ReleaseNote::forDomain(rest.substr(0, slash), direction == "in"), true, now);
    return true;
}

void EntryCore::publish(const HttpRequest &request, ReleaseNote note, bool isDomainChange, MonotonicTime now)
{
    publisher_.submit(Publication{request.token, std::move(note), isDomainChange}, now);
}

void EntryCore::replyToPublications()
{
    for (const PublicationResult &result : publisher_.takeResults()) {
        const uint64_t token = result.publication.token;
        switch (result.outcome) {
        case PublicationOutcome::Accepted:
            clusterState_.requestPoll();
            out_.log(LogEvent::Level::Info, "note_accepted", {{"version", absl::StrCat(result.version)}});
            if (result.publication.retryOnConflict) {
                const Milliseconds bound = options_.clusterState.maxEvidenceAge + options_.inForceMargin;
                pendingInForceReplies_.push_back(
                    PendingInForceReply{token, result.version, result.committedBy + bound});
            } else {
                reply(token, StatusCreated, json{{"version", result.version}}.dump());
            }
            break;
        case PublicationOutcome::Conflict:
            reply(token,
                  StatusConflict,
                  json{{"error",
                        {{"kind", "conflict"},
                         {"message", "another note was accepted first; read it and base the change on it"}}},
                       {"version", result.version}}
                      .dump());
            break;
        case PublicationOutcome::Refused:
            reply(token,
                  result.notFound ? StatusNotFound : StatusConflict,
                  json{{"error", {{"kind", "refused"}, {"message", result.message}}}, {"version", result.version}}
                      .dump());
            break;
        case PublicationOutcome::NotFresh:
            reply(
                token,
                StatusUnavailable,
                R"({"error":{"kind":"not_fresh","message":"the table service cannot be read; nothing was published"}})",
                BusyRetryAfterMs);
            break;
        case PublicationOutcome::Unknown:
            reply(
                token,
                StatusUnavailable,
                R"({"error":{"kind":"unknown","message":"the note may have been accepted; read /v1/notes/current before publishing again"}})",
                BusyRetryAfterMs);
            break;
        }
    }
}

void EntryCore::replyToInForceWaiters(MonotonicTime now)
{
    const auto isDue = [&](const PendingInForceReply &pending) { return now >= pending.inForceAt; };
    for (const PendingInForceReply &pending : pendingInForceReplies_ | std::views::filter(isDue)) {
        json behind = json::array();
        for (const AgentView &agent : directory_.all() | std::views::values) {
            if (agent.noteVersion < pending.version) {
                behind.push_back(agent.name);
            }
        }
        // The evidence of an agent that did not receive the version has expired by now, so it starts nothing.
        reply(pending.token,
              StatusOk,
              json{{"version", pending.version}, {"in_force", true}, {"stopped_until_they_hear", behind}}.dump());
    }
    std::erase_if(pendingInForceReplies_, isDue);
}

void EntryCore::reply(uint64_t token, int status, const std::string &body, int retryAfterMs)
{
    out_.add(HttpResponse{token, status, body, retryAfterMs});
}

void EntryCore::replyError(uint64_t token, const Error &error)
{
    reply(token, statusOf(error.kind()), renderError(error));
}

std::string EntryCore::renderNotes() const
{
    json behind = json::array();
    for (const AgentView &agent : directory_.all() | std::views::values) {
        if (agent.noteVersion < clusterState_.catalog().version) {
            behind.push_back(agent.name);
        }
    }
    return json{{"catalog", json::parse(clusterState_.catalog().toJson())}, {"behind", behind}}.dump();
}

std::string EntryCore::renderStatus(MonotonicTime now) const
{
    json agents = json::array();
    for (const AgentView &agent : directory_.all() | std::views::values) {
        agents.push_back({{"agent", agent.name},
                          {"endpoint", agent.endpoint},
                          {"service", agent.service},
                          {"domain", agent.domain},
                          {"slots", agent.slots},
                          {"free", agent.freeSlots()},
                          {"note_version", agent.noteVersion},
                          {"registered", agent.registration != 0},
                          {"leaving", agent.leaving},
                          {"probation", agent.isOnProbation()}});
    }
    json owners = json::array();
    for (const auto &[incarnation, owner] : clusterState_.ownership().owners()) {
        owners.push_back({{"owner", owner.name},
                          {"incarnation", incarnation},
                          {"address", owner.address},
                          {"shards", clusterState_.ownership().shardsOf(incarnation).size()}});
    }
    const auto evidence = clusterState_.freshness().evidenceAt();
    return json{{"entry", options_.name},
                {"fresh", clusterState_.isFresh(now)},
                {"evidence_age_ms", evidence ? json(millisecondsBetween(*evidence, now)) : json()},
                {"note_version", clusterState_.catalog().version},
                {"draining", draining_},
                {"active_jobs", owner_.activeJobs()},
                {"recovering_shards", owner_.recoveringShards()},
                {"waiting_requests", router_.waiting()},
                {"agents", agents},
                {"owners", owners}}
        .dump();
}

// --- Links ----------------------------------------------------------------------------------

void EntryCore::onLinkMessage(const LinkMessage &event, MonotonicTime now)
{
    std::visit(Overloaded{
                   [&](const wire::Heartbeat &each) { onHeartbeat(event.link, each, now); },
                   [&](const wire::TaskReport &each) { owner_.onTaskReport(each, now, out_); },
                   [&](const wire::StartRecords &each) { owner_.onStartRecords(each); },
                   [&](const wire::SubmitJob &each) { owner_.onSubmit(event.link, each, now, out_); },
                   [&](const wire::LookupJob &each) { owner_.onLookup(event.link, each, now, out_); },
                   [&](const auto &) {
                       out_.log(LogEvent::Level::Warning, "unexpected_message", {{"link", absl::StrCat(event.link)}});
                   },
               },
               event.message);
}

void EntryCore::onLinkClosed(LinkId link, MonotonicTime now)
{
    if (const auto agent = directory_.removeLink(link)) {
        out_.log(LogEvent::Level::Warning, "agent_disconnected", {{"agent", agent->name}, {"domain", agent->domain}});
        owner_.onAgentUnreachable(*agent, now);
    }
}

void EntryCore::onPeerMessage(const PeerMessage &event, MonotonicTime now)
{
    if (const auto *message = std::get_if<wire::OwnerReply>(&event.message)) {
        router_.onReply(event.address, *message, now, out_);
    }
}

void EntryCore::onHeartbeat(LinkId link, const wire::Heartbeat &heartbeat, MonotonicTime now)
{
    const bool isNew = directory_.find(heartbeat.agent) == nullptr;
    const auto replaced = directory_.update(link, heartbeat, now);
    const AgentView *agent = directory_.find(heartbeat.agent);
    if (agent == nullptr) {
        return;
    }
    if (replaced) {
        owner_.onAgentUnreachable(*replaced, now);
    }
    if (isNew || replaced) {
        out_.log(LogEvent::Level::Info,
                 "agent_announced",
                 {{"agent", agent->name}, {"endpoint", agent->endpoint}, {"domain", agent->domain}});
        owner_.onAgentReconnected(*agent, now, out_);
    }
    if (agent->registration == 0 || heartbeat.finished) {
        registrar_.request(agent->name, agent->incarnation, heartbeat.finished);
        registrar_.advance(now, out_);
    }
    if (heartbeat.noteVersion > clusterState_.catalog().version) {
        clusterState_.requestPoll();
    }
    if (heartbeat.wantsReply) {
        replyToHeartbeat(*agent, heartbeat, now);
    }
}

void EntryCore::replyToHeartbeat(const AgentView &agent, const wire::Heartbeat &heartbeat, MonotonicTime now)
{
    wire::HeartbeatReply message;
    message.noteVersion = clusterState_.catalog().version;
    message.echoedSentAtUs = heartbeat.sentAtUs;
    if (const auto evidence = makeEvidence(agent, clusterState_, now)) {
        message.__set_evidence(*evidence);
    }
    if (heartbeat.noteVersion < clusterState_.catalog().version) {
        message.__set_catalog(clusterState_.catalog().toJson());
    }
    message.ownershipVersion = clusterState_.ownershipVersion();
    const auto registration = registrar_.find(agent.name, agent.incarnation);
    const bool isGranted
        = registration && agent.registration == 0 && clusterState_.ownershipVersion() >= registration->ownershipVersion;
    if (isGranted) {
        message.registration = registration->version;
    }
    if (isGranted || heartbeat.ownershipVersion < clusterState_.ownershipVersion()) {
        fillOwnership(message);
    }
    out_.add(SendToLink{agent.link, std::move(message)});
}

void EntryCore::fillOwnership(wire::HeartbeatReply &message) const
{
    std::vector<wire::OwnerAddress> owners;
    for (const auto &[incarnation, owner] : clusterState_.ownership().owners()) {
        wire::OwnerAddress address;
        address.name = owner.name;
        address.incarnation = incarnation;
        address.address = owner.address;
        owners.push_back(std::move(address));
    }
    std::vector<wire::ShardEpoch> epochs;
    for (int index = 0; index < ShardCount; ++index) {
        wire::ShardEpoch epoch;
        epoch.shard = index;
        epoch.epoch = clusterState_.ownership().shard(index).epoch;
        epochs.push_back(epoch);
    }
    message.__set_owners(owners);
    message.__set_epochs(epochs);
}

void EntryCore::onOwnershipChanged(MonotonicTime now)
{
    owner_.onOwnershipChanged(now, out_);
    std::map<std::string, MonotonicTime> firstSeen;
    for (const std::string &incarnation : clusterState_.ownership().owners() | std::views::keys) {
        const auto known = ownersFirstSeen_.find(incarnation);
        firstSeen[incarnation] = known == ownersFirstSeen_.end() ? now : known->second;
    }
    const bool isSameSet = std::ranges::equal(firstSeen | std::views::keys, ownersFirstSeen_ | std::views::keys);
    ownersFirstSeen_ = std::move(firstSeen);
    if (!isSameSet) {
        broadcastOwnership();
    }
}

void EntryCore::broadcastOwnership()
{
    // A new owner can't start tasks until agents connect to it, so the map is pushed at once.
    wire::HeartbeatReply message;
    message.ownershipVersion = clusterState_.ownershipVersion();
    message.noteVersion = clusterState_.catalog().version;
    fillOwnership(message);
    for (const AgentView &agent : directory_.all() | std::views::values) {
        out_.add(SendToLink{agent.link, message});
    }
}

bool EntryCore::canReceiveShards(const std::string &owner, MonotonicTime now) const
{
    const auto firstSeen = ownersFirstSeen_.find(owner);
    return firstSeen != ownersFirstSeen_.end() && now - firstSeen->second >= options_.handoverDelay;
}

// --- Table results --------------------------------------------------------------------------

void EntryCore::onTableCallCompleted(const TableCallCompleted &event, MonotonicTime now)
{
    switch (event.caller) {
    case TableCaller::ClusterState:
        clusterState_.onResult(static_cast<ClusterStateCall>(event.callId), event.result, now);
        return;
    case TableCaller::Publisher:
        publisher_.onResult(event.result, now);
        return;
    case TableCaller::Registrar:
        registrar_.onTableResult(event.callId, event.result, now);
        registrar_.advance(now, out_);
        return;
    case TableCaller::Claims:
    case TableCaller::Recovery:
        owner_.onTableResult(event.caller, event.callId, event.result, now, out_);
        return;
    }
}

void EntryCore::rejoinAfterFencing()
{
    if (!owner_.consumeFencedFlag()) {
        return;
    }
    LocalOwner self = clusterState_.localOwner();
    self.incarnation = absl::StrCat(options_.incarnation, ".", ++rejoinCount_);
    clusterState_.setLocalOwner(std::move(self));
    clusterState_.requestPoll();
    lastFenceVersion_ = 0;
    lastOwnershipVersion_ = 0;
}

// --- Hand-over ------------------------------------------------------------------------------

void EntryCore::handOverShards(MonotonicTime now)
{
    const std::string &self = clusterState_.localOwner().incarnation;
    const std::vector<std::string> targets = clusterState_.ownership().handoverTargets(self);
    handoverTargets_.clear();
    if (draining_) {
        clusterState_.proposeDrain();
        size_t turn = 0;
        for (const int shard : clusterState_.ownership().shardsOf(self)) {
            handoverTargets_[shard] = targets.empty() ? std::string() : targets[turn++ % targets.size()];
        }
    } else {
        for (const std::string &target : targets) {
            const std::vector<int> surplus = canReceiveShards(target, now)
                ? clusterState_.ownership().shardsToHandOver(self, target)
                : std::vector<int>();
            std::ranges::for_each(surplus, [&](int shard) { handoverTargets_.try_emplace(shard, target); });
        }
    }
    std::vector<int> shards;
    std::ranges::copy(handoverTargets_ | std::views::keys, std::back_inserter(shards));
    owner_.beginDraining(shards);
    for (const int shard : owner_.idleDrainingShards()) {
        const auto target = handoverTargets_.find(shard);
        if (target != handoverTargets_.end() && !target->second.empty()) {
            clusterState_.proposeMoves({shard}, target->second);
        }
    }
}

void EntryCore::leaveWhenDrained()
{
    if (!draining_) {
        return;
    }
    const std::string &self = clusterState_.localOwner().incarnation;
    const bool isOwner = clusterState_.ownership().owners().contains(self);
    const bool hasPeers = !clusterState_.ownership().handoverTargets(self).empty();
    const bool hasShards = !clusterState_.ownership().shardsOf(self).empty();
    if (isOwner && owner_.activeJobs() == 0 && (!hasShards || !hasPeers)) {
        clusterState_.proposeRemoval();
    }
    if (!isOwner && router_.waiting() == 0 && pendingInForceReplies_.empty()) {
        out_.add(Stop{});
    }
}

void EntryCore::deliverLocal(const std::vector<LocalRequest> &requests, MonotonicTime now)
{
    for (const LocalRequest &request : requests) {
        onLinkMessage(LinkMessage{LocalLink, request.message}, now);
    }
}

void EntryCore::deliverReplies(MonotonicTime now)
{
    for (AddressedReply &message : owner_.takeReplies()) {
        if (message.link == LocalLink) {
            router_.onReply(std::string(), message.reply, now, out_);
        } else {
            out_.add(SendToLink{message.link, std::move(message.reply)});
        }
    }
}

} // namespace marjoramferry
