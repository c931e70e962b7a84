#include "request/entry_core.h"

#include "core/error.h"
#include "core/shard.h"
#include "request/evidence.h"

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <ranges>
#include <utility>

namespace marjoramferry {

using nlohmann::json;

namespace {

/** Pace of what may wait a little and looks at every agent or shard. */
constexpr Milliseconds HousekeepingPeriod{50};
constexpr int StatusOk = 200;
constexpr int StatusCreated = 201;
constexpr int StatusMalformed = 400;
constexpr int StatusNotFound = 404;
constexpr int StatusConflict = 409;
constexpr int StatusTooLarge = 413;
constexpr int StatusUnavailable = 503;
constexpr int BusyRetryAfterMs = 1000;
constexpr std::string_view JobsPath = "/v1/jobs/";
constexpr std::string_view DomainsPath = "/v1/domains/";

int statusOf(ErrorKind kind)
{
    switch (kind) {
    case ErrorKind::TooLarge:
        return StatusTooLarge;
    case ErrorKind::Conflict:
        return StatusConflict;
    case ErrorKind::NotFound:
        return StatusNotFound;
    case ErrorKind::Unavailable:
        return StatusUnavailable;
    default:
        return StatusMalformed;
    }
}

std::string firstIncarnation(const EntryOptions &options)
{
    return options.incarnation + ".0";
}

} // namespace

EntryCore::EntryCore(EntryOptions options)
    : options_(std::move(options))
    , keeper_(LocalOwner{firstIncarnation(options_), Owner{options_.name, options_.address}}, options_.keeper)
    , publisher_(options_.incarnation, options_.publisher)
    , directory_(options_.directory)
    , owner_(options_.owner, keeper_, directory_, makePlacementPolicy(options_.placement, options_.seed))
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
                       [&](const TableCallCompleted &each) { onTableDone(each, time.now); },
                       [&](const DrainRequested &) { draining_ = true; },
                   },
                   event);
        afterEvent(time);
    } catch (const Error &error) {
        out_.log(LogEvent::Level::Warning, "event_refused", {{"reason", error.what()}});
    }
    return out_.take();
}

void EntryCore::onTick(EventTime time)
{
    owner_.onTick(time.now, out_);
    deliverLocal(router_.advance(keeper_.ownership(), keeper_.localOwner().incarnation, time.now, out_), time.now);
    if (time.now < nextHousekeeping_) {
        return;
    }
    nextHousekeeping_ = time.now + HousekeepingPeriod;
    for (const AgentView &agent : directory_.removeTimedOut(time.now)) {
        out_.log(LogEvent::Level::Warning, "agent_silent", {{"agent", agent.name}, {"domain", agent.domain}});
        owner_.onAgentLost(agent, time.now);
    }
    registrar_.advance(time.now, out_);
    answerInForce(time.now);
    handOverShards(time.now);
    leaveWhenDrained();
}

void EntryCore::afterEvent(EventTime time)
{
    rejoinAfterDeposition();
    const bool hasNews
        = keeper_.ownershipVersion() != seenOwnership_ || (seenFence_ == 0 && keeper_.localFenceVersion() != 0);
    if (hasNews) {
        seenOwnership_ = keeper_.ownershipVersion();
        seenFence_ = keeper_.localFenceVersion();
        onOwnershipNews(time.now);
    }
    deliverLocal(router_.sendNew(keeper_.ownership(), keeper_.localOwner().incarnation, time.now, out_), time.now);
    for (ClusterStateRequest &request : keeper_.dueRequests(time.now, time.wallMs)) {
        out_.add(TableCall{TableCaller::Versions, static_cast<int64_t>(request.call), std::move(request.request)});
    }
    if (auto request = publisher_.nextRequest(keeper_, time.now)) {
        out_.add(TableCall{TableCaller::Publisher, 0, std::move(*request)});
    }
    answerPublications();
    owner_.advance(time.now, out_);
    deliverReplies(time.now);
}

// --- HTTP -----------------------------------------------------------------------------------

void EntryCore::onHttp(const HttpRequest &request, MonotonicTime now)
{
    try {
        if (onFixedPath(request, now) || onJobPath(request, now) || onDomainPath(request, now)) {
            return;
        }
        throw Error(
            ErrorKind::NotFound, request.method + " " + request.path, "is no call here", "see the HTTP contract");
    } catch (const Error &error) {
        replyError(request.token, error);
    }
}

bool EntryCore::onFixedPath(const HttpRequest &request, MonotonicTime now)
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
        const bool isReady = !draining_ && keeper_.isFresh(now) && !keeper_.ownership().owners().empty();
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
        // This entry can't know whether the same job came in elsewhere, so it says nothing of what ran.
        const json error = {{"kind", "entry_full"},
                            {"message", "this entry holds as many requests as it may; come back later"},
                            {"retry_after_ms", BusyRetryAfterMs}};
        const json body = {{"job_id", job.jobId}, {"status", "failed"}, {"error", error}};
        reply(request.token, StatusUnavailable, body.dump(), BusyRetryAfterMs);
        return;
    }
    router_.submit(request.token, std::move(job), now);
}

