#include "request/worker_directory.h"

#include <absl/strings/str_cat.h>
#include <xxhash.h>

#include <algorithm>
#include <limits>
#include <utility>

namespace marjoramferry {

namespace {

/** Connections outlast only a few restarts of an agent. */
constexpr size_t MostFormerIncarnations = 16;

double affinityOf(const std::string &entry, const std::string &agent)
{
    const std::string both = absl::StrCat(entry, "/", agent);
    const XXH64_hash_t hash = XXH64(both.data(), both.size(), 0);
    return static_cast<double>(hash >> 32U) / static_cast<double>(std::numeric_limits<uint32_t>::max());
}

} // namespace

WorkerDirectory::WorkerDirectory(std::string entry, std::string incarnation, DirectoryTimes times)
    : entry_(std::move(entry))
    , incarnation_(std::move(incarnation))
    , times_(times)
{
}

std::optional<AgentNews> WorkerDirectory::take(LinkId link, const wire::AgentBatch &batch, MonotonicTime now)
{
    WorkerView &view = views_[batch.agent];
    const bool isNew = view.incarnation != batch.incarnation;
    const bool isFormer
        = std::ranges::find(view.formerIncarnations, batch.incarnation) != view.formerIncarnations.end();
    if (isFormer || (!isNew && batch.sentAtUs < view.heardUs)) {
        return std::nullopt;
    }
    if (isNew) {
        out_.log(LogEvent::Level::Info,
                 "agent_met",
                 {{"agent", batch.agent}, {"incarnation", batch.incarnation}, {"before", view.incarnation}});
        view.agent = batch.agent;
        view.formerIncarnations.push_back(view.incarnation);
        if (view.formerIncarnations.size() > MostFormerIncarnations) {
            view.formerIncarnations.erase(view.formerIncarnations.begin());
        }
        view.affinity = affinityOf(entry_, batch.agent);
        view.incarnation = batch.incarnation;
        view.isCleared = false;
        beginSession(view);
    }
    if (view.link != link) {
        agents_.erase(view.link);
        agents_[link] = batch.agent;
        view.link = link;
        view.instructions.markAllUnsent();
        view.operatorSent = 0;
        view.entriesSent = 0;
        view.sentAt = MonotonicTime();
    }
    AgentNews news;
    news.agent = batch.agent;
    view.heardAt = now;
    view.heardUs = batch.sentAtUs;
    view.isLeaving = batch.leaving;
    view.operatorPosition = batch.operatorPosition;
    if (batch.__isset.worker) {
        view.state = batch.worker;
    }
    view.reported = batch.room;
    if (batch.cleared && !view.isCleared) {
        view.isCleared = true;
        news.clearedBelow = view.session;
    }
    if (batch.entryIncarnation == incarnation_ && batch.session == view.session) {
        view.isGivenUp = false;
        view.instructions.acknowledge(batch.acknowledged);
        const size_t known = view.ends.acceptBatch(batch.firstSequence, batch.ends.size());
        news.ends.assign(batch.ends.begin() + static_cast<std::ptrdiff_t>(known), batch.ends.end());
        std::erase_if(view.unseen, [&](const auto &each) { return each.first <= batch.acknowledged; });
    }
    updateRoom(view);
    if (batch.__isset.operatorState) {
        news.operatorState = batch.operatorState;
    }
    return news;
}

void WorkerDirectory::beginSession(WorkerView &view)
{
    view.session = ++lastSession_;
    view.instructions = {};
    view.ends = {};
    view.acknowledgedToAgent = 0;
    view.unseen.clear();
    view.operatorSent = 0;
}

void WorkerDirectory::updateRoom(WorkerView &view)
{
    view.room = fromWire(view.reported.unclaimed);
    for (const auto &[number, demand] : view.unseen) {
        view.room = view.room - demand;
    }
}

void WorkerDirectory::close(LinkId link)
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

std::vector<AgentGivenUp> WorkerDirectory::giveUpSilent(MonotonicTime now)
{
    std::vector<AgentGivenUp> silent;
    for (auto &[agent, view] : views_) {
        const bool isSuspect = !isUsable(view, now);
        if (isSuspect != view.wasSuspect) {
            view.wasSuspect = isSuspect;
            out_.log(LogEvent::Level::Info,
                     isSuspect ? "agent_out_of_use" : "agent_in_use",
                     {{"agent", agent},
                      {"worker", view.state.worker},
                      {"heard_ms_ago", absl::StrCat(millisecondsBetween(view.heardAt, now))},
                      {"takes_runs", view.reported.takesRuns ? "1" : "0"},
                      {"leaving", view.isLeaving ? "1" : "0"}});
        }
        if (view.isGivenUp || now - view.heardAt <= times_.sessionTimeout) {
            continue;
        }
        view.isGivenUp = true;
        beginSession(view);
        updateRoom(view);
        out_.log(LogEvent::Level::Warning,
                 "agent_given_up",
                 {{"agent", agent}, {"heard_ms_ago", absl::StrCat(millisecondsBetween(view.heardAt, now))}});
        silent.push_back(AgentGivenUp{agent, view.session});
    }
    return silent;
}

void WorkerDirectory::order(WorkerView &view, const wire::RunOrder &order)
{
    const Demand demand = fromWire(order.demand);
    wire::RunInstruction instruction;
    instruction.__set_order(order);
    view.instructions.add(std::move(instruction));
    view.unseen.emplace_back(view.instructions.newestSequenceNumber(), demand);
    view.isGivenUp = false;
    updateRoom(view);
}

void WorkerDirectory::withdraw(const std::string &agent, int64_t session, int64_t runNumber)
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
        && now - view.heardAt <= times_.suspectTimeout;
}

