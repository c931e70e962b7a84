#include "tests/support/work_simulation.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace marjoramferry::testing {

namespace {

constexpr Milliseconds TickInterval{10};
constexpr uint64_t DisruptionSeedOffset = 1'000'000'007;

/** A queue; priority 0 is the most urgent and has the shortest tasks. */
wire::Route makeRoute(const std::string &name, int priority)
{
    wire::Route route;
    route.name = name;
    route.host = HostName;
    route.pathPrefix = "/" + name + "/";
    route.serviceName = ServiceName;
    route.priority = priority;
    route.targetLatencyMs = static_cast<int>(TargetLatency.count());
    route.maxAttempts = 3;
    route.stretch = StretchFactor;
    return route;
}

wire::OperatorState makeOperatorState()
{
    wire::OperatorState state;
    state.position = 1;
    state.configurationVersion = 1;
    state.routes = {makeRoute("quote", 0), makeRoute("status", 1), makeRoute("survey", 2)};
    return state;
}

} // namespace

WorkSimulation::WorkSimulation(SimulationOptions options)
    : options_(std::move(options))
    , random_(options_.seed)
    , disruptionRandom_(options_.seed + DisruptionSeedOffset)
    , now_(std::chrono::hours(1))
    , entries_(static_cast<size_t>(options_.entries))
    , agents_(static_cast<size_t>(options_.agents))
    , announcementSequences_(static_cast<size_t>(options_.agents))
    , silentCalls_(static_cast<size_t>(options_.agents))
    , failingCalls_(static_cast<size_t>(options_.agents))
{
    const auto drawClock = [this](auto &node) {
        node.clock = MachineClock::draw(options_.maxClockOffset, options_.maxClockRateError, disruptionRandom_);
    };
    std::ranges::for_each(agents_, drawClock);
    std::ranges::for_each(entries_, drawClock);
    for (int i = 0; i < options_.agents; ++i) {
        workers_.push_back(nullptr);
        restartWorker(i, false);
        startAgent(i);
    }
    for (int i = 0; i < options_.entries; ++i) {
        startEntry(i);
    }
}

void WorkSimulation::schedule(Milliseconds delay, std::function<void()> action)
{
    actions_[{now_ + delay, ++lastActionId_}] = std::move(action);
}

void WorkSimulation::runFor(Milliseconds duration)
{
    const MonotonicTime end = now_ + duration;
    while (!actions_.empty() && actions_.begin()->first.first <= end) {
        const auto first = actions_.begin();
        now_ = std::max(now_, first->first.first);
        const auto action = std::move(first->second);
        actions_.erase(first);
        action();
    }
    now_ = end;
    // A worker without calls from its agent ends its runs all the same.
    std::ranges::for_each(workers_, [this](const auto &each) {
        if (each) {
            each->advance(now_);
        }
    });
}

int WorkSimulation::capacityOf(int agent) const
{
    return static_cast<int>(options_.capacityCpuMillis
                            * options_.sizeFactors.at(static_cast<size_t>(agent) % options_.sizeFactors.size()));
}

std::string WorkSimulation::addressOf(int entry) const
{
    return absl::StrCat("10.0.0.", entry + 1, ":7000");
}

bool WorkSimulation::drawBool(double probability)
{
    return std::uniform_real_distribution<double>(0, 1)(random_) < probability;
}

void WorkSimulation::startEntry(int entry)
{
    auto &node = entries_.at(static_cast<size_t>(entry));
    node.generation = ++lastGeneration_;
    WorkEntryOptions options;
    options.name = absl::StrCat("entry-", entry);
    options.incarnation = absl::StrCat(options.name, "-", node.generation);
    options.linkAddress = addressOf(entry);
    options.directory.subset = options_.subset;
    options.directory.offers = options_.offers;
    options.scheduler.selector.offers = options_.offers;
    options.scheduler.admission = options_.admission;
    options.scheduler.selector.seed = options_.seed + static_cast<uint64_t>(node.generation);
    node.core = std::make_unique<WorkEntry>(options);
    node.isSuspended = false;
    node.suspended = Milliseconds(0);
    deliverToEntry(entry, node.generation, OperatorStatePolled{makeOperatorState()});
    tickEntry(entry, node.generation);
}

