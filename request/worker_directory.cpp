#include "request/worker_directory.h"

#include <absl/strings/str_cat.h>
#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace marjoramferry {

namespace {

/** Connections outlast only a few restarts of an agent, so older incarnations can't send messages any more. */
constexpr size_t MaxPreviousIncarnations = 16;

/** Seeds of two independent hashes of an entry and a worker. */
constexpr XXH64_hash_t AffinitySeed = 0;
constexpr XXH64_hash_t SubsetSeed = 1;
/** Interval between selections of the subset while no agent connects, disconnects or leaves. */
constexpr Milliseconds SelectionInterval{500};
/** A worker that has taken no runs for this long leaves the subset. */
constexpr Milliseconds MaxRefusalTime{500};
/** Interval between checks for due messages to agents on standby. */
constexpr Milliseconds StandbyCheckInterval{50};
/** Number of agents that are asked at a time to read the operator state; the others follow in turn. */
constexpr size_t AskedAgents = 4;
constexpr Milliseconds AskedAgentsInterval{1000};
/** Bound of the active workers, as a multiple of the subset. */
constexpr size_t MaxActiveFactor = 3;
/** Its multiples are spread evenly between 0 and 1 modulo 1. */
constexpr double GoldenRatio = 0.618033988749895;
/** Minimum interval between messages that only report that the waiting work became more urgent. */
constexpr Milliseconds WaitingWorkInterval{20};
/** They report a change of urgency by at least this much. */
constexpr Milliseconds UrgencyChange{50};

double hashOf(const std::string &entry, const std::string &agent, XXH64_hash_t seed)
{
    const std::string both = absl::StrCat(entry, "/", agent);
    const XXH64_hash_t hash = XXH64(both.data(), both.size(), seed);
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
    recordFence(view, batch);
    const bool isNew = view.incarnation != batch.incarnation;
    if (isNew ? !mayBeSuccessor(view, batch, now) : batch.sentAtUs < view.lastAgentTimeUs) {
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
        view.affinity = hashOf(entry_, batch.agent, AffinitySeed);
        view.subsetWeight = hashOf(entry_, batch.agent, SubsetSeed);
        view.incarnation = batch.incarnation;
        view.hasClearedRuns = false;
        view.state = {};
        if (view.mayHaveRuns()) {
            view.earlierWorkers.insert(view.lastWorker);
            view.earlierRunsEndAt = view.lastMessageAt + options_.sessionTimeout;
            activate(view);
        }
        beginSession(view);
    }
    if (view.link != link) {
        if (view.link != LocalLink) {
            // The agent has given it up. If it is silent, its end will never arrive.
            out_.add(CloseLink{view.link});
        }
        agents_.erase(view.link);
        agents_[link] = batch.agent;
        view.link = link;
        view.instructions.markAllUnsent();
        view.operatorPositionSent = 0;
        view.entriesSent = 0;
        view.activeSent.reset();
        view.lastSentAt = MonotonicTime();
        isSubsetOutdated_ = true;
    }
    AgentUpdate update;
    update.agent = batch.agent;
    update.crashes = batch.crashes;
    view.lastMessageAt = now;
    view.lastAgentTimeUs = batch.sentAtUs;
    isSubsetOutdated_ = isSubsetOutdated_ || view.isLeaving != batch.leaving || batch.__isset.worker;
    view.isLeaving = batch.leaving;
    view.connectedEntries = batch.connectedEntries;
    view.operatorPosition = batch.operatorPosition;
    view.wantsOperatorState = batch.wantsOperatorState;
    if (batch.__isset.worker) {
        view.state = batch.worker;
        if (!view.state.worker.empty() && view.state.worker != view.lastWorker) {
            update.replacedWorker = std::exchange(view.lastWorker, view.state.worker);
        }
    }
    view.reported = batch.room;
    isSubsetOutdated_ = isSubsetOutdated_ || (batch.room.takesRuns && now - view.tookRunsAt > MaxRefusalTime);
    if (batch.room.takesRuns) {
        view.tookRunsAt = now;
    }
    if (batch.hasUnknownRuns && view.earlierWorkers.contains(view.state.worker)) {
        // One of them may be a run of the earlier incarnation that was started late, and outlasts its lease.
        view.earlierRunsEndAt = std::max(view.earlierRunsEndAt, now + options_.sessionTimeout);
    }
    const bool answersSession = batch.entryIncarnation == incarnation_ && batch.session == view.session;
    // What the agent says of its present worker tells nothing about runs on another one. An incarnation that has ended
    // answers no session.
    const auto isPresentWorker = [&](const std::string &worker) { return worker == view.state.worker; };
    const bool isAboutEarlierRuns
        = std::ranges::all_of(view.earlierWorkers, isPresentWorker) || now > view.earlierRunsEndAt;
    if (batch.cleared && !view.hasClearedRuns && answersSession && isAboutEarlierRuns) {
        view.hasClearedRuns = true;
        view.earlierWorkers.clear();
        update.firstLiveSession = view.session;
    }
    if (answersSession) {
        view.instructions.acknowledge(batch.acknowledged);
        const size_t duplicates = view.runEndFilter.acceptBatch(batch.firstSequence, batch.ends.size());
        update.ends.assign(batch.ends.begin() + static_cast<std::ptrdiff_t>(duplicates), batch.ends.end());
        view.openRuns -= static_cast<int>(update.ends.size());
        recordOvercommittedEnds(view, update.ends);
        std::erase_if(view.uncountedDemands, [&](const auto &each) { return each.first <= batch.acknowledged; });
    }
    updateAvailable(view, now);
    if (batch.__isset.operatorState) {
        update.operatorState = batch.operatorState;
    }
    return update;
}

void WorkerDirectory::recordOvercommittedEnds(WorkerView &view, const std::vector<wire::RunEnd> &ends)
{
    for (const wire::RunEnd &end : ends) {
        const bool wasOvercommitted = view.overcommittedRuns.erase(end.runNumber) > 0;
        if (wasOvercommitted && end.outcome != wire::RunOutcome::NOT_STARTED) {
            overcommitBudget_.recordStart();
        }
    }
}

void WorkerDirectory::activate(WorkerView &view)
{
    if (!view.isActive) {
        view.isActive = true;
        view.wasUnusable = false;
        activeViews_.push_back(&view);
    }
}

void WorkerDirectory::updateActivity(const OperatorStateCache &operatorState, MonotonicTime now)
{
    if (isSubsetOutdated_ || now - subsetSelectedAt_ >= SelectionInterval) {
        closeSilentLinks(now);
        selectSubsets(operatorState, now);
    }
    std::erase_if(activeViews_, [&](WorkerView *view) {
        if (view->openRuns > 0) {
            view->activeUntil = now + options_.activationTime;
        }
        const bool isLeaving = view->isLeaving && view->link != LocalLink;
        view->isActive = view->subsetRank || view->mayHaveRuns() || now < view->activeUntil || isLeaving;
        return !view->isActive;
    });
}

/** Selects a subset of the workers of each service. */
void WorkerDirectory::selectSubsets(const OperatorStateCache &operatorState, MonotonicTime now)
{
    subsetSelectedAt_ = now;
    isSubsetOutdated_ = false;
    std::map<std::string, std::vector<SubsetCandidate>> candidates; // By service.
    int entries = 1;
    for (auto &[agent, view] : views_) {
        view.subsetRank.reset();
        if (isEligible(view, operatorState, now)) {
            candidates[view.state.serviceName].push_back({agent, view.state.domain, view.subsetWeight});
            entries = std::max(entries, view.connectedEntries);
        }
    }
    subsetMembers_ = 0;
    for (auto &[service, workers] : candidates) {
        const size_t size = subsetSize(options_.subset, workers.size(), static_cast<size_t>(entries));
        for (const std::string &agent : selectSubset(std::move(workers), size)) {
            WorkerView &view = views_.at(agent);
            view.subsetRank = subsetMembers_++;
            activate(view);
        }
    }
}

bool WorkerDirectory::isEligible(const WorkerView &view,
                                 const OperatorStateCache &operatorState,
                                 MonotonicTime now) const
{
    const bool takesRuns = view.reported.takesRuns || now - view.tookRunsAt <= MaxRefusalTime;
    return view.link != LocalLink && !view.state.worker.empty() && !view.isLeaving && takesRuns
        && !operatorState.isEvacuated(view.state.domain);
}

/**
 * Entries that are all short of capacity would otherwise activate all workers, and spend on their messages what the
 * entries need for jobs.
 */
bool WorkerDirectory::canActivateMore() const
{
    const auto unused = std::ranges::count_if(
        activeViews_, [](const WorkerView *view) { return !view->subsetRank && !view->mayHaveRuns(); });
    return static_cast<size_t>(unused) < 2 * options_.activationBatch
        && activeViews_.size() < MaxActiveFactor * std::max(subsetMembers_, options_.subset.minWorkers);
}

void WorkerDirectory::activateStandby(const std::function<bool(const WorkerView &)> &isSuitable, MonotonicTime now)
{
    if (now - activatedAt_ < options_.activationInterval || !canActivateMore()) {
        return;
    }
    activatedAt_ = now;
    // Each time, workers at another position of this order are activated.
    const auto order = [this](const WorkerView &view) {
        const double value = view.subsetWeight + GoldenRatio * static_cast<double>(activations_);
        return value - std::floor(value);
    };
    std::vector<std::pair<double, WorkerView *>> candidates;
    for (auto &[agent, view] : views_) {
        if (!view.isActive && view.link != LocalLink && view.reported.takesRuns && !view.isLeaving
            && isSuitable(view)) {
            candidates.emplace_back(order(view), &view);
        }
    }
    ++activations_;
    std::ranges::sort(candidates);
    candidates.resize(std::min(candidates.size(), options_.activationBatch));
    for (const auto &[position, view] : candidates) {
        view->activeUntil = now + options_.activationTime;
        activate(*view);
    }
    if (!candidates.empty()) {
        out_.log(LogEvent::Level::Info,
                 "workers_activated",
                 {{"count", absl::StrCat(candidates.size())},
                  {"active", absl::StrCat(activeViews_.size())},
                  {"subset", absl::StrCat(subsetMembers_)},
                  {"known", absl::StrCat(views_.size())}});
    }
}

void WorkerDirectory::updateAvailable(WorkerView &view, MonotonicTime now)
{
    view.available = fromWire(view.reported.unclaimed);
    for (const auto &[number, demand] : view.uncountedDemands) {
        view.available = view.available - demand;
    }
    view.idle.record(view.available.cpuMillis, now);
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
    isSubsetOutdated_ = true;
    agents_.erase(found);
}

void WorkerDirectory::orderRun(WorkerView &view, const wire::RunOrder &order, MonotonicTime now)
{
    const Demand demand = fromWire(order.demand);
    const bool isFull = !demand.fitsIn(view.available);
    overcommitBudget_.recordDispatch(isFull);
    if (isFull) {
        view.overcommittedRuns.insert(order.runNumber);
    }
    wire::RunInstruction instruction;
    instruction.__set_order(order);
    view.instructions.add(std::move(instruction));
    view.uncountedDemands.emplace_back(view.instructions.newestSequenceNumber(), demand);
    ++view.openRuns;
    updateAvailable(view, now);
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
    for (WorkerView *view : activeViews_) {
        if (view->link != LocalLink && isActiveBatchDue(*view, operatorState, now)) {
            sendBatch(*view, operatorState, wantsOperatorState, isLeaving, now);
        }
    }
    if (WorkerView *view = findOutdatedAgent(now); view != nullptr) {
        sendBatch(*view, operatorState, wantsOperatorState, isLeaving, now);
    }
    if (now - standbyCheckedAt_ < StandbyCheckInterval) {
        return;
    }
    standbyCheckedAt_ = now;
    for (auto &[agent, view] : views_) {
        if (!view.isActive && view.link != LocalLink && isStandbyBatchDue(view, now)) {
            sendBatch(view, operatorState, wantsOperatorState, isLeaving, now);
        }
    }
}

bool WorkerDirectory::isActiveBatchDue(const WorkerView &view,
                                       const OperatorStateCache &operatorState,
                                       MonotonicTime now) const
{
    // Run ends are acknowledged with the next message that is due, to save messages if tasks are short. An agent
    // that leaves waits for the acknowledgment, so it gets one at once.
    const bool isAcknowledgmentDue
        = view.isLeaving && view.lastAcknowledgmentSent != view.runEndFilter.lastSequenceNumber();
    return view.instructions.hasUnsent() || now - view.lastSentAt >= options_.heartbeatInterval
        || view.entriesSent < entries_.size() || view.activeSent != true || isAcknowledgmentDue
        || isOperatorStateDue(view, operatorState);
}

/**
 * The agent that has known for the longest time of less urgent waiting work only, or nullptr. One agent at a time, so
 * that the number of these messages doesn't depend on the number of workers; the others learn from the next message.
 */
WorkerView *WorkerDirectory::findOutdatedAgent(MonotonicTime now)
{
    WorkerView *oldest = nullptr;
    if (waiting_.isEmpty() || now - waitingCheckedAt_ < WaitingWorkInterval) {
        return oldest;
    }
    waitingCheckedAt_ = now;
    for (WorkerView *view : activeViews_) {
        const auto waiting = waiting_.forWorker(view->state, now);
        if (view->link != LocalLink && waiting
            && now + Milliseconds(waiting->rank) + UrgencyChange <= view->headSortKeySent
            && (oldest == nullptr || view->lastSentAt < oldest->lastSentAt)) {
            oldest = view;
        }
    }
    return oldest;
}

bool WorkerDirectory::isStandbyBatchDue(const WorkerView &view, MonotonicTime now) const
{
    // The interval varies by a fifth between workers, so that their messages don't coincide.
    const auto interval = options_.standbyInterval * (0.8 + 0.2 * view.affinity);
    const auto elapsed = now - view.lastSentAt;
    return view.activeSent != false || view.wantsOperatorState || elapsed >= interval
        || (view.entriesSent < entries_.size() && elapsed >= options_.standbyUpdateInterval);
}

/** One agent of the subset has each new state at once, to relay it; others ask for it when an entry needs it. */
bool WorkerDirectory::isOperatorStateDue(const WorkerView &view, const OperatorStateCache &operatorState) const
{
    const int64_t position = operatorState.state().position;
    const bool isFirst = view.subsetRank == 0 && view.operatorPositionSent < position;
    return view.operatorPosition < position && (isFirst || view.wantsOperatorState);
}

bool WorkerDirectory::isAskedForOperatorState(const WorkerView &view, MonotonicTime now) const
{
    if (!view.subsetRank) {
        return false;
    }
    const auto turn = static_cast<size_t>(now.time_since_epoch() / AskedAgentsInterval);
    return (*view.subsetRank + turn * AskedAgents) % std::max(subsetMembers_, AskedAgents) < AskedAgents;
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
    batch.fence = view.fences.highestOfOthers(view.incarnation);
    batch.echoedUs = view.lastAgentTimeUs;
    batch.firstSequence = view.instructions.nextSequenceNumber();
    batch.instructions = view.instructions.takeUnsent();
    batch.acknowledged = view.runEndFilter.lastSequenceNumber();
    batch.operatorPosition = operatorState.state().position;
    if (isOperatorStateDue(view, operatorState)) {
        view.operatorPositionSent = batch.operatorPosition;
        batch.__set_operatorState(operatorState.state());
    }
    view.wantsOperatorState = false;
    if (const auto waiting = view.isActive ? waiting_.forWorker(view.state, now) : std::nullopt; waiting) {
        batch.__set_waiting(*waiting);
    }
    view.headSortKeySent = batch.__isset.waiting ? now + Milliseconds(batch.waiting.rank) : MonotonicTime::max();
    batch.entries.assign(entries_.begin() + static_cast<std::ptrdiff_t>(view.entriesSent), entries_.end());
    view.entriesSent = entries_.size();
    batch.wantsOperatorState = wantsOperatorState && isAskedForOperatorState(view, now);
    batch.leaving = isLeaving;
    batch.standby = !view.isActive;
    view.activeSent = view.isActive;
    view.lastAcknowledgmentSent = batch.acknowledged;
    view.lastSentAt = now;
    out_.add(SendToLink{view.link, std::move(batch)});
}

} // namespace marjoramferry
