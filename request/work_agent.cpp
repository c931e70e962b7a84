#include "request/work_agent.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace marjoramferry {

namespace {

/** Minimum interval between two reads of the operator state on behalf of entries that can't reach the store. */
constexpr Milliseconds OperatorReadInterval{400};
/**
 * An entry that can reach the store is sent a newer operator state only this long after it was received here, since
 * the entry normally receives it from the store at the same time.
 */
constexpr Milliseconds OperatorRelayDelay{500};
/** Interval between requests for a newer operator state, each to another entry. */
constexpr Milliseconds OperatorRequestInterval{300};
/** Remaining runs are stopped this long before the process exits, so that their ends still reach the entries. */
constexpr Milliseconds StopRunsBeforeExit{500};

/** The name of the status of a crash in metrics. */
const char *nameOf(wire::CrashStatus::type status)
{
    switch (status) {
    case wire::CrashStatus::DETECTED:
        return "crashed";
    case wire::CrashStatus::SUSPECTED:
        return "suspected";
    case wire::CrashStatus::RETRACTED:
        return "retracted";
    }
    return "unknown";
}
/** Share of the worker's capacity below which another order may not fit. */
constexpr double LowCapacityShare = 0.2;

} // namespace

WorkAgent::WorkAgent(WorkAgentOptions options)
    : options_(std::move(options))
    , entryLiveness_(options_.entryTimeout)
    , supervisor_(options_.worker, options_.initialFence, entryLiveness_)
    , entryListReads_(options_.entryListPollInterval, options_.entryListPollInterval, retrySeed(options_.incarnation))
{
    std::ranges::for_each(options_.seedAddresses, [this](const std::string &address) { addEntry(address); });
}

void WorkAgent::handle(const WorkAgentEvent &event, MonotonicTime now)
{
    std::visit(Overloaded{
                   [&](const Tick &) { onTick(now); },
                   [&](const PeerMessage &each) { onEntryBatch(each, now); },
                   [&](const PeerClosed &each) { onPeerClosed(each, now); },
                   [&](const WorkerAnnouncement &each) { supervisor_.handleAnnouncement(each, now); },
                   [&](const WorkerDeparture &each) { supervisor_.handleDeparture(each, now); },
                   [&](const WorkerReply &each) { supervisor_.handleReply(each, now); },
                   [&](const EntriesRead &each) {
                       std::ranges::for_each(each.addresses, [this](const auto &address) { addEntry(address); });
                   },
                   [&](const OperatorStateRead &each) { applyOperatorState(each.state, now); },
                   [&](const DrainRequested &) { onDrain(now); },
               },
               event);
}

std::vector<WorkAgentCommand> WorkAgent::flush(MonotonicTime now)
{
    dispatchSupervisorOutput(now);
    Report report{supervisor_.state(), supervisor_.freeCapacity(), supervisor_.hasUnknownRuns()};
    const Demand free = fromWire(report.freeCapacity.unclaimed);
    offers_.update(report.freeCapacity.takesRuns ? free : Demand(), now);
    std::ranges::move(offers_.takeLogs(), std::back_inserter(commands_));
    const auto isConnected = [](const auto &each) { return each.second.isConnected; };
    connectedEntries_ = static_cast<int>(std::ranges::count_if(entries_, isConnected));
    activeEntries_ = static_cast<int>(
        std::ranges::count_if(entries_, [&](const auto &each) { return isConnected(each) && !each.second.isStandby; }));
    for (auto &[address, entry] : entries_) {
        report.freeCapacity.unclaimed = toWire(offers_.visibleTo(address, free));
        sendIfDue(address, entry, report, now);
    }
    stopWhenDone(now);
    return std::exchange(commands_, {});
}

void WorkAgent::dispatchSupervisorOutput(MonotonicTime now)
{
    WorkerSupervisor::Output output = supervisor_.takeOutput();
    for (WorkerCrash &crash : output.crashes) {
        commands_.emplace_back(Observation{"worker_crashes", "", nameOf(crash.status), 0});
        crashLog_.add(std::move(crash), now);
    }
    for (const EndedRun &ended : output.ends) {
        commands_.emplace_back(Observation{
            "run_seconds", wire::_RunOutcome_VALUES_TO_NAMES.at(ended.outcome), ended.reason, ended.ranMs / 1000.0});
        const auto orderingEntry = std::ranges::find_if(entries_, [&](const auto &each) {
            return each.second.incarnation == ended.orderId.entryIncarnation
                && each.second.session == ended.orderId.session;
        });
        if (orderingEntry == entries_.end()) {
            continue; // The entry has abandoned the run.
        }
        wire::RunEnd end;
        end.runNumber = ended.orderId.runNumber;
        end.outcome = ended.outcome;
        end.reason = ended.reason;
        end.ranMs = ended.ranMs;
        orderingEntry->second.ends.add(std::move(end));
    }
    std::ranges::move(output.logs, std::back_inserter(commands_));
    std::ranges::move(output.calls, std::back_inserter(commands_));
}

