#include "tests/support/work_world.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace marjoramferry::testing {

namespace {

constexpr Milliseconds WorldTick{10};
constexpr Milliseconds AnnouncePace{1500};
constexpr Milliseconds ResendAfter{1300};
constexpr Microseconds BetweenNodes{1400};
constexpr Microseconds ToWorker{100};
/** A job is in time within so many times its run time and so much more. */
constexpr double Stretch = 1.6;
constexpr Milliseconds Target{60};
constexpr const char *Service = "orders";
constexpr const char *Host = "desk.example";

/** The queues of a counter, as (name, priority): short tasks come first. */
wire::Route route(const std::string &name, int priority)
{
    wire::Route route;
    route.name = name;
    route.host = Host;
    route.pathPrefix = "/" + name + "/";
    route.serviceName = Service;
    route.priority = priority;
    route.targetLatencyMs = static_cast<int>(Target.count());
    route.maxAttempts = 3;
    route.stretch = Stretch;
    return route;
}

wire::OperatorState configuration()
{
    wire::OperatorState state;
    state.position = 1;
    state.configurationVersion = 1;
    state.routes = {route("quote", 0), route("status", 1), route("survey", 2)};
    return state;
}

} // namespace

WorkWorld::WorkWorld(WorldOptions options)
    : options_(std::move(options))
    , random_(options_.seed)
    , now_(std::chrono::hours(1))
    , entries_(static_cast<size_t>(options_.entries))
    , agents_(static_cast<size_t>(options_.agents))
    , announced_(static_cast<size_t>(options_.agents))
{
    for (int i = 0; i < options_.agents; ++i) {
        workers_.push_back(nullptr);
        restartWorker(i, false);
        startAgent(i);
    }
    for (int i = 0; i < options_.entries; ++i) {
        startEntry(i);
    }
}

void WorkWorld::after(Milliseconds delay, std::function<void()> action)
{
    actions_[{now_ + delay, ++lastAction_}] = std::move(action);
}

void WorkWorld::runFor(Milliseconds span)
{
    const MonotonicTime end = now_ + span;
    while (!actions_.empty() && actions_.begin()->first.first <= end) {
        const auto first = actions_.begin();
        now_ = std::max(now_, first->first.first);
        const auto action = std::move(first->second);
        actions_.erase(first);
        action();
    }
    now_ = end;
}

int WorkWorld::capacityOf(int agent) const
{
    return static_cast<int>(options_.capacityMillis
                            * options_.sizes.at(static_cast<size_t>(agent) % options_.sizes.size()));
}

std::string WorkWorld::addressOf(int entry) const
{
    return absl::StrCat("10.0.0.", entry + 1, ":7000");
}

bool WorkWorld::chance(double share)
{
    return std::uniform_real_distribution<double>(0, 1)(random_) < share;
}

void WorkWorld::startEntry(int entry)
{
    auto &node = entries_.at(static_cast<size_t>(entry));
    node.life = ++lastLife_;
    WorkEntryOptions options;
    options.name = absl::StrCat("entry-", entry);
    options.incarnation = absl::StrCat(options.name, "-", node.life);
    options.linkAddress = addressOf(entry);
    options.scheduler.selector.seed = options_.seed + static_cast<uint64_t>(node.life);
    node.core = std::make_unique<WorkEntry>(options);
    toEntry(entry, node.life, OperatorStatePolled{configuration()});
    tickEntry(entry, node.life);
}

void WorkWorld::startAgent(int agent)
{
    auto &node = agents_.at(static_cast<size_t>(agent));
    node.life = ++lastLife_;
    WorkAgentOptions options;
    options.name = absl::StrCat("agent-", agent);
    options.incarnation = absl::StrCat(options.name, "-", node.life);
    options.initialFence = millisecondsBetween(MonotonicTime(), now_);
    for (int entry = 0; entry < options_.entries; ++entry) {
        options.seedAddresses.push_back(addressOf(entry));
    }
    node.core = std::make_unique<WorkAgent>(options);
    tickAgent(agent, node.life);
}

void WorkWorld::tickEntry(int entry, int64_t life)
{
    if (entries_.at(static_cast<size_t>(entry)).life != life) {
        return;
    }
    toEntry(entry, life, Tick{});
    after(WorldTick, [this, entry, life] { tickEntry(entry, life); });
}

