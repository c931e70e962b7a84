#include "tests/support/work_simulation.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace marjoramferry::testing {

namespace {

/** Duration of the pass in which a process freezes. */
constexpr Milliseconds PassDuration{1};
/** Between the passes of a process that wakes, whose threads deliver what has arrived one after another. */
constexpr Microseconds WakePassInterval{200};

/** Events with the same source are handled in their order; those without a source, in any order. */
std::string sourceOf(const WorkAgentEvent &event)
{
    return std::visit(Overloaded{
                          [](const PeerMessage &each) { return each.address; },
                          [](const PeerClosed &each) { return each.address; },
                          [](const WorkerAnnouncement &) { return std::string("announcements"); },
                          [](const auto &) { return std::string(); },
                      },
                      event);
}

std::string sourceOf(const WorkEntryEvent &event)
{
    return std::visit(Overloaded{
                          [](const LinkMessage &each) { return absl::StrCat(each.link); },
                          [](const LinkClosed &each) { return absl::StrCat(each.link); },
                          [](const auto &) { return std::string(); },
                      },
                      event);
}

template<typename Event>
bool isTick(const Event &event)
{
    return std::holds_alternative<Tick>(event);
}

/** Shuffles the events, but not those of one source among each other. */
template<typename Event>
std::vector<Event> interleave(std::vector<Event> events, std::mt19937_64 &random)
{
    std::vector<size_t> order(events.size());
    std::ranges::generate(order, [next = size_t{0}]() mutable { return next++; });
    std::ranges::shuffle(order, random);
    std::map<std::string, std::vector<size_t>> positions;
    for (size_t i = 0; i < order.size(); ++i) {
        if (const std::string source = sourceOf(events[order[i]]); !source.empty()) {
            positions[source].push_back(i);
        }
    }
    for (const auto &[source, places] : positions) {
        std::vector<size_t> indices;
        std::ranges::transform(places, std::back_inserter(indices), [&](size_t place) { return order[place]; });
        std::ranges::sort(indices);
        for (size_t i = 0; i < places.size(); ++i) {
            order[places[i]] = indices[i];
        }
    }
    std::vector<Event> result;
    std::ranges::transform(order, std::back_inserter(result), [&](size_t index) { return std::move(events[index]); });
    return result;
}

} // namespace

void WorkSimulation::deliverToEntry(int entry, int64_t generation, WorkEntryEvent event)
{
    auto &node = entries_.at(static_cast<size_t>(entry));
    if (node.generation != generation || !node.core) {
        return;
    }
    if (deferIfFrozen(node, event)) {
        return;
    }
    handlePass(entry, {std::move(event)}, true);
    executeAll(entry, node.core->flush(node.clock.read(now_)));
}

void WorkSimulation::deliverToAgent(int agent, int64_t generation, WorkAgentEvent event)
{
    auto &node = agents_.at(static_cast<size_t>(agent));
    if (node.generation != generation || !node.core) {
        return;
    }
    if (deferIfFrozen(node, event)) {
        return;
    }
    handlePass(agent, {std::move(event)});
    executeAll(agent, node.core->flush(node.clock.read(now_)));
}

template<typename NodeType, typename Event>
bool WorkSimulation::deferIfFrozen(NodeType &node, const Event &event)
{
    if (!node.isFrozen) {
        return false;
    }
    if (now_ - node.frozenAt >= PassDuration || node.freezePoint == FreezePoint::Idle) {
        node.deferred.push_back(event);
    } else if (node.freezePoint == FreezePoint::AfterTake) {
        node.taken.push_back(event);
    } else {
        node.core->handle(event, node.clock.read(now_));
        std::ranges::move(node.core->flush(node.clock.read(now_)), std::back_inserter(node.heldCommands));
    }
    return true;
}

void WorkSimulation::handlePass(int entry, const std::vector<WorkEntryEvent> &events, bool looksAtCallers)
{
    auto &node = entries_.at(static_cast<size_t>(entry));
    const auto closed = looksAtCallers ? std::exchange(node.closedCalls, {}) : std::vector<uint64_t>();
    endedCalls_.insert(closed.begin(), closed.end());
    for (const WorkEntryEvent &event : events) {
        const auto *submission = std::get_if<SubmitWork>(&event);
        if (submission == nullptr || !endedCalls_.contains(submission->address.token)) {
            node.core->handle(event, node.clock.read(now_));
        }
    }
    for (const uint64_t token : closed) {
        node.core->handle(CallAbandoned{token}, node.clock.read(now_));
    }
    if (looksAtCallers && node.suspended > Milliseconds(0)) {
        node.core->handle(MachineResumed{std::exchange(node.suspended, Milliseconds(0))}, node.clock.read(now_));
    }
}

void WorkSimulation::handlePass(int agent, const std::vector<WorkAgentEvent> &events)
{
    auto &node = agents_.at(static_cast<size_t>(agent));
    std::ranges::for_each(events,
                          [&](const WorkAgentEvent &event) { node.core->handle(event, node.clock.read(now_)); });
}

void WorkSimulation::executeAll(int entry, std::vector<WorkEntryCommand> commands)
{
    std::ranges::for_each(commands, [&](WorkEntryCommand &command) { execute(entry, command); });
}