void WorkAgent::addEntry(const std::string &address)
{
    if (entries_.contains(address)) {
        return;
    }
    log(LogEvent::Level::Info, "entry_discovered", {{"entry", address}});
    const uint64_t seed = retrySeed(absl::StrCat(options_.incarnation, "/", address));
    entries_.try_emplace(address, RetrySchedule(options_.reconnectDelay, options_.maxReconnectDelay, seed));
}

void WorkAgent::onEntryBatch(const PeerMessage &event, MonotonicTime now)
{
    const auto *batch = std::get_if<wire::EntryBatch>(&event.message);
    const auto found = entries_.find(event.address);
    if (batch == nullptr || found == entries_.end() || batch->agentIncarnation != options_.incarnation) {
        return;
    }
    supervisor_.handleEarlierFence(batch->fence, now);
    Entry &entry = found->second;
    if (batch->incarnation == entry.incarnation && batch->session < entry.session) {
        return;
    }
    if (batch->incarnation != entry.incarnation || batch->session > entry.session) {
        beginSession(event.address, entry, *batch, now);
    }
    // Messages of the entry may arrive although it receives none. An entry on standby echoes rarely.
    const bool endsStandby = entry.isStandby && !batch->standby;
    const MonotonicTime echoedAt{Microseconds(batch->echoedUs)};
    if (!entry.isConnected || endsStandby || echoedAt > entryLiveness_.lastEcho(entry.incarnation)) {
        entry.lastRoundTripAt = now;
    }
    if (!entry.isConnected) {
        entry.isConnected = true;
        entry.reconnects.reset();
        log(LogEvent::Level::Info, "entry_connected", {{"entry", event.address}, {"incarnation", batch->incarnation}});
    }
    entryLiveness_.recordEcho(entry.incarnation, entry.session, echoedAt);
    entry.operatorPosition = batch->operatorPosition;
    entry.wantsOperatorState = batch->wantsOperatorState;
    if (endsStandby) {
        entry.lastSentAt = MonotonicTime(); // The entry orders runs only after it has received the current state.
    }
    entry.isStandby = batch->standby;
    recordWaitingWork(event.address, *batch, now);
    entry.ends.acknowledge(batch->acknowledged);
    if (entryLiveness_.isAlive(entry.incarnation, now)) {
        entry.isExpired = false;
    }
    const size_t duplicateCount = entry.instructions.acceptBatch(batch->firstSequence, batch->instructions.size());
    for (size_t i = duplicateCount; i < batch->instructions.size(); ++i) {
        const wire::RunInstruction &instruction = batch->instructions[i];
        if (instruction.__isset.order) {
            acceptOrder(entry, *batch, instruction.order, now);
        } else if (instruction.__isset.withdrawal) {
            supervisor_.withdrawRun(RunOrderId{entry.incarnation, entry.session, instruction.withdrawal.runNumber},
                                    now);
        }
    }
    if (batch->__isset.operatorState) {
        applyOperatorState(batch->operatorState, now);
    }
    std::ranges::for_each(batch->entries, [this](const auto &address) { addEntry(address); });
    if (batch->wantsOperatorState && now - operatorStateReadAt_ > OperatorReadInterval) {
        operatorStateReadAt_ = now;
        commands_.emplace_back(ReadOperatorState{});
    }
}

void WorkAgent::recordWaitingWork(const std::string &address, const wire::EntryBatch &batch, MonotonicTime now)
{
    if (!options_.offers) {
        return;
    }
    if (std::ranges::any_of(batch.instructions, [](const auto &each) { return each.__isset.order; })) {
        offers_.recordOrder(address);
    }
    offers_.recordWaiting(address, batch.__isset.waiting ? std::optional(batch.waiting) : std::nullopt, now);
}