bool EntryCore::onJobPath(const HttpRequest &request, MonotonicTime now)
{
    const bool isCancel = request.method == "DELETE";
    if (!request.path.starts_with(JobsPath) || (!isCancel && request.method != "GET")) {
        return false;
    }
    router_.lookup(request.token, request.path.substr(JobsPath.size()), isCancel, now);
    return true;
}

bool EntryCore::onDomainPath(const HttpRequest &request, MonotonicTime now)
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

void EntryCore::answerPublications()
{
    for (const PublicationResult &result : publisher_.takeResults()) {
        const uint64_t token = result.publication.token;
        switch (result.outcome) {
        case PublicationOutcome::Accepted:
            keeper_.requestPoll();
            out_.log(LogEvent::Level::Info, "note_accepted", {{"version", absl::StrCat(result.version)}});
            if (result.publication.retryOnConflict) {
                const Milliseconds bound = options_.keeper.maxEvidenceAge + options_.inForceMargin;
                inForceWaits_.push_back(InForceWait{token, result.version, result.committedBy + bound});
            } else {
                reply(token, StatusCreated, json{{"version", result.version}}.dump());
            }
            break;
        case PublicationOutcome::Conflict:
            reply(token,
                  StatusConflict,
                  json{{"error",
                        {{"kind", "conflict"}, {"message", "another note won; read it and write yours against it"}}},
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
                R"({"error":{"kind":"not_fresh","message":"the table service can't be read; nothing was published"}})",
                BusyRetryAfterMs);
            break;
        case PublicationOutcome::Unknown:
            reply(
                token,
                StatusUnavailable,
                R"({"error":{"kind":"unknown","message":"the note may be accepted; read /v1/notes/current before publishing again"}})",
                BusyRetryAfterMs);
            break;
        }
    }
}

void EntryCore::answerInForce(MonotonicTime now)
{
    const auto isDue = [&](const InForceWait &wait) { return now >= wait.inForceAt; };
    for (const InForceWait &wait : inForceWaits_ | std::views::filter(isDue)) {
        json behind = json::array();
        for (const AgentView &agent : directory_.all() | std::views::values) {
            if (agent.noteVersion < wait.version) {
                behind.push_back(agent.name);
            }
        }
        // An agent that did not hear of the version has no fresh evidence by now, so it starts nothing.
        reply(wait.token,
              StatusOk,
              json{{"version", wait.version}, {"in_force", true}, {"stopped_until_they_hear", behind}}.dump());
    }
    std::erase_if(inForceWaits_, isDue);
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
        if (agent.noteVersion < keeper_.catalog().version) {
            behind.push_back(agent.name);
        }
    }
    return json{{"catalog", json::parse(keeper_.catalog().toJson())}, {"behind", behind}}.dump();
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
    for (const auto &[incarnation, owner] : keeper_.ownership().owners()) {
        owners.push_back({{"owner", owner.name},
                          {"incarnation", incarnation},
                          {"address", owner.address},
                          {"shards", keeper_.ownership().shardsOf(incarnation).size()}});
    }
    const auto evidence = keeper_.freshness().evidenceAt();
    return json{{"entry", options_.name},
                {"fresh", keeper_.isFresh(now)},
                {"evidence_age_ms", evidence ? json(millisecondsBetween(*evidence, now)) : json()},
                {"note_version", keeper_.catalog().version},
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
        out_.log(LogEvent::Level::Warning, "agent_cut_off", {{"agent", agent->name}, {"domain", agent->domain}});
        owner_.onAgentLost(*agent, now);
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
        owner_.onAgentLost(*replaced, now);
    }
    if (isNew || replaced) {
        out_.log(LogEvent::Level::Info,
                 "agent_announced",
                 {{"agent", agent->name}, {"endpoint", agent->endpoint}, {"domain", agent->domain}});
        owner_.onAgentBack(*agent, now, out_);
    }
    if (agent->registration == 0 || heartbeat.finished) {
        registrar_.request(agent->name, agent->incarnation, heartbeat.finished);
        registrar_.advance(now, out_);
    }
    if (heartbeat.noteVersion > keeper_.catalog().version) {
        keeper_.requestPoll();
    }
    if (heartbeat.wantsReply) {
        replyToHeartbeat(*agent, heartbeat, now);
    }
}

void EntryCore::replyToHeartbeat(const AgentView &agent, const wire::Heartbeat &heartbeat, MonotonicTime now)
{
    wire::HeartbeatReply message;
    message.noteVersion = keeper_.catalog().version;
    message.echoedSentAtUs = heartbeat.sentAtUs;
    if (const auto evidence = evidenceFor(agent, keeper_, now)) {
        message.__set_evidence(*evidence);
    }
    if (heartbeat.noteVersion < keeper_.catalog().version) {
        message.__set_catalog(keeper_.catalog().toJson());
    }
    message.ownershipVersion = keeper_.ownershipVersion();
    const auto registration = registrar_.find(agent.name, agent.incarnation);
    const bool isGranted
        = registration && agent.registration == 0 && keeper_.ownershipVersion() >= registration->ownershipVersion;
    if (isGranted) {
        message.registration = registration->version;
    }
    if (isGranted || heartbeat.ownershipVersion < keeper_.ownershipVersion()) {
        fillOwnership(message);
    }
    out_.add(SendToLink{agent.link, std::move(message)});
}

