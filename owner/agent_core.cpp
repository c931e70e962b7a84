#include "owner/agent_core.h"

#include "core/error.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace marjoramferry {

namespace {

/** How long a call may outlast the job's deadline. A late task still occupies its slot at the endpoint. */
constexpr Milliseconds EndpointTimeoutGrace{60'000};

int64_t toMicroseconds(MonotonicTime time)
{
    return std::chrono::duration_cast<Microseconds>(time.time_since_epoch()).count();
}

MonotonicTime fromMicroseconds(int64_t count)
{
    return MonotonicTime(std::chrono::duration_cast<MonotonicTime::duration>(Microseconds(count)));
}

} // namespace

AgentCore::AgentCore(AgentIdentity identity, AgentTiming timing, StartRecordLimits limits)
    : identity_(std::move(identity))
    , timing_(timing)
    , starts_(limits)
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
                   [&](const DrainRequested &) { onDrainRequested(now); },
               },
               event);
    return std::exchange(out_, {});
}

void AgentCore::onTick(MonotonicTime now)
{
    starts_.expire(now);
    if (endpoint_ && now - lastAnnouncementAt_ > timing_.announcementTimeout) {
        out_.emplace_back(LogEvent{LogEvent::Level::Warning, "endpoint_lapsed", {{"endpoint", endpoint_->name}}});
        endpoint_.reset();
        markInfoChanged();
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
        peerStates_[from].hasAckedDrain = true;
    }
    // Apply the epochs before the registration: a registered agent must already refuse older epochs than these.
    for (const wire::ShardEpoch &each : reply.epochs) {
        starts_.fence(each.shard, each.epoch);
    }
    if (reply.registration != 0 && reply.registration != registration_) {
        registration_ = reply.registration;
        markInfoChanged();
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
                                   "note_applied",
                                   {{"version", absl::StrCat(catalog_.version)}, {"domain", identity_.domain}}});
    }
    if (reply.__isset.evidence) {
        onEvidence(reply.evidence, now);
    }
}

void AgentCore::onEvidence(const wire::Evidence &evidence, MonotonicTime now)
{
    // The evidence dates from the sending of the echoed message, minus its age when that message was received.
    const MonotonicTime at = fromMicroseconds(evidence.echoedSentAtUs) - Microseconds(evidence.ageUs);
    if (evidence.noteVersion == catalog_.version) {
        freshness_.confirm(evidence.noteVersion, std::min(now, at));
    }
}