void WorkAgent::beginSession(const std::string &address, Entry &entry, const wire::EntryBatch &batch, MonotonicTime now)
{
    if (!entry.incarnation.empty()) {
        const bool isSameIncarnation = entry.incarnation == batch.incarnation;
        constexpr int64_t AllSessions = std::numeric_limits<int64_t>::max();
        supervisor_.withdrawSessionsBefore(entry.incarnation, isSameIncarnation ? batch.session : AllSessions, now);
        if (!isSameIncarnation) {
            entryLiveness_.remove(entry.incarnation);
        }
    }
    log(LogEvent::Level::Info,
        "session_started",
        {{"entry", address}, {"incarnation", batch.incarnation}, {"session", absl::StrCat(batch.session)}});
    entry.incarnation = batch.incarnation;
    entry.session = batch.session;
    entry.ends = {};
    entry.instructions = {};
    entry.forgetSent();
}

void WorkAgent::acceptOrder(const Entry &entry,
                            const wire::EntryBatch &batch,
                            const wire::RunOrder &order,
                            MonotonicTime now)
{
    RunRequest request;
    request.orderId = RunOrderId{entry.incarnation, entry.session, order.runNumber};
    request.key = RunKey{order.jobId, order.stepIndex, order.taskIndex, order.attempt};
    request.demand = fromWire(order.demand);
    request.spec = order.spec;
    request.requestId = order.requestId;
    request.queue = order.queue;
    request.worker = {order.worker, order.workerBornMs};
    request.rank = clockUs(now) / 1000 + order.rank; // order.rank is relative, since the clocks differ.
    request.startDeadline = now + Milliseconds(order.patienceMs);
    // An order that was delayed for this long must not start: the entry has abandoned it or is about to.
    const int64_t ageUs = clockUs(now) - batch.echoedUs;
    if (ageUs > std::chrono::duration_cast<Microseconds>(options_.entryTimeout).count()) {
        log(LogEvent::Level::Warning,
            "order_stale",
            {{"request", order.requestId}, {"job", order.jobId}, {"age_us", absl::StrCat(ageUs)}});
        supervisor_.rejectRun(request, "order_stale", now);
        return;
    }
    // An order that is sent again over a new connection may come together with its withdrawal.
    const bool isWithdrawn = std::ranges::any_of(batch.instructions, [&](const wire::RunInstruction &each) {
        return each.__isset.withdrawal && each.withdrawal.runNumber == order.runNumber;
    });
    if (isWithdrawn) {
        supervisor_.rejectRun(request, "withdrawn", now);
        return;
    }
    supervisor_.requestRun(std::move(request), now);
}

void WorkAgent::onPeerClosed(const PeerClosed &event, MonotonicTime now)
{
    const auto found = entries_.find(event.address);
    if (found == entries_.end()) {
        return;
    }
    Entry &entry = found->second;
    if (entry.isConnected) {
        log(LogEvent::Level::Warning,
            "entry_disconnected",
            {{"entry", event.address}, {"silent_ms", absl::StrCat(millisecondsBetween(entry.lastRoundTripAt, now))}});
        entry.lastConnectAt = MonotonicTime();
    }
    entry.isConnected = false;
    offers_.removeEntry(event.address);
}

void WorkAgent::onTick(MonotonicTime now)
{
    supervisor_.tick(now);
    for (auto &[address, entry] : entries_) {
        maintainConnection(address, entry, now);
        checkEntryLiveness(entry, now);
    }
    askForOperatorState(now);
    const bool hasNoConnection
        = std::ranges::none_of(entries_, [](const auto &each) { return each.second.isConnected; });
    if (hasNoConnection && now >= nextEntryListReadAt_) {
        nextEntryListReadAt_ = now + entryListReads_.nextDelay();
        commands_.emplace_back(ReadEntries{});
    }
}

void WorkAgent::maintainConnection(const std::string &address, Entry &entry, MonotonicTime now)
{
    if (entry.isConnected) {
        if (now - entry.lastRoundTripAt > (entry.isStandby ? options_.standbyTimeout : options_.entryTimeout)) {
            log(LogEvent::Level::Warning,
                "entry_timed_out",
                {{"entry", address}, {"silent_ms", absl::StrCat(millisecondsBetween(entry.lastRoundTripAt, now))}});
            entry.isConnected = false;
            entry.lastConnectAt = MonotonicTime();
            offers_.removeEntry(address);
        } else {
            return;
        }
    }
    if (now - entry.lastConnectAt < entry.reconnectDelay) {
        return;
    }
    commands_.emplace_back(ResetPeer{address});
    entry.reconnectDelay = entry.reconnects.nextDelay();
    entry.lastConnectAt = now;
    entry.forgetSent();
    entry.ends.markAllUnsent();
    send(address, entry, Report{supervisor_.state(), supervisor_.freeCapacity(), supervisor_.hasUnknownRuns()}, now);
}

