#include "request/work_agent.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace marjoramferry {

namespace {

/** Between two reads of the operators' word for entries that can't read it themselves. */
constexpr Milliseconds OperatorReadPause{400};
/** What runs is stopped this long before the process ends, so that entries hear of it. */
constexpr Milliseconds StopBeforeEnd{500};
/** Below this share of the worker's capacity one more order may find no room. */
constexpr double ScarceRoom = 0.2;

} // namespace

WorkAgent::WorkAgent(WorkAgentOptions options)
    : options_(std::move(options))
    , keeper_(options_.worker, options_.initialFence)
{
    std::ranges::for_each(options_.seedAddresses, [this](const std::string &address) { meet(address); });
}

void WorkAgent::handle(const WorkAgentEvent &event, MonotonicTime now)
{
    std::visit(Overloaded{
                   [&](const Tick &) { onTick(now); },
                   [&](const PeerMessage &each) { onEntryBatch(each, now); },
                   [&](const PeerClosed &each) { onPeerClosed(each, now); },
                   [&](const WorkerAnnouncement &each) { keeper_.announce(each, now); },
                   [&](const WorkerDeparture &each) { keeper_.depart(each, now); },
                   [&](const WorkerReply &each) { keeper_.reply(each, now); },
                   [&](const EntriesRead &each) {
                       std::ranges::for_each(each.addresses, [this](const auto &address) { meet(address); });
                   },
                   [&](const OperatorStateRead &each) { takeOperatorState(each.state); },
                   [&](const DrainRequested &) { onDrain(now); },
               },
               event);
}

std::vector<WorkAgentCommand> WorkAgent::flush(MonotonicTime now)
{
    distributeEnds();
    for (auto &[address, entry] : entries_) {
        sendDue(address, entry, now);
    }
    stopWhenDone(now);
    return std::exchange(out_, {});
}

void WorkAgent::distributeEnds()
{
    WorkerKeeper::Output output = keeper_.take();
    for (const EndedRun &ended : output.ends) {
        out_.emplace_back(Observation{
            "run_seconds", wire::_RunOutcome_VALUES_TO_NAMES.at(ended.outcome), ended.reason, ended.ranMs / 1000.0});
        const auto owner = std::ranges::find_if(entries_, [&](const auto &each) {
            return each.second.incarnation == ended.tag.entry && each.second.session == ended.tag.session;
        });
        if (owner == entries_.end()) {
            continue; // The entry gave it up.
        }
        wire::RunEnd end;
        end.runNumber = ended.tag.number;
        end.outcome = ended.outcome;
        end.reason = ended.reason;
        end.ranMs = ended.ranMs;
        owner->second.ends.add(std::move(end));
    }
    std::ranges::move(output.logs, std::back_inserter(out_));
    std::ranges::move(output.calls, std::back_inserter(out_));
}

void WorkAgent::meet(const std::string &address)
{
    if (entries_.contains(address)) {
        return;
    }
    log(LogEvent::Level::Info, "entry_met", {{"entry", address}});
    entries_[address].redial = options_.redial;
}

void WorkAgent::onEntryBatch(const PeerMessage &event, MonotonicTime now)
{
    const auto *batch = std::get_if<wire::EntryBatch>(&event.message);
    const auto found = entries_.find(event.address);
    if (batch == nullptr || found == entries_.end() || batch->agentIncarnation != options_.incarnation) {
        return;
    }
    Entry &entry = found->second;
    if (batch->incarnation == entry.incarnation && batch->session < entry.session) {
        return;
    }
    if (batch->incarnation != entry.incarnation || batch->session > entry.session) {
        beginSession(event.address, entry, *batch, now);
    }
    if (!entry.isConnected) {
        entry.isConnected = true;
        entry.redial = options_.redial;
        log(LogEvent::Level::Info, "entry_connected", {{"entry", event.address}, {"incarnation", batch->incarnation}});
    }
    entry.heardAt = now;
    entry.echoedUs = std::max(entry.echoedUs, batch->echoedUs);
    entry.operatorPosition = batch->operatorPosition;
    entry.ends.acknowledge(batch->acknowledged);
    if (isAlive(entry, now)) {
        entry.hasLapsed = false;
    }
    const size_t known = entry.instructions.acceptBatch(batch->firstSequence, batch->instructions.size());
    for (size_t i = known; i < batch->instructions.size(); ++i) {
        const wire::RunInstruction &instruction = batch->instructions[i];
        if (instruction.__isset.order) {
            take(entry, *batch, instruction.order, now);
        } else if (instruction.__isset.withdrawal) {
            keeper_.withdraw(RunTag{entry.incarnation, entry.session, instruction.withdrawal.runNumber}, now);
        }
    }
    if (batch->__isset.operatorState) {
        takeOperatorState(batch->operatorState);
    }
    std::ranges::for_each(batch->entries, [this](const auto &address) { meet(address); });
    if (batch->wantsOperatorState && now - operatorReadAt_ > OperatorReadPause) {
        operatorReadAt_ = now;
        out_.emplace_back(ReadOperatorState{});
    }
}