void WorkWorld::tickAgent(int agent, int64_t life)
{
    if (agents_.at(static_cast<size_t>(agent)).life != life) {
        return;
    }
    toAgent(agent, life, Tick{});
    after(WorldTick, [this, agent, life] { tickAgent(agent, life); });
}

void WorkWorld::toEntry(int entry, int64_t life, WorkEntryEvent event)
{
    auto &node = entries_.at(static_cast<size_t>(entry));
    if (node.life != life || !node.core) {
        return;
    }
    if (now_ < node.frozenUntil) {
        actions_[{node.frozenUntil, ++lastAction_}]
            = [this, entry, life, event = std::move(event)]() mutable { toEntry(entry, life, std::move(event)); };
        return;
    }
    node.core->handle(event, now_);
    flushEntry(entry);
}

void WorkWorld::toAgent(int agent, int64_t life, WorkAgentEvent event)
{
    auto &node = agents_.at(static_cast<size_t>(agent));
    if (node.life != life || !node.core) {
        return;
    }
    if (now_ < node.frozenUntil) {
        actions_[{node.frozenUntil, ++lastAction_}]
            = [this, agent, life, event = std::move(event)]() mutable { toAgent(agent, life, std::move(event)); };
        return;
    }
    node.core->handle(event, now_);
    flushAgent(agent);
}

void WorkWorld::flushEntry(int entry)
{
    for (WorkEntryCommand &command : entries_.at(static_cast<size_t>(entry)).core->flush(now_)) {
        execute(entry, command);
    }
}

void WorkWorld::flushAgent(int agent)
{
    auto &node = agents_.at(static_cast<size_t>(agent));
    for (WorkAgentCommand &command : node.core->flush(now_)) {
        execute(agent, command);
        if (!node.core) {
            return;
        }
    }
}

void WorkWorld::execute(int, WorkEntryCommand &command)
{
    if (auto *each = std::get_if<SendToLink>(&command)) {
        sendToAgent(each->link, std::move(each->message));
    } else if (const auto *each = std::get_if<CallResponse>(&command)) {
        onAnswer(*each);
    }
}

void WorkWorld::execute(int agent, WorkAgentCommand &command)
{
    if (auto *each = std::get_if<SendToPeer>(&command)) {
        sendToEntry(agent, each->address, std::move(each->message));
    } else if (const auto *each = std::get_if<ResetPeer>(&command)) {
        const auto link = links_.find({agent, each->address});
        if (link != links_.end()) {
            closeConnections([&](const Connection &one) { return &one == &connections_.at(link->second); });
        }
    } else if (const auto *each = std::get_if<WorkerCall>(&command)) {
        callWorker(agent, *each);
    } else if (std::holds_alternative<Stop>(command)) {
        killAgent(agent, Milliseconds(1000));
    }
}

MonotonicTime WorkWorld::whenThrough(int entry, int agent, bool isToAgent) const
{
    const auto cut = cutUntil_.find({entry, agent, isToAgent});
    const MonotonicTime free = cut == cutUntil_.end() ? now_ : std::max(now_, cut->second);
    return free + BetweenNodes;
}

void WorkWorld::sendToEntry(int agent, const std::string &address, Message message)
{
    int entry = 0;
    while (addressOf(entry) != address) {
        ++entry;
    }
    LinkId &link = links_[{agent, address}];
    if (link == 0 || !connections_.at(link).isOpen) {
        link = ++lastLink_;
        connections_[link] = Connection{entry, agent, entries_.at(static_cast<size_t>(entry)).life};
    }
    Connection &connection = connections_.at(link);
    connection.lastToEntry = std::max(connection.lastToEntry, whenThrough(entry, agent, false));
    actions_[{connection.lastToEntry, ++lastAction_}] = [this, id = link, message = std::move(message)]() mutable {
        const Connection &one = connections_.at(id);
        if (one.isOpen) {
            toEntry(one.entry, one.entryLife, LinkMessage{id, std::move(message)});
        }
    };
}

void WorkWorld::sendToAgent(LinkId link, Message message)
{
    Connection &connection = connections_.at(link);
    if (!connection.isOpen) {
        return;
    }
    connection.lastToAgent = std::max(connection.lastToAgent, whenThrough(connection.entry, connection.agent, true));
    const int64_t life = agents_.at(static_cast<size_t>(connection.agent)).life;
    actions_[{connection.lastToAgent, ++lastAction_}] = [this, link, life, message = std::move(message)]() mutable {
        const Connection &one = connections_.at(link);
        if (one.isOpen) {
            toAgent(one.agent, life, PeerMessage{addressOf(one.entry), std::move(message)});
        }
    };
}