void EntryCore::fillOwnership(wire::HeartbeatReply &message) const
{
    std::vector<wire::OwnerAddress> owners;
    for (const auto &[incarnation, owner] : keeper_.ownership().owners()) {
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
        epoch.epoch = keeper_.ownership().shard(index).epoch;
        epochs.push_back(epoch);
    }
    message.__set_owners(owners);
    message.__set_epochs(epochs);
}

void EntryCore::onOwnershipNews(MonotonicTime now)
{
    owner_.onOwnership(now, out_);
    std::map<std::string, MonotonicTime> since;
    for (const std::string &incarnation : keeper_.ownership().owners() | std::views::keys) {
        const auto known = ownersSince_.find(incarnation);
        since[incarnation] = known == ownersSince_.end() ? now : known->second;
    }
    const bool isSameSet = std::ranges::equal(since | std::views::keys, ownersSince_ | std::views::keys);
    ownersSince_ = std::move(since);
    if (!isSameSet) {
        tellAgentsOfOwners();
    }
}

void EntryCore::tellAgentsOfOwners()
{
    // A new owner is of use only when agents know it, so they are not left to ask.
    wire::HeartbeatReply message;
    message.ownershipVersion = keeper_.ownershipVersion();
    message.noteVersion = keeper_.catalog().version;
    fillOwnership(message);
    for (const AgentView &agent : directory_.all() | std::views::values) {
        out_.add(SendToLink{agent.link, message});
    }
}

bool EntryCore::isSettled(const std::string &owner, MonotonicTime now) const
{
    const auto since = ownersSince_.find(owner);
    return since != ownersSince_.end() && now - since->second >= options_.settling;
}

// --- The table service ------------------------------------------------------------------------

void EntryCore::onTableDone(const TableCallCompleted &event, MonotonicTime now)
{
    switch (event.caller) {
    case TableCaller::Versions:
        keeper_.onResult(static_cast<ClusterStateCall>(event.callId), event.result, now);
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

void EntryCore::rejoinAfterDeposition()
{
    if (!owner_.takeDeposed()) {
        return;
    }
    LocalOwner self = keeper_.localOwner();
    self.incarnation = absl::StrCat(options_.incarnation, ".", ++incarnations_);
    keeper_.setLocalOwner(std::move(self));
    keeper_.requestPoll();
    seenFence_ = 0;
    seenOwnership_ = 0;
}

// --- Hand-over --------------------------------------------------------------------------------

void EntryCore::handOverShards(MonotonicTime now)
{
    const std::string &self = keeper_.localOwner().incarnation;
    const std::vector<std::string> heirs = keeper_.ownership().handoverTargets(self);
    handOver_.clear();
    if (draining_) {
        keeper_.proposeDrain();
        size_t turn = 0;
        for (const int shard : keeper_.ownership().shardsOf(self)) {
            handOver_[shard] = heirs.empty() ? std::string() : heirs[turn++ % heirs.size()];
        }
    } else {
        for (const std::string &heir : heirs) {
            const std::vector<int> surplus
                = isSettled(heir, now) ? keeper_.ownership().shardsToHandOver(self, heir) : std::vector<int>();
            std::ranges::for_each(surplus, [&](int shard) { handOver_.try_emplace(shard, heir); });
        }
    }
    std::vector<int> shards;
    std::ranges::copy(handOver_ | std::views::keys, std::back_inserter(shards));
    owner_.refuseNew(shards);
    for (const int shard : owner_.idleRefusingShards()) {
        const auto heir = handOver_.find(shard);
        if (heir != handOver_.end() && !heir->second.empty()) {
            keeper_.proposeMoves({shard}, heir->second);
        }
    }
}

void EntryCore::leaveWhenDrained()
{
    if (!draining_) {
        return;
    }
    const std::string &self = keeper_.localOwner().incarnation;
    const bool isOwner = keeper_.ownership().owners().contains(self);
    const bool hasPeers = !keeper_.ownership().handoverTargets(self).empty();
    const bool hasShards = !keeper_.ownership().shardsOf(self).empty();
    if (isOwner && owner_.activeJobs() == 0 && (!hasShards || !hasPeers)) {
        keeper_.proposeRemoval();
    }
    if (!isOwner && router_.waiting() == 0 && inForceWaits_.empty()) {
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
    for (OwnerMessage &message : owner_.takeReplies()) {
        if (message.link == LocalLink) {
            router_.onReply(std::string(), message.reply, now, out_);
        } else {
            out_.add(SendToLink{message.link, std::move(message.reply)});
        }
    }
}

} // namespace marjoramferry