void WorkAgent::checkEntryLiveness(Entry &entry, MonotonicTime now)
{
    if (entry.isExpired || entryLiveness_.isAlive(entry.incarnation, now)) {
        return;
    }
    if (!entry.isStandby) {
        log(LogEvent::Level::Warning,
            "entry_expired",
            {{"incarnation", entry.incarnation},
             {"last_echo_ms_ago", absl::StrCat(millisecondsBetween(entryLiveness_.lastEcho(entry.incarnation), now))}});
    }
    entry.isExpired = true;
    supervisor_.withdrawSessionsBefore(entry.incarnation, entry.session + 1, now);
}

void WorkAgent::applyOperatorState(const wire::OperatorState &state, MonotonicTime now)
{
    if (operatorStateCache_.updateIfNewer(state)) {
        operatorStateUpdatedAt_ = now;
        log(LogEvent::Level::Info,
            "operator_state_updated",
            {{"position", absl::StrCat(state.position)}, {"version", absl::StrCat(state.configurationVersion)}});
    }
}

Milliseconds WorkAgent::capacityUpdateDelay(const Entry &entry, const Report &report) const
{
    const double capacity = std::max(1, report.worker.capacity.cpuMillis);
    const double reportedShare = entry.lastFreeCapacitySent.unclaimed.cpuMillis / capacity;
    const double freeShare = report.freeCapacity.unclaimed.cpuMillis / capacity;
    const bool isRunningLow = freeShare < LowCapacityShare && freeShare < reportedShare;
    return (isRunningLow ? options_.lowCapacityUpdateInterval : options_.capacityUpdateInterval) * activeEntries_;
}

bool WorkAgent::isOperatorStateDue(const Entry &entry, MonotonicTime now) const
{
    const int64_t position = operatorStateCache_.state().position;
    const bool lacksState = entry.operatorPosition < position && entry.operatorPositionSent < position;
    if (!lacksState || position < newestKnownPosition()) {
        return false; // An entry must not act on a state that others have replaced.
    }
    // An entry that has no state yet asks for it if it can't read the store.
    const bool isBehind = entry.operatorPosition > 0 && now - operatorStateUpdatedAt_ >= OperatorRelayDelay;
    return entry.wantsOperatorState || isBehind;
}

/** The newest position of an operator state that a connected entry has, or this agent. */
int64_t WorkAgent::newestKnownPosition() const
{
    int64_t newest = operatorStateCache_.state().position;
    for (const auto &[address, entry] : entries_) {
        newest = entry.isConnected ? std::max(newest, entry.operatorPosition) : newest;
    }
    return newest;
}

/** Asks an entry with the newest operator state for it, if another entry needs it and this agent does not have it. */
void WorkAgent::askForOperatorState(MonotonicTime now)
{
    const auto isWaiting = [](const auto &each) { return each.second.isConnected && each.second.wantsOperatorState; };
    const int64_t newest = newestKnownPosition();
    if (operatorStateCache_.state().position >= newest || now - operatorStateAskedAt_ < OperatorRequestInterval
        || std::ranges::none_of(entries_, isWaiting)) {
        return;
    }
    std::vector<Entry *> holders;
    for (auto &[address, entry] : entries_) {
        if (entry.isConnected && entry.operatorPosition == newest) {
            holders.push_back(&entry);
        }
    }
    operatorStateAskedAt_ = now;
    holders.at(operatorStateRequests_++ % holders.size())->isAskedForState = true;
}

bool WorkAgent::isStandbyUpdateDue(const Entry &entry, const Report &report, MonotonicTime now) const
{
    if (now - entry.lastSentAt < options_.standbyUpdateInterval) {
        return false;
    }
    return entry.lastCrashSent < crashLog_.lastNumber()
        || report.freeCapacity.takesRuns != entry.lastFreeCapacitySent.takesRuns
        || entry.wasLeaving != drainingSince_.has_value() || report.worker != entry.lastStateSent;
}