void WorkAgent::beginSession(const std::string &address, Entry &entry, const wire::EntryBatch &batch, MonotonicTime now)
{
    if (!entry.incarnation.empty()) {
        const bool isSame = entry.incarnation == batch.incarnation;
        constexpr int64_t All = std::numeric_limits<int64_t>::max();
        keeper_.withdrawSessions(entry.incarnation, isSame ? batch.session : All, now);
    }
    log(LogEvent::Level::Info,
        "session_began",
        {{"entry", address}, {"incarnation", batch.incarnation}, {"session", absl::StrCat(batch.session)}});
    entry.incarnation = batch.incarnation;
    entry.session = batch.session;
    entry.ends = {};
    entry.instructions = {};
    entry.operatorSent = 0;
}

void WorkAgent::take(const Entry &entry, const wire::EntryBatch &batch, const wire::RunOrder &order, MonotonicTime now)
{
    RunRequest request;
    request.tag = RunTag{entry.incarnation, entry.session, order.runNumber};
    request.key = RunKey{order.jobId, order.stepIndex, order.taskIndex, order.attempt};
    request.demand = fromWire(order.demand);
    request.spec = order.spec;
    request.requestId = order.requestId;
    request.rank = clockUs(now) / 1000 + order.rank; // The entry's clock is another one, so it tells the slack.
    request.startBy = now + Milliseconds(order.patienceMs);
    // An order that was under way for so long is not to be started: the entry has given it up, or will.
    const int64_t ageUs = clockUs(now) - batch.echoedUs;
    if (ageUs > std::chrono::duration_cast<Microseconds>(options_.entryTimeout).count()) {
        log(LogEvent::Level::Warning,
            "order_stale",
            {{"request", order.requestId}, {"job", order.jobId}, {"age_us", absl::StrCat(ageUs)}});
        keeper_.refuse(request, "order_stale");
        return;
    }
    keeper_.request(std::move(request), now);
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
            {{"entry", event.address}, {"heard_ms_ago", absl::StrCat(millisecondsBetween(entry.heardAt, now))}});
        entry.dialledAt = MonotonicTime();
    }
    entry.isConnected = false;
}

void WorkAgent::onTick(MonotonicTime now)
{
    keeper_.tick(now);
    for (auto &[address, entry] : entries_) {
        keepConnection(address, entry, now);
        checkLife(entry, now);
    }
    const bool isAlone = std::ranges::none_of(entries_, [](const auto &each) { return each.second.isConnected; });
    if (isAlone && now - membersReadAt_ > options_.membersPoll) {
        membersReadAt_ = now;
        out_.emplace_back(ReadEntries{});
    }
}

void WorkAgent::keepConnection(const std::string &address, Entry &entry, MonotonicTime now)
{
    if (entry.isConnected) {
        if (now - entry.heardAt > options_.entryTimeout) {
            log(LogEvent::Level::Warning,
                "entry_silent",
                {{"entry", address}, {"heard_ms_ago", absl::StrCat(millisecondsBetween(entry.heardAt, now))}});
            entry.isConnected = false;
            entry.dialledAt = MonotonicTime();
        } else {
            return;
        }
    }
    if (now - entry.dialledAt < entry.redial) {
        return;
    }
    if (entry.dialledAt != MonotonicTime()) {
        entry.redial = std::min(entry.redial * 2, options_.redialMost);
    }
    out_.emplace_back(ResetPeer{address});
    entry.dialledAt = now;
    entry.stateSent = {};
    entry.ends.markAllUnsent();
    send(address, entry, now);
}

