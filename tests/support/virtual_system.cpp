#include "tests/support/virtual_system.h"

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace marjoramferry::testing {

using nlohmann::json;

namespace {

constexpr Milliseconds EntryTickInterval{10};
constexpr Milliseconds AgentTickInterval{20};
constexpr Milliseconds AnnouncementInterval{500};
constexpr Milliseconds TableTimeout{1000};
constexpr int64_t WallStartMs = 1'700'000'000'000;

} // namespace

VirtualSystem::VirtualSystem(SystemOptions options)
    : options_(std::move(options))
    , random_(options_.seed)
    , entries_(static_cast<size_t>(options_.entries))
    , agents_(static_cast<size_t>(options_.agents))
{
    for (int index = 0; index < options_.entries; ++index) {
        startEntry(index);
    }
    for (int index = 0; index < options_.agents; ++index) {
        startAgent(index);
    }
}

// --- Time -----------------------------------------------------------------------------------

void VirtualSystem::schedule(Milliseconds delay, std::function<void()> action)
{
    actions_.emplace(std::pair(now_ + delay, ++lastActionId_), std::move(action));
}

void VirtualSystem::run(Milliseconds duration)
{
    const MonotonicTime end = now_ + duration;
    while (!actions_.empty() && actions_.begin()->first.first <= end) {
        now_ = actions_.begin()->first.first;
        const std::function<void()> action = std::move(actions_.begin()->second);
        actions_.erase(actions_.begin());
        action();
    }
    now_ = end;
}

Milliseconds VirtualSystem::drawDelay(int low, int high)
{
    return Milliseconds(std::uniform_int_distribution<int>(low, high)(random_));
}

MonotonicTime VirtualSystem::arrivalTime(const std::string &from, const std::string &to)
{
    const auto delay = Microseconds(std::uniform_int_distribution<int>(200, 2000)(random_));
    MonotonicTime &last = lastArrival_[from + ">" + to];
    last = std::max(last, now_ + delay);
    return last;
}

// --- Nodes ----------------------------------------------------------------------------------

void VirtualSystem::startEntry(int index)
{
    EntryNode &node = entries_[static_cast<size_t>(index)];
    EntryOptions options;
    options.name = entryName(index);
    options.address = entryName(index);
    options.incarnation = absl::StrCat(entryName(index), "-", ++node.generation);
    options.clusterState.maxOwners = options_.maxOwners;
    options.placement = options_.placement;
    options.seed = random_();
    node.core = std::make_unique<EntryCore>(std::move(options));
    node.linkBySender.clear();
    node.senderByLink.clear();
    tickEntry(index, node.generation);
}

void VirtualSystem::startAgent(int index)
{
    AgentNode &node = agents_[static_cast<size_t>(index)];
    AgentIdentity identity;
    identity.name = agentName(index);
    identity.incarnation = absl::StrCat(agentName(index), "-", ++node.generation);
    identity.domain = domainName(index % options_.domains);
    for (int entry = 0; entry < options_.entries; ++entry) {
        identity.entries.push_back(entryName(entry));
    }
    node.core = std::make_unique<AgentCore>(std::move(identity), AgentTiming(), StartRecordLimits());
    tickAgent(index, node.generation);
    announce(index, node.generation);
}

void VirtualSystem::killEntry(int index)
{
    EntryNode &node = entries_[static_cast<size_t>(index)];
    if (!node.core) {
        return;
    }
    node.core.reset();
    for (const auto &[token, submission] : submissionByToken_) {
        if (entryByToken_[token] == index && !history_.submissions[submission].answeredAt) {
            history_.submissions[submission].entrySurvived = false;
        }
    }
    for (const std::string &sender : std::set<std::string>([&] {
             std::set<std::string> names;
             std::ranges::transform(
                 node.linkBySender, std::inserter(names, names.end()), [](const auto &link) { return link.first; });
             return names;
         }())) {
        breakLink(index, sender);
    }
    for (int other = 0; other < options_.entries; ++other) {
        breakLink(other, entryName(index));
    }
}

void VirtualSystem::killAgent(int index)
{
    AgentNode &node = agents_[static_cast<size_t>(index)];
    if (!node.core) {
        return;
    }
    node.core.reset();
    for (int entry = 0; entry < options_.entries; ++entry) {
        breakLink(entry, agentName(index));
    }
}

void VirtualSystem::drainEntry(int index)
{
    deliverToEntry(index, entries_[static_cast<size_t>(index)].generation, DrainRequested{});
}

void VirtualSystem::drainAgent(int index)
{
    deliverToAgent(index, agents_[static_cast<size_t>(index)].generation, DrainRequested{});
}

void VirtualSystem::freezeEntry(int index, Milliseconds duration)
{
    entries_[static_cast<size_t>(index)].frozenUntil = now_ + duration;
}

void VirtualSystem::freezeAgent(int index, Milliseconds duration)
{
    agents_[static_cast<size_t>(index)].frozenUntil = now_ + duration;
}

void VirtualSystem::deliverToEntry(int index, int generation, EntryEvent event)
{
    EntryNode &node = entries_[static_cast<size_t>(index)];
    if (!node.core || node.generation != generation) {
        return;
    }
    if (now_ < node.frozenUntil) {
        actions_.emplace(
            std::pair(node.frozenUntil, ++lastActionId_),
            [this, index, generation, event = std::move(event)] { deliverToEntry(index, generation, event); });
        return;
    }
    handleEntry(index, event);
}

void VirtualSystem::deliverToAgent(int index, int generation, AgentEvent event)
{
    AgentNode &node = agents_[static_cast<size_t>(index)];
    if (!node.core || node.generation != generation) {
        return;
    }
    if (now_ < node.frozenUntil) {
        actions_.emplace(
            std::pair(node.frozenUntil, ++lastActionId_),
            [this, index, generation, event = std::move(event)] { deliverToAgent(index, generation, event); });
        return;
    }
    handleAgent(index, event);
}

void VirtualSystem::handleEntry(int index, const EntryEvent &event)
{
    EntryNode &node = entries_[static_cast<size_t>(index)];
    const int64_t wallMs = WallStartMs + std::chrono::duration_cast<Milliseconds>(now_.time_since_epoch()).count();
    for (EntryCommand &command : node.core->handle(event, EventTime{now_, wallMs})) {
        if (node.core) {
            executeEntry(index, command);
        }
    }
}

void VirtualSystem::handleAgent(int index, const AgentEvent &event)
{
    AgentNode &node = agents_[static_cast<size_t>(index)];
    for (AgentCommand &command : node.core->handle(event, now_)) {
        if (node.core) {
            executeAgent(index, command);
        }
    }
    if (node.core) {
        history_.versions.push_back(
            ObservedVersion{absl::StrCat(agentName(index), "-", node.generation), node.core->catalog().version});
    }
}

void VirtualSystem::tickEntry(int index, int generation)
{
    EntryNode &node = entries_[static_cast<size_t>(index)];
    if (!node.core || node.generation != generation) {
        return;
    }
    if (now_ >= node.frozenUntil) {
        handleEntry(index, Tick{});
    }
    schedule(EntryTickInterval, [this, index, generation] { tickEntry(index, generation); });
}

void VirtualSystem::tickAgent(int index, int generation)
{
    AgentNode &node = agents_[static_cast<size_t>(index)];
    if (!node.core || node.generation != generation) {
        return;
    }
    if (now_ >= node.frozenUntil) {
        handleAgent(index, Tick{});
    }
    schedule(AgentTickInterval, [this, index, generation] { tickAgent(index, generation); });
}

void VirtualSystem::announce(int index, int generation)
{
    AgentNode &node = agents_[static_cast<size_t>(index)];
    if (!node.core || node.generation != generation) {
        return;
    }
    EndpointAnnouncement announcement;
    announcement.name = "r" + std::to_string(index);
    announcement.service = "s";
    announcement.address = "-";
    announcement.slots = options_.slots;
    announcement.capacity.cpus = 64;
    announcement.leaving = node.isLeaving;
    deliverToAgent(index, generation, announcement);
    schedule(AnnouncementInterval, [this, index, generation] { announce(index, generation); });
}

void VirtualSystem::announceLeaving(int index)
{
    AgentNode &node = agents_[static_cast<size_t>(index)];
    node.isLeaving = true;
    history_.departures.push_back(ObservedDeparture{"r" + std::to_string(index), now_});
}

void VirtualSystem::setFailAllTasks(int index, bool fails)
{
    agents_[static_cast<size_t>(index)].failsAllTasks = fails;
}

// --- Links ----------------------------------------------------------------------------------

void VirtualSystem::breakLink(int entry, const std::string &sender)
{
    EntryNode &node = entries_[static_cast<size_t>(entry)];
    const auto found = node.linkBySender.find(sender);
    if (found == node.linkBySender.end()) {
        return;
    }
    const LinkId link = found->second;
    node.senderByLink.erase(link);
    node.linkBySender.erase(found);
    const int generation = node.generation;
    schedule(drawDelay(1, 50),
             [this, entry, generation, link] { deliverToEntry(entry, generation, LinkClosed{link}); });
    schedule(drawDelay(1, 50), [this, sender, entry] { notifyPeerClosed(sender, entryName(entry)); });
}

void VirtualSystem::notifyPeerClosed(const std::string &sender, const std::string &address)
{
    const int index = indexOfAddress(sender);
    if (sender.starts_with("a")) {
        deliverToAgent(index, agents_[static_cast<size_t>(index)].generation, PeerClosed{address});
    } else {
        deliverToEntry(index, entries_[static_cast<size_t>(index)].generation, PeerClosed{address});
    }
}

void VirtualSystem::disconnectAgent(int entry, int agent, Milliseconds duration)
{
    entries_[static_cast<size_t>(entry)].unreachablePeers.insert(agentName(agent));
    breakLink(entry, agentName(agent));
    schedule(duration,
             [this, entry, agent] { entries_[static_cast<size_t>(entry)].unreachablePeers.erase(agentName(agent)); });
}

void VirtualSystem::disconnectEntries(int first, int second, Milliseconds duration)
{
    entries_[static_cast<size_t>(first)].unreachablePeers.insert(entryName(second));
    entries_[static_cast<size_t>(second)].unreachablePeers.insert(entryName(first));
    breakLink(first, entryName(second));
    breakLink(second, entryName(first));
    schedule(duration, [this, first, second] {
        entries_[static_cast<size_t>(first)].unreachablePeers.erase(entryName(second));
        entries_[static_cast<size_t>(second)].unreachablePeers.erase(entryName(first));
    });
}

void VirtualSystem::disconnectTable(int entry, Milliseconds duration)
{
    entries_[static_cast<size_t>(entry)].unreachablePeers.insert("table");
    schedule(duration, [this, entry] { entries_[static_cast<size_t>(entry)].unreachablePeers.erase("table"); });
}

void VirtualSystem::sendToEntry(const std::string &sender,
                                const SendToPeer &command,
                                const std::function<void()> &onBroken)
{
    const int index = indexOfAddress(command.address);
    EntryNode &target = entries_[static_cast<size_t>(index)];
    if (!target.core || target.unreachablePeers.contains(sender)) {
        onBroken();
        return;
    }
    LinkId &link = target.linkBySender[sender];
    if (link == 0) {
        link = ++lastLink_;
        target.senderByLink[link] = sender;
    }
    const int generation = target.generation;
    actions_.emplace(std::pair(arrivalTime(sender, command.address), ++lastActionId_),
                     [this, index, generation, link = link, message = command.message] {
                         if (entries_[static_cast<size_t>(index)].senderByLink.contains(link)) {
                             deliverToEntry(index, generation, LinkMessage{link, message});
                         }
                     });
}

void VirtualSystem::sendFromEntry(int index, const SendToLink &command)
{
    const EntryNode &node = entries_[static_cast<size_t>(index)];
    const auto found = node.senderByLink.find(command.link);
    if (found == node.senderByLink.end()) {
        return;
    }
    const std::string receiver = found->second;
    const int target = indexOfAddress(receiver);
    const bool isAgent = receiver.starts_with("a");
    const int generation
        = isAgent ? agents_[static_cast<size_t>(target)].generation : entries_[static_cast<size_t>(target)].generation;
    const PeerMessage event{entryName(index), command.message};
    actions_.emplace(std::pair(arrivalTime(entryName(index), receiver), ++lastActionId_),
                     [this, index, isAgent, target, generation, event, link = command.link] {
                         // Messages in flight on a broken connection are lost.
                         if (!entries_[static_cast<size_t>(index)].senderByLink.contains(link)) {
                             return;
                         }
                         if (isAgent) {
                             deliverToAgent(target, generation, event);
                         } else {
                             deliverToEntry(target, generation, event);
                         }
                     });
}

// --- Commands -------------------------------------------------------------------------------

void VirtualSystem::executeEntry(int index, EntryCommand &command)
{
    const int generation = entries_[static_cast<size_t>(index)].generation;
    std::visit(Overloaded{
                   [&](const SendToLink &each) { sendFromEntry(index, each); },
                   [&](const SendToPeer &each) {
                       sendToEntry(entryName(index), each, [&] {
                           schedule(Milliseconds(1), [this, index, generation, address = each.address] {
                               deliverToEntry(index, generation, PeerClosed{address});
                           });
                       });
                   },
                   [&](const HttpResponse &each) {
                       responses_[each.token] = each;
                       if (const auto found = submissionByToken_.find(each.token); found != submissionByToken_.end()) {
                           Submission &submission = history_.submissions[found->second];
                           submission.answeredAt = now_;
                           submission.status = each.status;
                           submission.answer = each.body;
                       }
                   },
                   [&](const TableCall &each) { callTable(index, each); },
                   [&](const LogEvent &) {},
                   [&](const Observation &) {},
                   [&](const Stop &) { killEntry(index); },
               },
               command);
}

void VirtualSystem::executeAgent(int index, AgentCommand &command)
{
    const int generation = agents_[static_cast<size_t>(index)].generation;
    std::visit(Overloaded{
                   [&](const SendToPeer &each) {
                       sendToEntry(agentName(index), each, [&] {
                           schedule(Milliseconds(1), [this, index, generation, address = each.address] {
                               deliverToAgent(index, generation, PeerClosed{address});
                           });
                       });
                   },
                   [&](const CallEndpoint &each) { callEndpoint(index, each); },
                   [&](const LogEvent &) {},
                   [&](const Observation &) {},
                   [&](const Stop &) { killAgent(index); },
               },
               command);
}

void VirtualSystem::callTable(int index, const TableCall &command)
{
    const EntryNode &node = entries_[static_cast<size_t>(index)];
    const int generation = node.generation;
    const bool isWrite = std::holds_alternative<TableTransaction>(command.request);
    const bool isLost = tableFaults_.outage || node.unreachablePeers.contains("table");
    const auto respond = [this, index, generation, command](const TableResult &result, Milliseconds delay) {
        schedule(delay, [this, index, generation, command, result] {
            deliverToEntry(index, generation, TableCallCompleted{command.caller, command.callId, result});
        });
    };
    if (isLost) {
        respond(TableResult(), TableTimeout);
        return;
    }
    if (isWrite && tableFaults_.loseAnswers) {
        // Some transactions take effect after the caller's timeout.
        schedule(drawDelay(1, 1500),
                 [this, request = command.request] { recordCommit(request, table_.apply(request)); });
        respond(TableResult(), TableTimeout);
        return;
    }
    const Milliseconds oneWayDelay = tableFaults_.latency / 2 + drawDelay(0, 2);
    schedule(oneWayDelay, [this, command, respond, oneWayDelay] {
        const TableResult result = table_.apply(command.request);
        recordCommit(command.request, result);
        respond(result, oneWayDelay);
    });
}

void VirtualSystem::recordCommit(const TableRequest &request, const TableResult &result)
{
    const auto *transaction = std::get_if<TableTransaction>(&request);
    if (transaction == nullptr || result.outcome != TableOutcome::Done) {
        return;
    }
    for (const RowPut &put : transaction->puts) {
        if (!put.key.starts_with(rows::ClaimPrefix)) {
            continue;
        }
        for (const Claim &claim : ClaimLog::parseRow(Row{put.key, result.version, put.value})) {
            claimedJobs_.insert(claim.jobId);
        }
    }
    const auto row = table_.rows().find(rows::NoteHead);
    if (row == table_.rows().end()) {
        return;
    }
    const NoteHead head = NoteHead::fromRow(row->second);
    const int64_t knownVersion = history_.catalogs.empty() ? 0 : history_.catalogs.back().catalog.version;
    if (head.version > knownVersion) {
        const Catalog catalog = Catalog::fromJson(table_.rows().at(Catalog::keyOf(head.version)).value);
        history_.catalogs.push_back(ObservedCatalog{catalog, now_});
    }
}

void VirtualSystem::callEndpoint(int index, const CallEndpoint &command)
{
    const int generation = agents_[static_cast<size_t>(index)].generation;
    schedule(Milliseconds(0), [this, index, generation, command] {
        AgentNode &node = agents_[static_cast<size_t>(index)];
        EndpointResult result;
        result.key = command.key;
        const bool isFrozen = now_ < node.frozenUntil;
        if (!node.core || node.generation != generation) {
            return;
        }
        if (isFrozen) {
            actions_.emplace(std::pair(node.frozenUntil, ++lastActionId_),
                             [this, index, command] { callEndpoint(index, command); });
            return;
        }
        if (now_ >= command.notAfter || node.runningTasks >= options_.slots) {
            result.state = wire::StartState::REFUSED;
            deliverToAgent(index, generation, result);
            return;
        }
        const json payload = json::parse(command.payload);
        ++node.runningTasks;
        history_.starts.push_back(ObservedStart{command.key.jobId,
                                                command.key.taskId,
                                                command.service,
                                                "r" + std::to_string(index),
                                                domainName(index % options_.domains),
                                                now_,
                                                claimedJobs_.contains(command.key.jobId)});
        result.state = node.failsAllTasks ? wire::StartState::FAILED : wire::StartState::SUCCEEDED;
        result.output = payload["echo"].dump();
        result.runMs = payload["ms"].get<int>();
        schedule(Milliseconds(result.runMs), [this, index, generation, result] {
            --agents_[static_cast<size_t>(index)].runningTasks;
            deliverToAgent(index, generation, result);
        });
    });
}

// --- Callers --------------------------------------------------------------------------------

size_t VirtualSystem::submit(
    const std::string &jobId, int entry, const std::vector<int> &taskMs, int deadlineMs, const std::string &tenant)
{
    json body = {
        {"job_id", jobId}, {"tenant", tenant}, {"service", "s"}, {"deadline_ms", deadlineMs}, {"tasks", json::array()}};
    for (size_t index = 0; index < taskMs.size(); ++index) {
        const std::string taskId = "t" + std::to_string(index);
        body["tasks"].push_back({{"task_id", taskId},
                                 {"expected_ms", taskMs[index]},
                                 {"payload", {{"ms", taskMs[index]}, {"echo", absl::StrCat(jobId, "/", taskId)}}}});
    }
    Submission submission;
    submission.jobId = jobId;
    submission.body = body.dump();
    submission.entry = entryName(entry);
    submission.at = now_;
    submission.deadlineMs = deadlineMs;
    const EntryNode &node = entries_[static_cast<size_t>(entry)];
    submission.entrySurvived = node.core != nullptr;
    history_.submissions.push_back(submission);
    const size_t index = history_.submissions.size() - 1;
    if (node.core) {
        submissionByToken_[++lastToken_] = index;
        entryByToken_[lastToken_] = entry;
        deliverToEntry(entry, node.generation, HttpRequest{lastToken_, "POST", "/v1/jobs", submission.body, {}, {}});
    }
    return index;
}

uint64_t
VirtualSystem::sendRequest(int entry, const std::string &method, const std::string &path, const std::string &body)
{
    const uint64_t token = ++lastToken_;
    deliverToEntry(
        entry, entries_[static_cast<size_t>(entry)].generation, HttpRequest{token, method, path, body, {}, {}});
    return token;
}

const HttpResponse *VirtualSystem::responseTo(uint64_t token) const
{
    const auto found = responses_.find(token);
    return found == responses_.end() ? nullptr : &found->second;
}

void VirtualSystem::bringUp()
{
    run(Milliseconds(1500));
    json releaseNote = {{"add", {{"domains", json::array()}, {"services", {"s"}}, {"tenants", json::array()}}}};
    for (int index = 0; index < options_.domains; ++index) {
        releaseNote["add"]["domains"].push_back(domainName(index));
    }
    for (const char *tenant : {"t0", "t1"}) {
        releaseNote["add"]["tenants"].push_back({{"name", tenant}, {"max_running", 1000}, {"max_queued", 10'000}});
    }
    sendRequest(0, "POST", "/v1/notes", releaseNote.dump());
    run(Milliseconds(2500));
}

const History &VirtualSystem::history()
{
    history_.endedAt = now_;
    return history_;
}

} // namespace marjoramferry::testing
