#include "tests/support/virtual_system.h"

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace marjoramferry::testing {

using nlohmann::json;

namespace {

constexpr Milliseconds EntryTick{10};
constexpr Milliseconds AgentTick{20};
constexpr Milliseconds AnnouncePace{500};
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

void VirtualSystem::after(Milliseconds delay, std::function<void()> action)
{
    queue_.emplace(std::pair(now_ + delay, ++order_), std::move(action));
}

void VirtualSystem::run(Milliseconds duration)
{
    const MonotonicTime end = now_ + duration;
    while (!queue_.empty() && queue_.begin()->first.first <= end) {
        now_ = queue_.begin()->first.first;
        const std::function<void()> action = std::move(queue_.begin()->second);
        queue_.erase(queue_.begin());
        action();
    }
    now_ = end;
}

Milliseconds VirtualSystem::draw(int low, int high)
{
    return Milliseconds(std::uniform_int_distribution<int>(low, high)(random_));
}

MonotonicTime VirtualSystem::arrival(const std::string &from, const std::string &to)
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
    options.incarnation = absl::StrCat(entryName(index), "-", ++node.life);
    options.keeper.maxOwners = options_.maxOwners;
    options.placement = options_.placement;
    options.seed = random_();
    node.core = std::make_unique<EntryCore>(std::move(options));
    node.linkOf.clear();
    node.senderOf.clear();
    tickEntry(index, node.life);
}

void VirtualSystem::startAgent(int index)
{
    AgentNode &node = agents_[static_cast<size_t>(index)];
    AgentIdentity identity;
    identity.name = agentName(index);
    identity.incarnation = absl::StrCat(agentName(index), "-", ++node.life);
    identity.domain = domainOf(index % options_.domains);
    for (int entry = 0; entry < options_.entries; ++entry) {
        identity.entries.push_back(entryName(entry));
    }
    node.core = std::make_unique<AgentCore>(std::move(identity), AgentTiming(), StartRecordLimits());
    tickAgent(index, node.life);
    announce(index, node.life);
}

void VirtualSystem::killEntry(int index)
{
    EntryNode &node = entries_[static_cast<size_t>(index)];
    if (!node.core) {
        return;
    }
    node.core.reset();
    for (const auto &[token, submission] : submissionOf_) {
        if (entryOf_[token] == index && !history_.submissions[submission].answeredAt) {
            history_.submissions[submission].entryLived = false;
        }
    }
    for (const std::string &sender : std::set<std::string>([&] {
             std::set<std::string> names;
             std::ranges::transform(
                 node.linkOf, std::inserter(names, names.end()), [](const auto &link) { return link.first; });
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
    toEntry(index, entries_[static_cast<size_t>(index)].life, DrainRequested{});
}

void VirtualSystem::drainAgent(int index)
{
    toAgent(index, agents_[static_cast<size_t>(index)].life, DrainRequested{});
}

void VirtualSystem::freezeEntry(int index, Milliseconds duration)
{
    entries_[static_cast<size_t>(index)].frozenUntil = now_ + duration;
}

void VirtualSystem::freezeAgent(int index, Milliseconds duration)
{
    agents_[static_cast<size_t>(index)].frozenUntil = now_ + duration;
}

void VirtualSystem::toEntry(int index, int life, EntryEvent event)
{
    EntryNode &node = entries_[static_cast<size_t>(index)];
    if (!node.core || node.life != life) {
        return;
    }
    if (now_ < node.frozenUntil) {
        queue_.emplace(std::pair(node.frozenUntil, ++order_),
                       [this, index, life, event = std::move(event)] { toEntry(index, life, event); });
        return;
    }
    handleEntry(index, event);
}

void VirtualSystem::toAgent(int index, int life, AgentEvent event)
{
    AgentNode &node = agents_[static_cast<size_t>(index)];
    if (!node.core || node.life != life) {
        return;
    }
    if (now_ < node.frozenUntil) {
        queue_.emplace(std::pair(node.frozenUntil, ++order_),
                       [this, index, life, event = std::move(event)] { toAgent(index, life, event); });
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
            SeenVersion{absl::StrCat(agentName(index), "-", node.life), node.core->catalog().version});
    }
}

void VirtualSystem::tickEntry(int index, int life)
{
    EntryNode &node = entries_[static_cast<size_t>(index)];
    if (!node.core || node.life != life) {
        return;
    }
    if (now_ >= node.frozenUntil) {
        handleEntry(index, Tick{});
    }
    after(EntryTick, [this, index, life] { tickEntry(index, life); });
}

void VirtualSystem::tickAgent(int index, int life)
{
    AgentNode &node = agents_[static_cast<size_t>(index)];
    if (!node.core || node.life != life) {
        return;
    }
    if (now_ >= node.frozenUntil) {
        handleAgent(index, Tick{});
    }
    after(AgentTick, [this, index, life] { tickAgent(index, life); });
}

void VirtualSystem::announce(int index, int life)
{
    AgentNode &node = agents_[static_cast<size_t>(index)];
    if (!node.core || node.life != life) {
        return;
    }
    EndpointAnnouncement announcement;
    announcement.name = "r" + std::to_string(index);
    announcement.service = "s";
    announcement.address = "-";
    announcement.slots = options_.slots;
    announcement.capacity.cpus = 64;
    announcement.leaving = node.leaving;
    toAgent(index, life, announcement);
    after(AnnouncePace, [this, index, life] { announce(index, life); });
}

void VirtualSystem::announceLeaving(int index)
{
    AgentNode &node = agents_[static_cast<size_t>(index)];
    node.leaving = true;
    history_.leavings.push_back(SeenLeaving{"r" + std::to_string(index), now_});
}

void VirtualSystem::failEverythingAt(int index, bool fails)
{
    agents_[static_cast<size_t>(index)].failsAll = fails;
}

// --- Links ----------------------------------------------------------------------------------

void VirtualSystem::breakLink(int entry, const std::string &sender)
{
    EntryNode &node = entries_[static_cast<size_t>(entry)];
    const auto found = node.linkOf.find(sender);
    if (found == node.linkOf.end()) {
        return;
    }
    const LinkId link = found->second;
    node.senderOf.erase(link);
    node.linkOf.erase(found);
    const int life = node.life;
    after(draw(1, 50), [this, entry, life, link] { toEntry(entry, life, LinkClosed{link}); });
    after(draw(1, 50), [this, sender, entry] { closeFor(sender, entryName(entry)); });
}

void VirtualSystem::closeFor(const std::string &sender, const std::string &address)
{
    const int index = indexOfAddress(sender);
    if (sender.starts_with("a")) {
        toAgent(index, agents_[static_cast<size_t>(index)].life, PeerClosed{address});
    } else {
        toEntry(index, entries_[static_cast<size_t>(index)].life, PeerClosed{address});
    }
}

void VirtualSystem::cutLink(int entry, int agent, Milliseconds duration)
{
    entries_[static_cast<size_t>(entry)].cutFrom.insert(agentName(agent));
    breakLink(entry, agentName(agent));
    after(duration, [this, entry, agent] { entries_[static_cast<size_t>(entry)].cutFrom.erase(agentName(agent)); });
}

void VirtualSystem::cutEntries(int first, int second, Milliseconds duration)
{
    entries_[static_cast<size_t>(first)].cutFrom.insert(entryName(second));
    entries_[static_cast<size_t>(second)].cutFrom.insert(entryName(first));
    breakLink(first, entryName(second));
    breakLink(second, entryName(first));
    after(duration, [this, first, second] {
        entries_[static_cast<size_t>(first)].cutFrom.erase(entryName(second));
        entries_[static_cast<size_t>(second)].cutFrom.erase(entryName(first));
    });
}

void VirtualSystem::cutTable(int entry, Milliseconds duration)
{
    entries_[static_cast<size_t>(entry)].cutFrom.insert("table");
    after(duration, [this, entry] { entries_[static_cast<size_t>(entry)].cutFrom.erase("table"); });
}

void VirtualSystem::sendToEntry(const std::string &sender,
                                const SendToPeer &command,
                                const std::function<void()> &onBroken)
{
    const int index = indexOfAddress(command.address);
    EntryNode &target = entries_[static_cast<size_t>(index)];
    if (!target.core || target.cutFrom.contains(sender)) {
        onBroken();
        return;
    }
    LinkId &link = target.linkOf[sender];
    if (link == 0) {
        link = ++lastLink_;
        target.senderOf[link] = sender;
    }
    const int life = target.life;
    queue_.emplace(std::pair(arrival(sender, command.address), ++order_),
                   [this, index, life, link = link, message = command.message] {
                       if (entries_[static_cast<size_t>(index)].senderOf.contains(link)) {
                           toEntry(index, life, LinkMessage{link, message});
                       }
                   });
}

void VirtualSystem::sendFromEntry(int index, const SendToLink &command)
{
    const EntryNode &node = entries_[static_cast<size_t>(index)];
    const auto found = node.senderOf.find(command.link);
    if (found == node.senderOf.end()) {
        return;
    }
    const std::string receiver = found->second;
    const int target = indexOfAddress(receiver);
    const bool isAgent = receiver.starts_with("a");
    const int life = isAgent ? agents_[static_cast<size_t>(target)].life : entries_[static_cast<size_t>(target)].life;
    const PeerMessage event{entryName(index), command.message};
    queue_.emplace(std::pair(arrival(entryName(index), receiver), ++order_),
                   [this, index, isAgent, target, life, event, link = command.link] {
                       // What was under way on a broken connection is lost.
                       if (!entries_[static_cast<size_t>(index)].senderOf.contains(link)) {
                           return;
                       }
                       if (isAgent) {
                           toAgent(target, life, event);
                       } else {
                           toEntry(target, life, event);
                       }
                   });
}

// --- Commands -------------------------------------------------------------------------------

void VirtualSystem::executeEntry(int index, EntryCommand &command)
{
    const int life = entries_[static_cast<size_t>(index)].life;
    std::visit(Overloaded{
                   [&](const SendToLink &each) { sendFromEntry(index, each); },
                   [&](const SendToPeer &each) {
                       sendToEntry(entryName(index), each, [&] {
                           after(Milliseconds(1), [this, index, life, address = each.address] {
                               toEntry(index, life, PeerClosed{address});
                           });
                       });
                   },
                   [&](const HttpResponse &each) {
                       replies_[each.token] = each;
                       if (const auto found = submissionOf_.find(each.token); found != submissionOf_.end()) {
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
    const int life = agents_[static_cast<size_t>(index)].life;
    std::visit(Overloaded{
                   [&](const SendToPeer &each) {
                       sendToEntry(agentName(index), each, [&] {
                           after(Milliseconds(1), [this, index, life, address = each.address] {
                               toAgent(index, life, PeerClosed{address});
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
    const int life = node.life;
    const bool isWrite = std::holds_alternative<TableTransaction>(command.request);
    const bool isLost = tableFaults_.outage || node.cutFrom.contains("table");
    const auto answer = [this, index, life, command](const TableResult &result, Milliseconds delay) {
        after(delay, [this, index, life, command, result] {
            toEntry(index, life, TableCallCompleted{command.caller, command.callId, result});
        });
    };
    if (isLost) {
        answer(TableResult(), TableTimeout);
        return;
    }
    if (isWrite && tableFaults_.loseAnswers) {
        // Some take effect long after the caller has given up on them.
        after(draw(1, 1500), [this, request = command.request] { noteCommit(request, table_.apply(request)); });
        answer(TableResult(), TableTimeout);
        return;
    }
    const Milliseconds way = tableFaults_.latency / 2 + draw(0, 2);
    after(way, [this, command, answer, way] {
        const TableResult result = table_.apply(command.request);
        noteCommit(command.request, result);
        answer(result, way);
    });
}

void VirtualSystem::noteCommit(const TableRequest &request, const TableResult &result)
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
            claimed_.insert(claim.jobId);
        }
    }
    const auto row = table_.rows().find(rows::NoteHead);
    if (row == table_.rows().end()) {
        return;
    }
    const NoteHead head = NoteHead::fromRow(row->second);
    const int64_t known = history_.catalogs.empty() ? 0 : history_.catalogs.back().catalog.version;
    if (head.version > known) {
        const Catalog catalog = Catalog::fromJson(table_.rows().at(Catalog::keyOf(head.version)).value);
        history_.catalogs.push_back(SeenCatalog{catalog, now_});
    }
}

void VirtualSystem::callEndpoint(int index, const CallEndpoint &command)
{
    const int life = agents_[static_cast<size_t>(index)].life;
    after(Milliseconds(0), [this, index, life, command] {
        AgentNode &node = agents_[static_cast<size_t>(index)];
        EndpointResult result;
        result.key = command.key;
        const bool isFrozen = now_ < node.frozenUntil;
        if (!node.core || node.life != life) {
            return;
        }
        if (isFrozen) {
            queue_.emplace(std::pair(node.frozenUntil, ++order_),
                           [this, index, command] { callEndpoint(index, command); });
            return;
        }
        if (now_ >= command.notAfter || node.running >= options_.slots) {
            result.state = wire::StartState::REFUSED;
            toAgent(index, life, result);
            return;
        }
        const json payload = json::parse(command.payload);
        ++node.running;
        history_.starts.push_back(SeenStart{command.key.jobId,
                                            command.key.taskId,
                                            command.service,
                                            "r" + std::to_string(index),
                                            domainOf(index % options_.domains),
                                            now_,
                                            claimed_.contains(command.key.jobId)});
        result.state = node.failsAll ? wire::StartState::FAILED : wire::StartState::SUCCEEDED;
        result.output = payload["echo"].dump();
        result.runMs = payload["ms"].get<int>();
        after(Milliseconds(result.runMs), [this, index, life, result] {
            --agents_[static_cast<size_t>(index)].running;
            toAgent(index, life, result);
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
    submission.entryLived = node.core != nullptr;
    history_.submissions.push_back(submission);
    const size_t index = history_.submissions.size() - 1;
    if (node.core) {
        submissionOf_[++lastToken_] = index;
        entryOf_[lastToken_] = entry;
        toEntry(entry, node.life, HttpRequest{lastToken_, "POST", "/v1/jobs", submission.body, {}, {}});
    }
    return index;
}

uint64_t VirtualSystem::call(int entry, const std::string &method, const std::string &path, const std::string &body)
{
    const uint64_t token = ++lastToken_;
    toEntry(entry, entries_[static_cast<size_t>(entry)].life, HttpRequest{token, method, path, body, {}, {}});
    return token;
}

const HttpResponse *VirtualSystem::answerTo(uint64_t token) const
{
    const auto found = replies_.find(token);
    return found == replies_.end() ? nullptr : &found->second;
}

void VirtualSystem::bringUp()
{
    run(Milliseconds(1500));
    json note = {{"add", {{"domains", json::array()}, {"services", {"s"}}, {"tenants", json::array()}}}};
    for (int index = 0; index < options_.domains; ++index) {
        note["add"]["domains"].push_back(domainOf(index));
    }
    for (const char *tenant : {"t0", "t1"}) {
        note["add"]["tenants"].push_back({{"name", tenant}, {"max_running", 1000}, {"max_queued", 10'000}});
    }
    call(0, "POST", "/v1/notes", note.dump());
    run(Milliseconds(2500));
}

const History &VirtualSystem::history()
{
    history_.endedAt = now_;
    return history_;
}

} // namespace marjoramferry::testing