void WorkAgent::checkLife(Entry &entry, MonotonicTime now)
{
    if (entry.hasLapsed || isAlive(entry, now)) {
        return;
    }
    log(LogEvent::Level::Warning,
        "entry_lapsed",
        {{"incarnation", entry.incarnation}, {"proof_ms_ago", absl::StrCat((clockUs(now) - entry.echoedUs) / 1000)}});
    entry.hasLapsed = true;
    keeper_.withdrawSessions(entry.incarnation, entry.session + 1, now);
}

bool WorkAgent::isAlive(const Entry &entry, MonotonicTime now) const
{
    return clockUs(now) - entry.echoedUs <= std::chrono::duration_cast<Microseconds>(options_.entryTimeout).count();
}

void WorkAgent::takeOperatorState(const wire::OperatorState &state)
{
    if (operators_.updateIfNewer(state)) {
        log(LogEvent::Level::Info,
            "operator_state",
            {{"position", absl::StrCat(state.position)}, {"version", absl::StrCat(state.configurationVersion)}});
    }
}

Milliseconds WorkAgent::sharePause(const Entry &entry) const
{
    const auto connected = std::ranges::count_if(entries_, [](const auto &each) { return each.second.isConnected; });
    const double capacity = std::max(1, keeper_.state().capacity.cpuMillis);
    const double told = entry.roomSent.unclaimed.cpuMillis / capacity;
    const double room = keeper_.room().unclaimed.cpuMillis / capacity;
    const bool runsShort = room < ScarceRoom && room < told;
    return (runsShort ? options_.shareScarcity : options_.shareRoom) * connected;
}

void WorkAgent::sendDue(const std::string &address, Entry &entry, MonotonicTime now)
{
    if (!entry.isConnected) {
        return;
    }
    const bool hasNews
        = entry.operatorPosition < operators_.state().position && entry.operatorSent < operators_.state().position;
    const bool canShare = now - entry.sentAt >= sharePause(entry);
    const bool isDue = now - entry.sentAt >= options_.heartbeatInterval;
    // The word that orders have come in goes along: until then the entry counts them against the room itself.
    if (entry.ends.hasUnsent() || hasNews || isDue || (canShare && keeper_.room() != entry.roomSent)) {
        send(address, entry, now);
    }
}

void WorkAgent::send(const std::string &address, Entry &entry, MonotonicTime now)
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
    batch.room = keeper_.room();
    entry.roomSent = batch.room;
    if (wire::WorkerState state = keeper_.state(); state != entry.stateSent) {
        entry.stateSent = state;
        batch.__set_worker(state);
    }
    batch.operatorPosition = operators_.state().position;
    if (entry.isConnected && entry.operatorPosition < batch.operatorPosition
        && entry.operatorSent < batch.operatorPosition) {
        entry.operatorSent = batch.operatorPosition;
        batch.__set_operatorState(operators_.state());
    }
    batch.cleared = keeper_.isCleared();
    batch.leaving = drainingSince_.has_value();
    entry.sentAt = now;
    out_.emplace_back(SendToPeer{address, std::move(batch)});
}

void WorkAgent::onDrain(MonotonicTime now)
{
    if (drainingSince_) {
        return;
    }
    drainingSince_ = now;
    log(LogEvent::Level::Info, "draining", {});
    keeper_.close(now);
    for (auto &[address, entry] : entries_) {
        entry.sentAt = MonotonicTime();
    }
}

void WorkAgent::stopWhenDone(MonotonicTime now)
{
    if (!drainingSince_ || stopSent_) {
        return;
    }
    const auto elapsed = now - *drainingSince_;
    if (elapsed > options_.shutdownTimeout - StopBeforeEnd) {
        for (const auto &[address, entry] : entries_) {
            keeper_.withdrawSessions(entry.incarnation, entry.session + 1, now);
        }
    }
    const bool isHeard = std::ranges::all_of(
        entries_, [](const auto &each) { return !each.second.isConnected || each.second.ends.isEmpty(); });
    if ((keeper_.isIdle() && isHeard && elapsed > options_.heartbeatInterval) || elapsed > options_.shutdownTimeout) {
        stopSent_ = true;
        out_.emplace_back(Stop{});
    }
}

int64_t WorkAgent::clockUs(MonotonicTime now) const
{
    return std::chrono::duration_cast<Microseconds>(now.time_since_epoch()).count();
}

void WorkAgent::log(LogEvent::Level level, const std::string &event, std::vector<LogField> fields)
{
    out_.emplace_back(LogEvent{level, event, std::move(fields)});
}

} // namespace marjoramferry