void WorkWorld::closeConnections(const std::function<bool(const Connection &)> &isMeant)
{
    for (auto &[link, connection] : connections_) {
        if (!connection.isOpen || !isMeant(connection)) {
            continue;
        }
        connection.isOpen = false;
        const LinkId id = link;
        const int64_t agentLife = agents_.at(static_cast<size_t>(connection.agent)).life;
        actions_[{whenThrough(connection.entry, connection.agent, false), ++lastAction_}]
            = [this, id] { toEntry(connections_.at(id).entry, connections_.at(id).entryLife, LinkClosed{id}); };
        actions_[{whenThrough(connection.entry, connection.agent, true), ++lastAction_}] = [this, id, agentLife] {
            const Connection &one = connections_.at(id);
            const auto current = links_.find({one.agent, addressOf(one.entry)});
            if (current == links_.end() || current->second == id) {
                toAgent(one.agent, agentLife, PeerClosed{addressOf(one.entry)});
            }
        };
    }
}

void WorkWorld::callWorker(int agent, const WorkerCall &call)
{
    const int64_t life = agents_.at(static_cast<size_t>(agent)).life;
    if (const auto *start = std::get_if<StartRun>(&call); start != nullptr && now_ > start->notAfter) {
        WorkerReply notSent;
        notSent.callId = start->callId;
        notSent.outcome = CallOutcome::NotSent;
        after(Milliseconds(0), [this, agent, life, notSent] { toAgent(agent, life, notSent); });
        return;
    }
    const bool isLost = std::holds_alternative<StartRun>(call) && chance(options_.lostAnswers);
    const bool isLate = std::holds_alternative<StartRun>(call) && !isLost && chance(options_.lateOrders);
    if (isLate || isLost) {
        std::uniform_int_distribution<int> delay(2000, 6000);
        after(Milliseconds(isLost ? 0 : delay(random_)), [this, agent, call] { worker(agent).call(call, now_); });
        const auto &start = std::get<StartRun>(call);
        WorkerReply none;
        none.callId = start.callId;
        after(start.timeout, [this, agent, life, none] { toAgent(agent, life, none); });
        return;
    }
    actions_[{now_ + ToWorker, ++lastAction_}] = [this, agent, life, call] {
        if (const auto *hold = std::get_if<PollRuns>(&call)) {
            worker(agent).call(call, now_);
            answerHold(agent, life, *hold, now_ + hold->wait);
            return;
        }
        toAgent(agent, life, worker(agent).call(call, now_));
    };
}

void WorkWorld::answerHold(int agent, int64_t life, const PollRuns &hold, MonotonicTime until)
{
    WorkerModel &model = worker(agent);
    model.advance(now_);
    if (model.hasEndsAfter(hold.acknowledgedEnd) || now_ >= until) {
        PollRuns look = hold;
        look.leaseEndMs.reset();
        toAgent(agent, life, model.call(look, now_));
        return;
    }
    // Runs that start meanwhile may end before all that are there now.
    actions_[{now_ + Milliseconds(1), ++lastAction_}]
        = [this, agent, life, hold, until] { answerHold(agent, life, hold, until); };
}

WorkerModel &WorkWorld::worker(int agent)
{
    return *workers_.at(static_cast<size_t>(agent));
}

void WorkWorld::restartWorker(int agent, bool keepsName)
{
    auto &present = workers_.at(static_cast<size_t>(agent));
    const int64_t bornMs = millisecondsBetween(MonotonicTime(), now_) + 1;
    WorkerIdentity identity{absl::StrCat("worker-", agent, "-", bornMs), bornMs};
    if (present) {
        if (keepsName) {
            identity.id = present->identity().id;
        }
        present->crash(now_);
        deadWorkers_.emplace_back(agent, std::move(present));
    }
    present = std::make_unique<WorkerModel>(identity, agent % 2 == 0 ? 1.0 : 0.98, now_);
    present->runTimeFactor = 1 / options_.speeds.at(static_cast<size_t>(agent) % options_.speeds.size());
    announced_.at(static_cast<size_t>(agent)) = 0;
    after(Milliseconds(agent + 1), [this, agent, bornMs] {
        if (worker(agent).identity().startTimeMs == bornMs) {
            announce(agent);
        }
    });
}