void WorkerDirectory::addEntry(const std::string &address)
{
    if (std::ranges::find(entries_, address) == entries_.end()) {
        entries_.push_back(address);
    }
}

void WorkerDirectory::send(const OperatorStateCache &operators,
                           bool wantsOperatorState,
                           bool isLeaving,
                           MonotonicTime now)
{
    for (auto &[agent, view] : views_) {
        if (view.link == LocalLink) {
            continue;
        }
        const int64_t position = operators.state().position;
        const bool owesState = view.operatorPosition < position && view.operatorSent < position;
        const bool isDue = now - view.sentAt >= times_.heartbeatInterval || view.entriesSent < entries_.size();
        // Ends are acknowledged along with the next message; an agent that leaves waits for that.
        const bool isAwaited = view.isLeaving && view.acknowledgedToAgent != view.ends.lastSequenceNumber();
        if (view.instructions.hasUnsent() || owesState || isDue || isAwaited) {
            sendTo(view, operators, wantsOperatorState, isLeaving, now);
        }
    }
}

void WorkerDirectory::sendTo(
    WorkerView &view, const OperatorStateCache &operators, bool wantsOperatorState, bool isLeaving, MonotonicTime now)
{
    wire::EntryBatch batch;
    batch.entry = entry_;
    batch.incarnation = incarnation_;
    batch.session = view.session;
    batch.agentIncarnation = view.incarnation;
    batch.echoedUs = view.heardUs;
    batch.firstSequence = view.instructions.nextSequenceNumber();
    batch.instructions = view.instructions.takeUnsent();
    batch.acknowledged = view.ends.lastSequenceNumber();
    batch.operatorPosition = operators.state().position;
    if (view.operatorPosition < batch.operatorPosition && view.operatorSent < batch.operatorPosition) {
        view.operatorSent = batch.operatorPosition;
        batch.__set_operatorState(operators.state());
    }
    batch.entries.assign(entries_.begin() + static_cast<std::ptrdiff_t>(view.entriesSent), entries_.end());
    view.entriesSent = entries_.size();
    batch.wantsOperatorState = wantsOperatorState;
    batch.leaving = isLeaving;
    view.acknowledgedToAgent = batch.acknowledged;
    view.sentAt = now;
    out_.add(SendToLink{view.link, std::move(batch)});
}

} // namespace marjoramferry