void WorkSimulation::startAgent(int agent)
{
    auto &node = agents_.at(static_cast<size_t>(agent));
    node.generation = ++lastGeneration_;
    WorkAgentOptions options;
    options.name = absl::StrCat("agent-", agent);
    options.incarnation = absl::StrCat(options.name, "-", node.generation);
    options.initialFence = millisecondsBetween(MonotonicTime(), now_);
    options.offers = options_.offers;
    for (int entry = 0; entry < options_.entries; ++entry) {
        options.seedAddresses.push_back(addressOf(entry));
    }
    node.core = std::make_unique<WorkAgent>(options);
    node.isSuspended = false;
    tickAgent(agent, node.generation);
}

void WorkSimulation::tickEntry(int entry, int64_t generation)
{
    if (entries_.at(static_cast<size_t>(entry)).generation != generation) {
        return;
    }
    deliverToEntry(entry, generation, Tick{});
    schedule(TickInterval, [this, entry, generation] { tickEntry(entry, generation); });
}

void WorkSimulation::tickAgent(int agent, int64_t generation)
{
    if (agents_.at(static_cast<size_t>(agent)).generation != generation) {
        return;
    }
    deliverToAgent(agent, generation, Tick{});
    schedule(TickInterval, [this, agent, generation] { tickAgent(agent, generation); });
}

void WorkSimulation::execute(int entry, WorkEntryCommand &command)
{
    if (auto *each = std::get_if<SendToLink>(&command)) {
        sendToAgent(each->link, std::move(each->message));
    } else if (const auto *each = std::get_if<CloseLink>(&command)) {
        closeConnection(each->link);
    } else if (const auto *each = std::get_if<CallResponse>(&command)) {
        onResponse(*each);
    } else if (const auto *each = std::get_if<LogEvent>(&command)) {
        recordDispatch(*each);
        recordLog(absl::StrCat("entry-", entry), *each);
    }
}

void WorkSimulation::execute(int agent, WorkAgentCommand &command)
{
    if (auto *each = std::get_if<SendToPeer>(&command)) {
        sendToEntry(agent, each->address, std::move(each->message));
    } else if (const auto *each = std::get_if<ResetPeer>(&command)) {
        const auto link = links_.find({agent, each->address});
        if (link != links_.end()) {
            closeConnection(link->second);
            links_.erase(link);
        }
    } else if (const auto *each = std::get_if<WorkerCall>(&command)) {
        callWorker(agent, *each);
    } else if (const auto *each = std::get_if<LogEvent>(&command)) {
        recordLog(absl::StrCat("agent-", agent), *each);
    } else if (std::holds_alternative<Stop>(command)) {
        killAgent(agent, Milliseconds(1000));
    }
}

MonotonicTime WorkSimulation::arrivalTime(int entry, int agent, bool isToAgent) const
{
    const auto block = blockedUntil_.find({entry, agent, isToAgent});
    const MonotonicTime sentAt = block == blockedUntil_.end() ? now_ : std::max(now_, block->second);
    return sentAt + NodeLatency;
}

void WorkSimulation::sendToEntry(int agent, const std::string &address, Message message)
{
    ++messagesSent_;
    int entry = 0;
    while (addressOf(entry) != address) {
        ++entry;
    }
    LinkId &link = links_[{agent, address}];
    // An agent doesn't learn that the entry has closed a connection that is silent.
    if (link == 0 || !(connections_.at(link).isOpen || connections_.at(link).isSilentToAgent)) {
        link = ++lastLink_;
        connections_[link] = Connection{entry, agent, entries_.at(static_cast<size_t>(entry)).generation};
    }
    Connection &connection = connections_.at(link);
    const MonotonicTime arrival = std::max(connection.lastArrivalAtEntry, arrivalTime(entry, agent, false));
    connection.lastArrivalAtEntry = retransmittedArrival(entries_.at(static_cast<size_t>(entry)), arrival);
    actions_[{connection.lastArrivalAtEntry, ++lastActionId_}]
        = [this, id = link, message = std::move(message)]() mutable {
              const Connection &conn = connections_.at(id);
              if (conn.isOpen && !conn.isSilentToEntry) {
                  deliverToEntry(conn.entry, conn.entryGeneration, LinkMessage{id, std::move(message)});
              }
          };
}

