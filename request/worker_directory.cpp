#include "request/worker_directory.h"

#include <absl/strings/str_cat.h>
#include <xxhash.h>

#include <algorithm>
#include <limits>
#include <utility>

namespace marjoramferry {

namespace {

/** Connections outlast only a few restarts of an agent, so older incarnations can't send messages any more. */
constexpr size_t MaxPreviousIncarnations = 16;

double affinityFor(const std::string &entry, const std::string &agent)
{
    const std::string both = absl::StrCat(entry, "/", agent);
    const XXH64_hash_t hash = XXH64(both.data(), both.size(), 0);
    return static_cast<double>(hash >> 32U) / static_cast<double>(std::numeric_limits<uint32_t>::max());
}

} // namespace

WorkerDirectory::WorkerDirectory(std::string entry, std::string incarnation, WorkerDirectoryOptions options)
    : entry_(std::move(entry))
    , incarnation_(std::move(incarnation))
    , options_(options)
{
}

std::optional<AgentUpdate> WorkerDirectory::handleBatch(LinkId link, const wire::AgentBatch &batch, MonotonicTime now)
{
    WorkerView &view = views_[batch.agent];
    const bool isNew = view.incarnation != batch.incarnation;
    const bool isPrevious
        = std::ranges::find(view.previousIncarnations, batch.incarnation) != view.previousIncarnations.end();
    if (isPrevious || (!isNew && batch.sentAtUs < view.lastAgentTimeUs)) {
        return std::nullopt;
    }
    if (isNew) {
        out_.log(
            LogEvent::Level::Info,
            "agent_session_started",
            {{"agent", batch.agent}, {"incarnation", batch.incarnation}, {"previous_incarnation", view.incarnation}});
        view.agent = batch.agent;
        view.previousIncarnations.push_back(view.incarnation);
        if (view.previousIncarnations.size() > MaxPreviousIncarnations) {
            view.previousIncarnations.erase(view.previousIncarnations.begin());
        }
        view.affinity = affinityFor(entry_, batch.agent);
        view.incarnation = batch.incarnation;
        view.hasClearedRuns = false;
        beginSession(view);
    }
    if (view.link != link) {
        agents_.erase(view.link);
        agents_[link] = batch.agent;
        view.link = link;
        view.instructions.markAllUnsent();
        view.operatorPositionSent = 0;
        view.entriesSent = 0;
        view.lastSentAt = MonotonicTime();
    }
    AgentUpdate update;
    update.agent = batch.agent;
    view.lastMessageAt = now;
    view.lastAgentTimeUs = batch.sentAtUs;
    view.isLeaving = batch.leaving;
    view.operatorPosition = batch.operatorPosition;
    if (batch.__isset.worker) {
        view.state = batch.worker;
    }
    view.reported = batch.room;
    if (batch.cleared && !view.hasClearedRuns) {
        view.hasClearedRuns = true;
        update.firstLiveSession = view.session;
    }
    if (batch.entryIncarnation == incarnation_ && batch.session == view.session) {
        view.isExpired = false;
        view.instructions.acknowledge(batch.acknowledged);
        const size_t duplicates = view.runEndFilter.acceptBatch(batch.firstSequence, batch.ends.size());
        update.ends.assign(batch.ends.begin() + static_cast<std::ptrdiff_t>(duplicates), batch.ends.end());
        std::erase_if(view.uncountedDemands, [&](const auto &each) { return each.first <= batch.acknowledged; });
    }
    updateAvailable(view);
    if (batch.__isset.operatorState) {
        update.operatorState = batch.operatorState;
    }
    return update;
}

void WorkerDirectory::beginSession(WorkerView &view)
{
    view.session = ++lastSession_;
    view.instructions = {};
    view.runEndFilter = {};
    view.lastAcknowledgmentSent = 0;
    view.uncountedDemands.clear();
    view.operatorPositionSent = 0;
}

void WorkerDirectory::updateAvailable(WorkerView &view)
{
    view.available = fromWire(view.reported.unclaimed);
    for (const auto &[number, demand] : view.uncountedDemands) {
        view.available = view.available - demand;
    }
}

void WorkerDirectory::handleLinkClosed(LinkId link)
{
    const auto found = agents_.find(link);
    if (found == agents_.end()) {
        return;
    }
    WorkerView &view = views_[found->second];
    out_.log(LogEvent::Level::Warning, "agent_disconnected", {{"agent", view.agent}});
    view.link = LocalLink;
    agents_.erase(found);
}

std::vector<ExpiredSession> WorkerDirectory::expireSilentSessions(MonotonicTime now)
{
    std::vector<ExpiredSession> expired;
    for (auto &[agent, view] : views_) {
        const bool isUnusable = !isUsable(view, now);
        if (isUnusable != view.wasUnusable) {
            view.wasUnusable = isUnusable;
            out_.log(LogEvent::Level::Info,
                     isUnusable ? "agent_became_unusable" : "agent_became_usable",
                     {{"agent", agent},
                      {"worker", view.state.worker},
                      {"silent_ms", absl::StrCat(millisecondsBetween(view.lastMessageAt, now))},
                      {"takes_runs", view.reported.takesRuns ? "1" : "0"},
                      {"leaving", view.isLeaving ? "1" : "0"}});
        }
        if (view.isExpired || now - view.lastMessageAt <= options_.sessionTimeout) {
            continue;
        }
        view.isExpired = true;
        beginSession(view);
        updateAvailable(view);
        out_.log(LogEvent::Level::Warning,
                 "agent_session_expired",
                 {{"agent", agent}, {"silent_ms", absl::StrCat(millisecondsBetween(view.lastMessageAt, now))}});
        expired.push_back(ExpiredSession{agent, view.session});
    }
    return expired;
}

void WorkerDirectory::orderRun(WorkerView &view, const wire::RunOrder &order)
{
    const Demand demand = fromWire(order.demand);
    wire::RunInstruction instruction;
    instruction.__set_order(order);
    view.instructions.add(std::move(instruction));
    view.uncountedDemands.emplace_back(view.instructions.newestSequenceNumber(), demand);
    view.isExpired = false;
    updateAvailable(view);
}

void WorkerDirectory::withdrawRun(const std::string &agent, int64_t session, int64_t runNumber)
{
    const auto found = views_.find(agent);
    if (found == views_.end() || found->second.session != session) {
        return;
    }
    wire::RunInstruction instruction;
    wire::RunWithdrawal withdrawal;
    withdrawal.runNumber = runNumber;
    instruction.__set_withdrawal(withdrawal);
    found->second.instructions.add(std::move(instruction));
}

bool WorkerDirectory::isUsable(const WorkerView &view, MonotonicTime now) const
{
    return view.link != LocalLink && view.reported.takesRuns && !view.isLeaving
        && now - view.lastMessageAt <= options_.suspectTimeout;
}

void WorkerDirectory::addEntry(const std::string &address)
{
    if (std::ranges::find(entries_, address) == entries_.end()) {
        entries_.push_back(address);
    }
}

void WorkerDirectory::sendBatches(const OperatorStateCache &operatorState,
                                  bool wantsOperatorState,
                                  bool isLeaving,
                                  MonotonicTime now)
{
    for (auto &[agent, view] : views_) {
        if (view.link == LocalLink) {
            continue;
        }
        const int64_t position = operatorState.state().position;
        const bool isOperatorStateDue = view.operatorPosition < position && view.operatorPositionSent < position;
        const bool isDue = now - view.lastSentAt >= options_.heartbeatInterval || view.entriesSent < entries_.size();
        // Run ends are acknowledged with the next message that is due, to save messages if tasks are short. An agent
        // that leaves waits for the acknowledgment, so it gets one at once.
        const bool isAcknowledgmentDue
            = view.isLeaving && view.lastAcknowledgmentSent != view.runEndFilter.lastSequenceNumber();
        if (view.instructions.hasUnsent() || isOperatorStateDue || isDue || isAcknowledgmentDue) {
            sendBatch(view, operatorState, wantsOperatorState, isLeaving, now);
        }
    }
}

void WorkerDirectory::sendBatch(WorkerView &view,
                                const OperatorStateCache &operatorState,
                                bool wantsOperatorState,
                                bool isLeaving,
                                MonotonicTime now)
{
    wire::EntryBatch batch;
    batch.entry = entry_;
    batch.incarnation = incarnation_;
    batch.session = view.session;
    batch.agentIncarnation = view.incarnation;
    batch.echoedUs = view.lastAgentTimeUs;
    batch.firstSequence = view.instructions.nextSequenceNumber();
    batch.instructions = view.instructions.takeUnsent();
    batch.acknowledged = view.runEndFilter.lastSequenceNumber();
    batch.operatorPosition = operatorState.state().position;
    if (view.operatorPosition < batch.operatorPosition && view.operatorPositionSent < batch.operatorPosition) {
        view.operatorPositionSent = batch.operatorPosition;
        batch.__set_operatorState(operatorState.state());
    }
    batch.entries.assign(entries_.begin() + static_cast<std::ptrdiff_t>(view.entriesSent), entries_.end());
    view.entriesSent = entries_.size();
    batch.wantsOperatorState = wantsOperatorState;
    batch.leaving = isLeaving;
    view.lastAcknowledgmentSent = batch.acknowledged;
    view.lastSentAt = now;
    out_.add(SendToLink{view.link, std::move(batch)});
}

} // namespace marjoramferry