void WorkWorld::announce(int agent)
{
    const WorkerModel &model = worker(agent);
    WorkerAnnouncement word;
    word.identity = model.identity();
    word.service = Service;
    word.address = "10.1.0.1:80";
    word.domain = "north";
    word.capacity = {capacityOf(agent), 100'000, 0};
    word.clockMs = model.clockMs(now_);
    word.sequence = ++announced_.at(static_cast<size_t>(agent));
    toAgent(agent, agents_.at(static_cast<size_t>(agent)).life, word);
    const int64_t bornMs = model.identity().startTimeMs;
    after(AnnouncePace, [this, agent, bornMs] {
        if (worker(agent).identity().startTimeMs == bornMs) {
            announce(agent);
        }
    });
}

void WorkWorld::submit(const CounterJob &job, int entry, Milliseconds deadline)
{
    sendCall(job, entry, now_ + deadline);
}

void WorkWorld::sendCall(const CounterJob &job, int entry, MonotonicTime deadlineAt)
{
    if (now_ >= deadlineAt) {
        return;
    }
    calls_.push_back(CallRecord{job, now_, MonotonicTime(), std::nullopt, false, false});
    const uint64_t token = calls_.size();
    SubmitWork call;
    call.address = CallAddress{token, Host, absl::StrCat("/", job.queue, "/", job.id), absl::StrCat("r-", token)};
    call.timeout = Milliseconds(millisecondsBetween(now_, deadlineAt));
    WorkStep step;
    step.count = job.tasks;
    step.demand = {job.cpuMillis, 64, 0};
    step.estimate = Milliseconds(job.estimateMs);
    call.job.steps = {step};
    call.job.spec = makeSpec(job.runMs, job.cpuMillis);
    resend_[token] = {entry, [=, this] { sendCall(job, (entry + 1) % options_.entries, deadlineAt); }};
    const int64_t life = entries_.at(static_cast<size_t>(entry)).life;
    if (!entries_.at(static_cast<size_t>(entry)).core) {
        calls_.back().wasCut = true;
        after(ResendAfter, resend_.at(token).second);
        return;
    }
    toEntry(entry, life, call);
    actions_[{deadlineAt, ++lastAction_}] = [this, token, entry, life] {
        CallRecord &record = calls_.at(token - 1);
        if (!record.answer && !record.wasCut) {
            record.wasLeft = true;
            toEntry(entry, life, CallAbandoned{token});
        }
    };
}

void WorkWorld::onAnswer(const CallResponse &answer)
{
    CallRecord &record = calls_.at(answer.token - 1);
    if (record.wasCut || record.wasLeft) {
        return;
    }
    record.answer = answer;
    record.answeredAt = now_;
    if (answer.status == ResponseStatus::Interrupted) {
        after(ResendAfter, resend_.at(answer.token).second);
    }
}

void WorkWorld::killEntry(int entry, Milliseconds downFor)
{
    auto &node = entries_.at(static_cast<size_t>(entry));
    if (!node.core) {
        return;
    }
    closeConnections([&](const Connection &one) { return one.entry == entry; });
    node.core.reset();
    node.life = ++lastLife_;
    for (size_t i = 0; i < calls_.size(); ++i) {
        CallRecord &record = calls_[i];
        const auto &[at, again] = resend_.at(i + 1);
        if (at == entry && !record.answer && !record.wasCut && !record.wasLeft) {
            record.wasCut = true;
            after(ResendAfter, again);
        }
    }
    after(downFor, [this, entry] { startEntry(entry); });
}

void WorkWorld::killAgent(int agent, Milliseconds downFor)
{
    auto &node = agents_.at(static_cast<size_t>(agent));
    if (!node.core) {
        return;
    }
    closeConnections([&](const Connection &one) { return one.agent == agent; });
    node.core.reset();
    node.life = ++lastLife_;
    after(downFor, [this, agent] { startAgent(agent); });
}

void WorkWorld::drainAgent(int agent)
{
    toAgent(agent, agents_.at(static_cast<size_t>(agent)).life, DrainRequested{});
}

void WorkWorld::freezeEntry(int entry, Milliseconds span)
{
    entries_.at(static_cast<size_t>(entry)).frozenUntil = now_ + span;
}

void WorkWorld::freezeAgent(int agent, Milliseconds span)
{
    agents_.at(static_cast<size_t>(agent)).frozenUntil = now_ + span;
}

void WorkWorld::cut(int entry, int agent, bool toAgent, bool toEntry, Milliseconds span)
{
    if (toAgent) {
        cutUntil_[{entry, agent, true}] = now_ + span;
    }
    if (toEntry) {
        cutUntil_[{entry, agent, false}] = now_ + span;
    }
}

int WorkWorld::complete() const
{
    return static_cast<int>(std::ranges::count_if(
        calls_, [](const auto &call) { return call.answer && call.answer->status == ResponseStatus::Complete; }));
}

double WorkWorld::inTime(const std::string &queue) const
{
    return inTime(queue, MonotonicTime::min(), MonotonicTime::max());
}

double WorkWorld::inTime(const std::string &queue, MonotonicTime from, MonotonicTime to) const
{
    int all = 0;
    int good = 0;
    for (const CallRecord &call : calls_) {
        const bool isMeant = queue.empty() || call.job.queue == queue;
        if (!isMeant || call.sentAt < from || call.sentAt > to) {
            continue;
        }
        ++all;
        const auto objective
            = std::chrono::duration_cast<Milliseconds>(Milliseconds(call.job.runMs) * Stretch) + Target;
        const bool isComplete = call.answer && call.answer->status == ResponseStatus::Complete;
        good += isComplete && call.answeredAt - call.sentAt <= objective ? 1 : 0;
    }
    return static_cast<double>(good) / std::max(1, all);
}

Milliseconds WorkWorld::longestRejection() const
{
    Milliseconds longest{0};
    for (const CallRecord &call : calls_) {
        if (call.answer && call.answer->status == ResponseStatus::Rejected) {
            longest = std::max(longest, std::chrono::duration_cast<Milliseconds>(call.answeredAt - call.sentAt));
        }
    }
    return longest;
}

std::vector<std::string> WorkWorld::violations() const
{
    std::vector<std::string> broken;
    std::map<std::tuple<std::string, int, int>, std::vector<RunInterval>> tasks;
    const auto take = [&](const WorkerModel &model, int most) {
        if (model.peakCpuMillis() > most) {
            broken.push_back(absl::StrCat(model.identity().id, " ran ", model.peakCpuMillis(), " at once"));
        }
        for (const RunInterval &run : model.history()) {
            tasks[{run.key.jobId, run.key.step, run.key.task}].push_back(run);
        }
    };
    for (size_t i = 0; i < workers_.size(); ++i) {
        take(*workers_[i], capacityOf(static_cast<int>(i)));
    }
    for (const auto &[agent, model] : deadWorkers_) {
        take(*model, capacityOf(agent));
    }
    std::map<std::string, MonotonicTime> firstStart;
    std::map<std::string, int> done;
    for (auto &[task, runs] : tasks) {
        std::ranges::sort(runs, {}, &RunInterval::from);
        const std::string &job = std::get<0>(task);
        for (size_t i = 0; i < runs.size(); ++i) {
            if (i > 0 && runs[i].from < runs[i - 1].to) {
                broken.push_back(absl::StrCat(job,
                                              "/",
                                              std::get<2>(task),
                                              " ran twice at once, on ",
                                              runs[i - 1].worker,
                                              " from ",
                                              millisecondsBetween(MonotonicTime(), runs[i - 1].from),
                                              " and on ",
                                              runs[i].worker,
                                              " from ",
                                              millisecondsBetween(MonotonicTime(), runs[i].from)));
            }
        }
        done[job] += std::ranges::any_of(runs, &RunInterval::hasSucceeded) ? 1 : 0;
        const auto first = firstStart.try_emplace(job, runs.front().from);
        first.first->second = std::min(first.first->second, runs.front().from);
    }
    for (const CallRecord &call : calls_) {
        const bool isOpen = !call.answer && !call.wasCut && !call.wasLeft;
        if (isOpen) {
            broken.push_back(call.job.id + " got no answer");
        }
        if (call.answer && call.answer->status == ResponseStatus::Complete && done[call.job.id] < call.job.tasks) {
            broken.push_back(call.job.id + " was called complete, and a task never ended");
        }
        const bool isRejected = call.answer && call.answer->status == ResponseStatus::Rejected;
        const auto started = firstStart.find(call.job.id);
        const bool isFirst = std::ranges::count(calls_, call.job.id, [](const auto &each) { return each.job.id; }) == 1;
        if (isRejected && isFirst && started != firstStart.end()) {
            broken.push_back(call.job.id + " was called not run, and a task had started");
        }
    }
    return broken;
}

} // namespace marjoramferry::testing