void WorkSimulation::sendToAgent(LinkId link, Message message)
{
    Connection &connection = connections_.at(link);
    if (!connection.isOpen) {
        return;
    }
    ++messagesSent_;
    const auto &node = agents_.at(static_cast<size_t>(connection.agent));
    const MonotonicTime arrival
        = std::max(connection.lastArrivalAtAgent, arrivalTime(connection.entry, connection.agent, true));
    connection.lastArrivalAtAgent = retransmittedArrival(node, arrival);
    const int64_t generation = node.generation;
    actions_[{connection.lastArrivalAtAgent, ++lastActionId_}]
        = [this, link, generation, message = std::move(message)]() mutable {
              const Connection &conn = connections_.at(link);
              if (conn.isOpen && !conn.isSilentToAgent) {
                  deliverToAgent(conn.agent, generation, PeerMessage{addressOf(conn.entry), std::move(message)});
              }
          };
}

void WorkSimulation::closeConnection(LinkId link)
{
    closeConnections([&](const Connection &each) { return &each == &connections_.at(link); });
}

void WorkSimulation::closeConnections(const std::function<bool(const Connection &)> &matches)
{
    for (auto &[link, connection] : connections_) {
        if (!connection.isOpen || !matches(connection)) {
            continue;
        }
        connection.isOpen = false;
        const LinkId id = link;
        const int64_t agentGeneration = agents_.at(static_cast<size_t>(connection.agent)).generation;
        actions_[{arrivalTime(connection.entry, connection.agent, false), ++lastActionId_}] = [this, id] {
            const Connection &conn = connections_.at(id);
            if (!conn.isSilentToEntry) {
                deliverToEntry(conn.entry, conn.entryGeneration, LinkClosed{id});
            }
        };
        actions_[{arrivalTime(connection.entry, connection.agent, true), ++lastActionId_}]
            = [this, id, agentGeneration] {
                  const Connection &conn = connections_.at(id);
                  const auto current = links_.find({conn.agent, addressOf(conn.entry)});
                  if (!conn.isSilentToAgent && (current == links_.end() || current->second == id)) {
                      deliverToAgent(conn.agent, agentGeneration, PeerClosed{addressOf(conn.entry)});
                  }
              };
    }
}

void WorkSimulation::killEntry(int entry, Milliseconds downtime)
{
    auto &node = entries_.at(static_cast<size_t>(entry));
    if (!node.core) {
        return;
    }
    closeConnections([&](const Connection &conn) { return conn.entry == entry; });
    node = EntryNode{nullptr, ++lastGeneration_, node.clock};
    for (uint64_t token = 1; token <= calls_.size(); ++token) {
        if (submissions_.at(token - 1).entry == entry && isWaiting(token)) {
            calls_.at(token - 1).isConnectionLost = true;
            resend(token);
        }
    }
    schedule(downtime, [this, entry] { startEntry(entry); });
}

void WorkSimulation::killAgent(int agent, Milliseconds downtime)
{
    auto &node = agents_.at(static_cast<size_t>(agent));
    if (!node.core) {
        return;
    }
    closeConnections([&](const Connection &conn) { return conn.agent == agent; });
    std::erase_if(links_, [&](const auto &each) { return each.first.first == agent; });
    node = AgentNode{nullptr, ++lastGeneration_, node.clock};
    schedule(downtime, [this, agent] { startAgent(agent); });
}

void WorkSimulation::drainAgent(int agent)
{
    deliverToAgent(agent, agents_.at(static_cast<size_t>(agent)).generation, DrainRequested{});
}

void WorkSimulation::blockMessages(int entry, int agent, bool toAgent, bool toEntry, Milliseconds duration)
{
    if (toAgent) {
        blockedUntil_[{entry, agent, true}] = now_ + duration;
    }
    if (toEntry) {
        blockedUntil_[{entry, agent, false}] = now_ + duration;
    }
}

} // namespace marjoramferry::testing