void WorkAgent::sendIfDue(const std::string &address, Entry &entry, const Report &report, MonotonicTime now)
{
    if (!entry.isConnected) {
        return;
    }
    const auto elapsed = now - entry.lastSentAt;
    if (entry.isStandby) {
        if (entry.ends.hasUnsent() || entry.isAskedForState || isOperatorStateDue(entry, now)
            || elapsed >= options_.standbyInterval || isStandbyUpdateDue(entry, report, now)) {
            send(address, entry, report, now);
        }
        return;
    }
    // Acknowledgements of orders wait for the next message: until then the entry itself counts the orders
    // against the free capacity.
    const bool isCapacityUpdateDue
        = report.freeCapacity != entry.lastFreeCapacitySent && elapsed >= capacityUpdateDelay(entry, report);
    if (entry.ends.hasUnsent() || entry.lastCrashSent < crashLog_.lastNumber() || entry.isAskedForState
        || elapsed >= options_.heartbeatInterval || isCapacityUpdateDue || report.hasUnknownRuns != entry.hadUnknownRuns
        || isOperatorStateDue(entry, now)
        || (offers_.isOfferUnsent(address) && report.freeCapacity != entry.lastFreeCapacitySent)) {
        send(address, entry, report, now);
    }
}

void WorkAgent::send(const std::string &address, Entry &entry, const Report &report, MonotonicTime now)
{
    wire::AgentBatch batch;
    batch.agent = options_.name;
    batch.incarnation = options_.incarnation;
    batch.entryIncarnation = entry.incarnation;
    batch.session = entry.session;
    batch.sentAtUs = clockUs(now);
    batch.acknowledged = entry.instructions.lastSequenceNumber();
    batch.firstSequence = entry.ends.nextSequenceNumber();
    batch.ends = entry.ends.takeUnsent();
    batch.room = report.freeCapacity;
    entry.lastFreeCapacitySent = batch.room;
    if (report.worker != entry.lastStateSent) {
        entry.lastStateSent = report.worker;
        batch.__set_worker(report.worker);
    }
    batch.operatorPosition = operatorStateCache_.state().position;
    if (entry.isConnected && isOperatorStateDue(entry, now)) {
        entry.operatorPositionSent = batch.operatorPosition;
        batch.__set_operatorState(operatorStateCache_.state());
    }
    batch.cleared = supervisor_.isReconciled();
    batch.hasUnknownRuns = report.hasUnknownRuns;
    entry.hadUnknownRuns = report.hasUnknownRuns;
    batch.fence = supervisor_.fence();
    batch.connectedEntries = connectedEntries_;
    batch.wantsOperatorState = std::exchange(entry.isAskedForState, false);
    batch.crashes = crashLog_.reportsAfter(entry.lastCrashSent, now);
    entry.lastCrashSent = crashLog_.lastNumber();
    batch.leaving = drainingSince_.has_value();
    entry.wasLeaving = batch.leaving;
    entry.lastSentAt = now;
    offers_.markSent(address);
    commands_.emplace_back(SendToPeer{address, std::move(batch)});
}

void WorkAgent::onDrain(MonotonicTime now)
{
    if (drainingSince_) {
        return;
    }
    drainingSince_ = now;
    log(LogEvent::Level::Info, "draining", {});
    supervisor_.beginDrain(now);
    for (auto &[address, entry] : entries_) {
        entry.lastSentAt = MonotonicTime();
    }
}

void WorkAgent::stopWhenDone(MonotonicTime now)
{
    if (!drainingSince_ || stopSent_) {
        return;
    }
    const auto elapsed = now - *drainingSince_;
    if (elapsed > options_.shutdownTimeout - StopRunsBeforeExit) {
        for (const auto &[address, entry] : entries_) {
            supervisor_.withdrawSessionsBefore(entry.incarnation, entry.session + 1, now);
        }
    }
    const bool isEveryEndAcknowledged = std::ranges::all_of(
        entries_, [](const auto &each) { return !each.second.isConnected || each.second.ends.isEmpty(); });
    if ((supervisor_.isIdle() && isEveryEndAcknowledged && elapsed > options_.heartbeatInterval)
        || elapsed > options_.shutdownTimeout) {
        stopSent_ = true;
        commands_.emplace_back(Stop{});
    }
}

int64_t WorkAgent::clockUs(MonotonicTime now) const
{
    return std::chrono::duration_cast<Microseconds>(now.time_since_epoch()).count();
}

void WorkAgent::log(LogEvent::Level level, const std::string &event, std::vector<LogField> fields)
{
    commands_.emplace_back(LogEvent{level, event, std::move(fields)});
}

} // namespace marjoramferry