void WorkSimulation::executeAll(int agent, std::vector<WorkAgentCommand> commands)
{
    for (WorkAgentCommand &command : commands) {
        execute(agent, command);
        if (!agents_.at(static_cast<size_t>(agent)).core) {
            return;
        }
    }
}

template<typename NodeType>
void WorkSimulation::freeze(NodeType &node, Milliseconds duration)
{
    node.frozenUntil = std::max(node.frozenUntil, now_ + duration);
    if (node.isFrozen || !node.core) {
        return;
    }
    node.isFrozen = true;
    node.frozenAt = now_;
    constexpr int FreezePoints = 3;
    node.freezePoint = static_cast<FreezePoint>(std::uniform_int_distribution<int>(0, FreezePoints - 1)(random_));
}

void WorkSimulation::freezeEntry(int entry, Milliseconds duration)
{
    auto &node = entries_.at(static_cast<size_t>(entry));
    freeze(node, duration);
    actions_[{node.frozenUntil, ++lastActionId_}]
        = [this, entry, generation = node.generation] { wakeEntry(entry, generation); };
}

void WorkSimulation::suspendEntry(int entry, Milliseconds duration)
{
    auto &node = entries_.at(static_cast<size_t>(entry));
    node.isSuspended = node.core != nullptr;
    freezeEntry(entry, duration);
}

void WorkSimulation::suspendAgent(int agent, Milliseconds duration)
{
    auto &node = agents_.at(static_cast<size_t>(agent));
    node.isSuspended = node.core != nullptr;
    freezeAgent(agent, duration);
}

void WorkSimulation::freezeAgent(int agent, Milliseconds duration)
{
    auto &node = agents_.at(static_cast<size_t>(agent));
    freeze(node, duration);
    actions_[{node.frozenUntil, ++lastActionId_}]
        = [this, agent, generation = node.generation] { wakeAgent(agent, generation); };
}

/**
 * Each thread of a process that wakes delivers what has arrived for it, and the main thread doesn't wait for the
 * others. It appends one tick to its first pass.
 */
template<typename Event>
std::vector<Event> WorkSimulation::takePass(std::vector<Event> &deferred)
{
    std::vector<Event> events = interleave(std::exchange(deferred, {}), random_);
    const bool hasTick = std::ranges::any_of(events, isTick<Event>);
    std::erase_if(events, isTick<Event>);
    constexpr double WholeShare = 0.5;
    if (!events.empty() && !drawBool(WholeShare)) {
        const auto count = std::uniform_int_distribution<std::ptrdiff_t>(0, std::ssize(events))(random_);
        deferred.assign(events.begin() + count, events.end());
        events.erase(events.begin() + count, events.end());
    }
    if (hasTick) {
        events.emplace_back(Tick{});
    }
    return events;
}

void WorkSimulation::wakeEntry(int entry, int64_t generation)
{
    auto &node = entries_.at(static_cast<size_t>(entry));
    if (node.generation != generation || !node.core || !node.isFrozen || now_ < node.frozenUntil) {
        return;
    }
    if (std::exchange(node.isSuspended, false)) {
        node.suspended = Milliseconds(millisecondsBetween(node.frozenAt, now_));
    }
    executeAll(entry, std::exchange(node.heldCommands, {}));
    if (!node.taken.empty()) {
        handlePass(entry, std::exchange(node.taken, {}), false);
        executeAll(entry, node.core->flush(node.clock.read(now_)));
    }
    if (!node.deferred.empty()) {
        handlePass(entry, takePass(node.deferred), true);
        executeAll(entry, node.core->flush(node.clock.read(now_)));
    }
    node.isFrozen = !node.deferred.empty();
    if (node.isFrozen) {
        actions_[{now_ + WakePassInterval, ++lastActionId_}]
            = [this, entry, generation] { wakeEntry(entry, generation); };
    }
}

void WorkSimulation::wakeAgent(int agent, int64_t generation)
{
    auto &node = agents_.at(static_cast<size_t>(agent));
    if (node.generation != generation || !node.core || !node.isFrozen || now_ < node.frozenUntil) {
        return;
    }
    node.isSuspended = false;
    executeAll(agent, std::exchange(node.heldCommands, {}));
    if (!node.core) {
        return;
    }
    if (!node.taken.empty()) {
        handlePass(agent, std::exchange(node.taken, {}));
        executeAll(agent, node.core->flush(node.clock.read(now_)));
    }
    if (node.core && !node.deferred.empty()) {
        handlePass(agent, takePass(node.deferred));
        executeAll(agent, node.core->flush(node.clock.read(now_)));
    }
    node.isFrozen = !node.deferred.empty();
    if (node.isFrozen) {
        actions_[{now_ + WakePassInterval, ++lastActionId_}]
            = [this, agent, generation] { wakeAgent(agent, generation); };
    }
}

void WorkSimulation::recordLog(const std::string &process, const LogEvent &event)
{
    if (!options_.recordsLog) {
        return;
    }
    const std::chrono::duration<double, std::milli> time = now_.time_since_epoch();
    std::string line = absl::StrCat(time.count(), " ", process, " ", event.event);
    for (const LogField &field : event.fields) {
        absl::StrAppend(&line, " ", field.key, "=", field.value);
    }
    log_.push_back(std::move(line));
}

} // namespace marjoramferry::testing