void AgentCore::onStartTasks(const std::string &from, const wire::StartTasks &message, MonotonicTime now)
{
    if (starts_.fence(message.shard, message.epoch)) {
        reportAddresses_[message.shard] = from;
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
    if (const auto known = starts_.find(key, order)) {
        sendReport(from, key, *known, wire::RefusalKind::NONE, now);
        return;
    }
    const wire::RefusalKind::type refusal = refusalFor(message, now);
    if (refusal != wire::RefusalKind::NONE) {
        sendReport(from, key, StartStatus{}, refusal, now);
        return;
    }
    std::visit(Overloaded{
                   [&](const StartAdmitted &) {
                       running_[key] = RunningTask{message.shard, message.tenant, now};
                       const Milliseconds timeout = Milliseconds(message.remainingMs) + EndpointTimeoutGrace;
                       out_.emplace_back(CallEndpoint{key,
                                                      endpoint_->address,
                                                      message.tenant,
                                                      message.serviceName,
                                                      task.payload,
                                                      *freshness_.notAfter(),
                                                      timeout});
                   },
                   [&](const StartStatus &known) { sendReport(from, key, known, wire::RefusalKind::NONE, now); },
                   [&](const StartRefused &refused) { sendReport(from, key, StartStatus{}, refused.kind, now); },
               },
               starts_.admit(key, message.shard, order, now));
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
    if (!starts_.fence(message.shard, message.epoch)) {
        return;
    }
    reportAddresses_[message.shard] = from;
    for (const std::string &taskId : message.taskIds) {
        const TaskKey key{message.jobId, taskId};
        const StartOrder order{message.epoch, message.sequence};
        sendReport(from, key, starts_.resolve(key, message.shard, order, now), wire::RefusalKind::NONE, now);
    }
}

void AgentCore::onFence(const std::string &from, const wire::Fence &message)
{
    const bool isNewest
        = std::ranges::all_of(message.epochs, [&](const auto &each) { return starts_.fence(each.shard, each.epoch); });
    if (!isNewest || registration_ == 0) {
        return;
    }
    std::vector<int> shards;
    std::ranges::transform(message.epochs, std::back_inserter(shards), &wire::ShardEpoch::shard);
    std::ranges::for_each(shards, [&](int shard) { reportAddresses_[shard] = from; });
    wire::StartRecords reply;
    reply.requestId = message.requestId;
    reply.agent = identity_.name;
    reply.incarnation = identity_.incarnation;
    reply.registration = registration_;
    reply.records = starts_.recordsOf(shards);
    out_.emplace_back(SendToPeer{from, std::move(reply)});
}

void AgentCore::onAnnouncement(const EndpointAnnouncement &announcement, MonotonicTime now)
{
    const bool isChanged = !endpoint_ || *endpoint_ != announcement;
    endpoint_ = announcement;
    lastAnnouncementAt_ = now;
    if (!isChanged) {
        return;
    }
    out_.emplace_back(LogEvent{LogEvent::Level::Info,
                               announcement.leaving ? "endpoint_drain_started" : "endpoint_announced",
                               {{"endpoint", announcement.name}, {"domain", identity_.domain}}});
    markInfoChanged();
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
    starts_.finish(result.key, result.state, result.output, result.runMs);
    const auto outcome = result.state == wire::StartState::SUCCEEDED ? "succeeded" : "not_succeeded";
    out_.emplace_back(
        Observation{"task_seconds", task.tenant, outcome, std::chrono::duration<double>(now - task.startedAt).count()});
    const StartStatus state{result.state, result.output, false, result.runMs};
    const auto refusal
        = result.state == wire::StartState::REFUSED ? wire::RefusalKind::LEAVING : wire::RefusalKind::NONE;
    sendReport(reportAddresses_[task.shard], result.key, state, refusal, now);
    announceFreedSlots(now);
    stopIfFinished(now);
}

void AgentCore::onDrainRequested(MonotonicTime now)
{
    draining_ = true;
    sendToAll(now);
    out_.emplace_back(LogEvent{LogEvent::Level::Info, "draining", {{"running", absl::StrCat(running_.size())}}});
}

void AgentCore::markInfoChanged()
{
    ++infoVersion_;
}

void AgentCore::sendDueHeartbeats(MonotonicTime now)
{
    const std::vector<std::string> addresses = peerAddresses(now);
    for (const std::string &address : addresses) {
        const auto &last = peerStates_[address].lastSentAt;
        if (!last || now - *last >= timing_.heartbeatInterval) {
            sendHeartbeat(address, true, now);
        }
    }
    const auto evidenceAt = freshness_.evidenceAt();
    const bool needsRefresh = !evidenceAt || now - *evidenceAt >= timing_.evidenceRefreshAge;
    const bool canRequest = !evidenceRequestedAt_ || now - *evidenceRequestedAt_ >= timing_.evidenceRetryInterval;
    if (needsRefresh && canRequest) {
        requestEvidence(addresses, now);
    }
}

void AgentCore::requestEvidence(const std::vector<std::string> &addresses, MonotonicTime now)
{
    if (addresses.empty()) {
        return;
    }
    evidenceRequestedAt_ = now;
    // Rotate over the peers, so that a single unresponsive entry can't make the evidence expire.
    sendHeartbeat(addresses[nextEvidencePeer_++ % addresses.size()], true, now);
}

void AgentCore::announceFreedSlots(MonotonicTime now)
{
    const int free = freeSlots();
    for (const std::string &address : owners_) {
        const PeerState &state = peerStates_[address];
        const bool hasNewFreeSlot = state.freeSlotsSent == 0 && free > 0;
        if (hasNewFreeSlot && state.lastSentAt && now - *state.lastSentAt >= timing_.minFreedSlotInterval) {
            sendHeartbeat(address, false, now);
        }
    }
}

void AgentCore::sendToAll(MonotonicTime now)
{
    for (const std::string &address : peerAddresses(now)) {
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
    // AgentInfo is sent only if it changed since the last message to this peer; it has one version as a whole.
    if (state.infoVersionSent < infoVersion_) {
        heartbeat.__set_info(makeInfo());
        state.infoVersionSent = infoVersion_;
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

std::vector<std::string> AgentCore::peerAddresses(MonotonicTime now) const
{
    std::vector<std::string> addresses = owners_;
    if (owners_.empty() || !freshness_.isFresh(now)) {
        addresses.insert(addresses.end(), identity_.entries.begin(), identity_.entries.end());
        std::ranges::sort(addresses);
        const auto duplicates = std::ranges::unique(addresses);
        addresses.erase(duplicates.begin(), duplicates.end());
    }
    return addresses;
}

void AgentCore::sendReport(const std::string &to,
                           const TaskKey &key,
                           const StartStatus &state,
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
    // Messages to a peer arrive in order, so a reply to this heartbeat confirms receipt of all earlier ones.
    const bool allAcked
        = std::ranges::all_of(owners_, [&](const std::string &owner) { return peerStates_[owner].hasAckedDrain; });
    if (allAcked || now - *finishedAt_ >= timing_.drainAckTimeout) {
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
