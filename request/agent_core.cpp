#include "request/agent_core.h"

#include "core/error.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace marjoramferry {

namespace {

/** A late task still holds its slot at the endpoint, so its end is waited for beyond the deadline. */
constexpr Milliseconds EndpointGrace{60'000};

int64_t toMicroseconds(MonotonicTime time)
{
    return std::chrono::duration_cast<Microseconds>(time.time_since_epoch()).count();
}

MonotonicTime fromMicroseconds(int64_t count)
{
    return MonotonicTime(std::chrono::duration_cast<MonotonicTime::duration>(Microseconds(count)));
}

} // namespace

AgentCore::AgentCore(AgentIdentity identity, AgentTiming timing, StartRecordLimits memory)
    : identity_(std::move(identity))
    , timing_(timing)
    , gate_(memory)
    , freshness_(timing.maxEvidenceAge)
{
}

std::vector<AgentCommand> AgentCore::handle(const AgentEvent &event, MonotonicTime now)
{
    std::visit(Overloaded{
                   [&](const Tick &) { onTick(now); },
                   [&](const PeerMessage &each) { onPeerMessage(each, now); },
                   [&](const PeerClosed &each) { peerStates_.erase(each.address); },
                   [&](const EndpointAnnouncement &each) { onAnnouncement(each, now); },
                   [&](const EndpointResult &each) { onEndpointResult(each, now); },
                   [&](const DrainRequested &) { onDrain(now); },
               },
               event);
    return std::exchange(out_, {});
}

void AgentCore::onTick(MonotonicTime now)
{
    gate_.expire(now);
    if (endpoint_ && now - announcedAt_ > timing_.announcementTimeout) {
        out_.emplace_back(LogEvent{LogEvent::Level::Warning, "endpoint_lapsed", {{"endpoint", endpoint_->name}}});
        endpoint_.reset();
        noteInfoChanged();
    }
    sendDueHeartbeats(now);
    stopIfFinished(now);
}

void AgentCore::onPeerMessage(const PeerMessage &event, MonotonicTime now)
{
    std::visit(
        Overloaded{
            [&](const wire::HeartbeatReply &each) { onHeartbeatReply(event.address, each, now); },
            [&](const wire::StartTasks &each) { onStartTasks(event.address, each, now); },
            [&](const wire::ResolveTasks &each) { onResolveTasks(event.address, each, now); },
            [&](const wire::Fence &each) { onFence(event.address, each); },
            [&](const auto &) {
                out_.emplace_back(LogEvent{LogEvent::Level::Warning, "unexpected_message", {{"peer", event.address}}});
            },
        },
        event.message);
}

void AgentCore::onHeartbeatReply(const std::string &from, const wire::HeartbeatReply &reply, MonotonicTime now)
{
    if (finishedAt_ && reply.echoedSentAtUs >= toMicroseconds(*finishedAt_)) {
        peerStates_[from].knowsFinished = true;
    }
    // Epochs first: a registered agent has seen those in force when it was registered.
    for (const wire::ShardEpoch &each : reply.epochs) {
        gate_.fence(each.shard, each.epoch);
    }
    if (reply.registration != 0 && reply.registration != registration_) {
        registration_ = reply.registration;
        noteInfoChanged();
        sendToAll(now);
    }
    if (reply.__isset.owners && reply.ownershipVersion > ownershipVersion_) {
        ownershipVersion_ = reply.ownershipVersion;
        owners_.clear();
        std::ranges::transform(reply.owners, std::back_inserter(owners_), &wire::OwnerAddress::address);
    }
    if (reply.__isset.catalog && reply.noteVersion > catalog_.version) {
        try {
            catalog_ = Catalog::fromJson(reply.catalog);
        } catch (const Error &error) {
            out_.emplace_back(LogEvent{LogEvent::Level::Warning, "catalog_refused", {{"reason", error.what()}}});
            return;
        }
        out_.emplace_back(LogEvent{LogEvent::Level::Info,
                                   "note_in_force",
                                   {{"version", absl::StrCat(catalog_.version)}, {"domain", identity_.domain}}});
    }
    if (reply.__isset.evidence) {
        onEvidence(reply.evidence, now);
    }
}

void AgentCore::onEvidence(const wire::Evidence &evidence, MonotonicTime now)
{
    // Evidence counts from when this agent asked, less the age that it had when the question came in.
    const MonotonicTime at = fromMicroseconds(evidence.echoedSentAtUs) - Microseconds(evidence.ageUs);
    if (evidence.noteVersion == catalog_.version) {
        freshness_.confirm(evidence.noteVersion, std::min(now, at));
    }
}

void AgentCore::onStartTasks(const std::string &from, const wire::StartTasks &message, MonotonicTime now)
{
    if (gate_.fence(message.shard, message.epoch)) {
        reporters_[message.shard] = from;
    }
    if (message.__isset.evidence) {
        onEvidence(message.evidence, now);
    }
    for (const wire::Task &task : message.tasks) {
        startTask(from, message, task, now);
    }
}

void AgentCore::startTask(const std::string &from,
                          const wire::StartTasks &message,
                          const wire::Task &task,
                          MonotonicTime now)
{
    ++peerStates_[from].startsSeen;
    const TaskKey key{message.jobId, task.taskId};
    const StartOrder order{message.epoch, message.sequence};
    if (const auto known = gate_.find(key, order)) {
        report(from, key, *known, wire::RefusalKind::NONE, now);
        return;
    }
    const wire::RefusalKind::type refusal = refusalFor(message, now);
    if (refusal != wire::RefusalKind::NONE) {
        report(from, key, StartKnown{}, refusal, now);
        return;
    }
    std::visit(Overloaded{
                   [&](const StartAdmitted &) {
                       running_[key] = RunningTask{message.shard, message.tenant, now};
                       const Milliseconds patience = Milliseconds(message.remainingMs) + EndpointGrace;
                       out_.emplace_back(CallEndpoint{key,
                                                      endpoint_->address,
                                                      message.tenant,
                                                      message.serviceName,
                                                      task.payload,
                                                      *freshness_.notAfter(),
                                                      patience});
                   },
                   [&](const StartKnown &known) { report(from, key, known, wire::RefusalKind::NONE, now); },
                   [&](const StartRefused &refused) { report(from, key, StartKnown{}, refused.kind, now); },
               },
               gate_.admit(key, message.shard, order, now));
}

wire::RefusalKind::type AgentCore::refusalFor(const wire::StartTasks &message, MonotonicTime now) const
{
    if (message.incarnation != identity_.incarnation) {
        return wire::RefusalKind::OTHER_INCARNATION;
    }
    if (!endpoint_ || isLeaving()) {
        return wire::RefusalKind::LEAVING;
    }
    if (registration_ == 0 || !freshness_.isFresh(now)) {
        return wire::RefusalKind::NOT_FRESH;
    }
    if (message.serviceName != endpoint_->service
        || !catalog_.isStartAllowed(message.serviceName, endpoint_->name, identity_.domain)) {
        return wire::RefusalKind::WITHDRAWN;
    }
    if (message.remainingMs <= 0) {
        return wire::RefusalKind::LATE;
    }
    if (freeSlots() <= 0) {
        return wire::RefusalKind::NO_SLOT;
    }
    return wire::RefusalKind::NONE;
}

void AgentCore::onResolveTasks(const std::string &from, const wire::ResolveTasks &message, MonotonicTime now)
{
    if (!gate_.fence(message.shard, message.epoch)) {
        return;
    }
    reporters_[message.shard] = from;
    for (const std::string &taskId : message.taskIds) {
        const TaskKey key{message.jobId, taskId};
        const StartOrder order{message.epoch, message.sequence};
        report(from, key, gate_.resolve(key, message.shard, order, now), wire::RefusalKind::NONE, now);
    }
}

void AgentCore::onFence(const std::string &from, const wire::Fence &message)
{
    const bool isNewest
        = std::ranges::all_of(message.epochs, [&](const auto &each) { return gate_.fence(each.shard, each.epoch); });
    if (!isNewest || registration_ == 0) {
        return;
    }
    std::vector<int> shards;
    std::ranges::transform(message.epochs, std::back_inserter(shards), &wire::ShardEpoch::shard);
    std::ranges::for_each(shards, [&](int shard) { reporters_[shard] = from; });
    wire::StartRecords reply;
    reply.requestId = message.requestId;
    reply.agent = identity_.name;
    reply.incarnation = identity_.incarnation;
    reply.registration = registration_;
    reply.records = gate_.recordsOf(shards);
    out_.emplace_back(SendToPeer{from, std::move(reply)});
}

void AgentCore::onAnnouncement(const EndpointAnnouncement &announcement, MonotonicTime now)
{
    const bool isNews = !endpoint_ || *endpoint_ != announcement;
    endpoint_ = announcement;
    announcedAt_ = now;
    if (!isNews) {
        return;
    }
    out_.emplace_back(LogEvent{LogEvent::Level::Info,
                               announcement.leaving ? "endpoint_leaving" : "endpoint_announced",
                               {{"endpoint", announcement.name}, {"domain", identity_.domain}}});
    noteInfoChanged();
    sendToAll(now);
}

void AgentCore::onEndpointResult(const EndpointResult &result, MonotonicTime now)
{
    const auto found = running_.find(result.key);
    if (found == running_.end()) {
        return;
    }
    const RunningTask task = found->second;
    running_.erase(found);
    gate_.finish(result.key, result.state, result.output, result.runMs);
    const auto outcome = result.state == wire::StartState::SUCCEEDED ? "succeeded" : "not_succeeded";
    out_.emplace_back(
        Observation{"task_seconds", task.tenant, outcome, std::chrono::duration<double>(now - task.startedAt).count()});
    const StartKnown state{result.state, result.output, false, result.runMs};
    const auto refusal
        = result.state == wire::StartState::REFUSED ? wire::RefusalKind::LEAVING : wire::RefusalKind::NONE;
    report(reporters_[task.shard], result.key, state, refusal, now);
    tellFreedSlot(now);
    stopIfFinished(now);
}

void AgentCore::onDrain(MonotonicTime now)
{
    draining_ = true;
    sendToAll(now);
    out_.emplace_back(LogEvent{LogEvent::Level::Info, "draining", {{"running", absl::StrCat(running_.size())}}});
}

void AgentCore::noteInfoChanged()
{
    ++infoVersion_;
}

void AgentCore::sendDueHeartbeats(MonotonicTime now)
{
    const std::vector<std::string> addresses = peers(now);
    for (const std::string &address : addresses) {
        const auto &last = peerStates_[address].lastSentAt;
        if (!last || now - *last >= timing_.heartbeatInterval) {
            sendHeartbeat(address, true, now);
        }
    }
    const auto evidenceAt = freshness_.evidenceAt();
    const bool isAgeing = !evidenceAt || now - *evidenceAt >= timing_.evidenceRefresh;
    const bool mayAsk = !askedAt_ || now - *askedAt_ >= timing_.evidenceRetry;
    if (isAgeing && mayAsk) {
        askForEvidence(addresses, now);
    }
}

void AgentCore::askForEvidence(const std::vector<std::string> &addresses, MonotonicTime now)
{
    if (addresses.empty()) {
        return;
    }
    askedAt_ = now;
    // Another entry each time, so that one that is stuck does not cost this agent its freshness.
    sendHeartbeat(addresses[nextAsked_++ % addresses.size()], true, now);
}

void AgentCore::tellFreedSlot(MonotonicTime now)
{
    const int free = freeSlots();
    for (const std::string &address : owners_) {
        const PeerState &state = peerStates_[address];
        const bool isNews = state.freeSlotsSent == 0 && free > 0;
        if (isNews && state.lastSentAt && now - *state.lastSentAt >= timing_.freedPause) {
            sendHeartbeat(address, false, now);
        }
    }
}

void AgentCore::sendToAll(MonotonicTime now)
{
    for (const std::string &address : peers(now)) {
        sendHeartbeat(address, true, now);
    }
}

wire::AgentInfo AgentCore::makeInfo() const
{
    wire::AgentInfo info;
    info.incarnation = identity_.incarnation;
    info.domain = identity_.domain;
    info.registration = registration_;
    if (endpoint_) {
        info.endpoint = endpoint_->name;
        info.serviceName = endpoint_->service;
        info.slots = endpoint_->slots;
        info.capacity = endpoint_->capacity;
    }
    return info;
}

void AgentCore::sendHeartbeat(const std::string &address, bool wantsReply, MonotonicTime now)
{
    PeerState &state = peerStates_[address];
    wire::Heartbeat heartbeat;
    heartbeat.agent = identity_.name;
    // Only what changed since the last message to this peer is sent; one version for all of the info does.
    if (state.infoSent < infoVersion_) {
        heartbeat.__set_info(makeInfo());
        state.infoSent = infoVersion_;
    }
    heartbeat.freeSlots = freeSlots();
    heartbeat.sentAtUs = toMicroseconds(now);
    heartbeat.noteVersion = catalog_.version;
    heartbeat.ownershipVersion = ownershipVersion_;
    heartbeat.leaving = isLeaving();
    heartbeat.startsSeen = state.startsSeen;
    heartbeat.finished = draining_ && running_.empty();
    heartbeat.wantsReply = wantsReply;
    state.freeSlotsSent = heartbeat.freeSlots;
    state.lastSentAt = now;
    out_.emplace_back(SendToPeer{address, std::move(heartbeat)});
}

std::vector<std::string> AgentCore::peers(MonotonicTime now) const
{
    std::vector<std::string> addresses = owners_;
    if (owners_.empty() || !freshness_.isFresh(now)) {
        addresses.insert(addresses.end(), identity_.entries.begin(), identity_.entries.end());
        std::ranges::sort(addresses);
        const auto doubled = std::ranges::unique(addresses);
        addresses.erase(doubled.begin(), doubled.end());
    }
    return addresses;
}

void AgentCore::report(const std::string &to,
                       const TaskKey &key,
                       const StartKnown &state,
                       wire::RefusalKind::type refusal,
                       MonotonicTime now)
{
    PeerState &peer = peerStates_[to];
    wire::TaskReport message;
    message.jobId = key.jobId;
    message.taskId = key.taskId;
    message.state = state.state;
    message.refusal = refusal;
    message.output = state.output;
    message.outputDropped = state.outputDropped;
    message.runMs = state.runMs;
    message.freeSlots = freeSlots();
    message.agent = identity_.name;
    message.startsSeen = peer.startsSeen;
    message.sentAtUs = toMicroseconds(now);
    peer.freeSlotsSent = message.freeSlots;
    peer.lastSentAt = now;
    out_.emplace_back(SendToPeer{to, std::move(message)});
}

void AgentCore::stopIfFinished(MonotonicTime now)
{
    if (!draining_ || !running_.empty()) {
        return;
    }
    if (!finishedAt_) {
        finishedAt_ = now;
        sendToAll(now);
    }
    // Messages keep their order, so the answer to this heartbeat says that all before it arrived.
    const bool allKnow
        = std::ranges::all_of(owners_, [&](const std::string &owner) { return peerStates_[owner].knowsFinished; });
    if (allKnow || now - *finishedAt_ >= timing_.farewell) {
        out_.emplace_back(Stop{});
    }
}

int AgentCore::freeSlots() const
{
    if (!endpoint_ || isLeaving()) {
        return 0;
    }
    return std::max(0, endpoint_->slots - static_cast<int>(running_.size()));
}

bool AgentCore::isLeaving() const
{
    return draining_ || !endpoint_ || endpoint_->leaving;
}

} // namespace marjoramferry
