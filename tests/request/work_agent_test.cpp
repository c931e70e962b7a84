#include "tests/support/connected_agent.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

using namespace marjoramferry;
using namespace marjoramferry::testing;

namespace {

wire::OperatorState operatorState(int64_t position, int64_t version)
{
    wire::OperatorState state;
    state.position = position;
    state.configurationVersion = version;
    return state;
}

} // namespace

TEST_CASE("Light load: an order is acknowledged with the next message that is due")
{
    ConnectedAgent fixture;
    const MonotonicTime later = Start + Milliseconds(20);
    fixture.placeOrder(0, 6000, later);
    CHECK(fixture.flushMessages(later).empty());
    const auto due = fixture.flushMessages(Start + Milliseconds(160));
    REQUIRE(due.contains(0));
    CHECK(due.at(0).acknowledged == 1);
}

TEST_CASE("Burst at many entries: scarce capacity is reported soon, so that no entry places an order that can't fit")
{
    ConnectedAgent fixture;
    // The minimum interval is 1 ms for each of the nine connected entries.
    fixture.placeOrder(0, 14'000, Start + Milliseconds(Entries));
    REQUIRE(fixture.sentWithOrder.size() == Entries);
    CHECK(fixture.sentWithOrder.at(5).room.unclaimed.cpuMillis == 2000);
}

TEST_CASE("Burst at many entries: freed capacity is reported to the entry whose run ended, and later to the others")
{
    ConnectedAgent fixture;
    const MonotonicTime ordered = Start + Milliseconds(20);
    const RunKey run = fixture.placeOrder(3, 14'000, ordered);
    const MonotonicTime ended = Start + Milliseconds(60);
    fixture.agent.handle(fixture.listed({}, {ListedEnd{1, run, EndKind::Done}}), ended);
    const auto first = fixture.flushMessages(ended);
    REQUIRE(first.size() == 1);
    REQUIRE(first.contains(3));
    CHECK(first.at(3).ends.size() == 1);
    CHECK(first.at(3).room.unclaimed.cpuMillis == CapacityMillis);
    // That entry can use the capacity before the others are informed.
    CHECK(fixture.flushMessages(ended + Milliseconds(40)).empty());
    CHECK(fixture.flushMessages(ended + Milliseconds(150)).size() == Entries);
}

// Guards against capacity that all entries order at the same time, or that none orders because the news come late.
TEST_CASE("Freed capacity is reported at once to the entry with the most urgent waiting task, if offers are on")
{
    const bool offers = GENERATE(false, true);
    ConnectedAgent fixture(offers);
    const RunKey run = fixture.placeOrder(3, 14'000, Start + Milliseconds(20));
    const MonotonicTime ended = Start + Milliseconds(60);
    for (const auto &[entry, rank] : {std::pair(4, 80), std::pair(5, 30)}) {
        fixture.waiting[entry].rank = rank;
        fixture.waiting[entry].demand.cpuMillis = 6000;
        fixture.waiting[entry].tasks = 2;
        fixture.deliverBatch(entry, {}, ended);
    }
    fixture.agent.handle(fixture.listed({}, {ListedEnd{1, run, EndKind::Done}}), ended);
    const auto first = fixture.flushMessages(ended);
    REQUIRE(first.size() == (offers ? 2 : 1));
    CHECK(first.at(3).room.unclaimed.cpuMillis == (offers ? CapacityMillis - 12'000 : CapacityMillis));
    CHECK(first.contains(5) == offers);
    CHECK((!offers || first.at(5).room.unclaimed.cpuMillis == CapacityMillis));
    // An offer that is not used passes to the next entry after 10 ms.
    const auto second = fixture.flushMessages(ended + Milliseconds(10));
    CHECK(second.size() == (offers ? 1 : 0));
    CHECK(second.contains(4) == offers);
}

TEST_CASE("Entries that put the agent on standby get a message every few seconds and no reports of capacity")
{
    ConnectedAgent fixture;
    for (int entry = 1; entry < Entries; ++entry) {
        fixture.standbyEntries.insert(entry);
        fixture.deliverBatch(entry, {}, Start + Milliseconds(10));
    }
    std::map<int, int> messages;
    for (int ms = 20; ms <= 8000; ms += 20) {
        const MonotonicTime now = Start + Milliseconds(ms);
        if (ms % 100 == 0) {
            fixture.deliverBatch(0, {}, now);
        }
        fixture.agent.handle(Tick{}, now);
        for (const auto &[entry, message] : fixture.flushMessages(now)) {
            ++messages[entry];
        }
    }
    CHECK(messages[0] >= 8000 / 160);
    CHECK(messages[5] == 2);
}

TEST_CASE("An entry that ends the standby gets the current state at once, and its order then starts")
{
    ConnectedAgent fixture;
    fixture.standbyEntries.insert(4);
    fixture.deliverBatch(4, {}, Start + Milliseconds(10));
    const MonotonicTime activated = Start + Milliseconds(3000);
    fixture.standbyEntries.clear();
    fixture.deliverBatch(4, {}, activated);
    REQUIRE(fixture.flushMessages(activated).contains(4));
    fixture.placeOrder(4, 1000, activated + Milliseconds(5));
    CHECK(fixture.starts.size() == 1);
}

TEST_CASE("An agent that starts to drain tells entries on standby too")
{
    ConnectedAgent fixture;
    fixture.standbyEntries.insert(4);
    fixture.deliverBatch(4, {}, Start + Milliseconds(10));
    fixture.flushMessages(Start + Milliseconds(10));
    fixture.agent.handle(DrainRequested{}, Start + Milliseconds(20));
    const auto sent = fixture.flushMessages(Start + Milliseconds(20));
    REQUIRE(sent.contains(4));
    CHECK(sent.at(4).leaving);
}

TEST_CASE("Store outage: an agent does not relay a replaced state, and fetches the newest for the entry that asks")
{
    ConnectedAgent fixture;
    fixture.agent.handle(OperatorStateRead{operatorState(5, 1)}, Start + Milliseconds(10));
    fixture.positions[2] = 8;
    fixture.deliverBatch(2, {}, Start + Milliseconds(20));
    // Entry 7 has started during the outage.
    const MonotonicTime asked = Start + Milliseconds(700);
    fixture.waitingEntries.insert(7);
    fixture.deliverBatch(7, {}, asked);
    fixture.agent.handle(Tick{}, asked);
    const auto requests = fixture.flushMessages(asked);
    REQUIRE(requests.contains(2));
    CHECK(requests.at(2).wantsOperatorState);
    CHECK((!requests.contains(7) || !requests.at(7).__isset.operatorState));
    fixture.sentState = operatorState(8, 2);
    const MonotonicTime answered = asked + Milliseconds(5);
    fixture.deliverBatch(2, {}, answered);
    const auto relayed = fixture.flushMessages(answered);
    REQUIRE(relayed.contains(7));
    CHECK(relayed.at(7).operatorState.configurationVersion == 2);
}

TEST_CASE("An entry that starts gets the operator state only if it asks for it")
{
    ConnectedAgent fixture;
    fixture.agent.handle(OperatorStateRead{operatorState(5, 1)}, Start + Milliseconds(10));
    const MonotonicTime later = Start + Milliseconds(900);
    fixture.deliverBatch(3, {}, later);
    fixture.agent.handle(Tick{}, later);
    for (const auto &[entry, message] : fixture.flushMessages(later)) {
        CHECK_FALSE(message.__isset.operatorState);
    }
    fixture.waitingEntries.insert(3);
    fixture.deliverBatch(3, {}, later + Milliseconds(10));
    CHECK(fixture.flushMessages(later + Milliseconds(10)).at(3).operatorState.position == 5);
}

TEST_CASE("An entry that lacks the operator state although it reads the store gets it after 500 ms")
{
    ConnectedAgent fixture;
    fixture.positions[3] = 4;
    fixture.deliverBatch(3, {}, Start + Milliseconds(5));
    fixture.agent.handle(OperatorStateRead{operatorState(5, 1)}, Start + Milliseconds(10));
    for (const auto &[entry, message] : fixture.flushMessages(Start + Milliseconds(300))) {
        CHECK_FALSE(message.__isset.operatorState);
    }
    CHECK(fixture.flushMessages(Start + Milliseconds(600)).at(3).operatorState.position == 5);
}

// Guards against an entry without access to the store that is never sent the operator state again: the message that
// carried it was lost with its connection, and the agent counted it as sent.
TEST_CASE("The operator state is sent again to an entry that asks for it over a new connection")
{
    constexpr int Asking = 7;
    ConnectedAgent fixture;
    fixture.agent.handle(OperatorStateRead{operatorState(5, 2)}, Start + Milliseconds(10));
    fixture.waitingEntries.insert(Asking);
    fixture.deliverBatch(Asking, {}, Start + Milliseconds(20));
    REQUIRE(fixture.flushMessages(Start + Milliseconds(20)).at(Asking).__isset.operatorState);

    fixture.agent.handle(PeerClosed{addressOf(Asking)}, Start + Milliseconds(30));
    fixture.agent.handle(Tick{}, Start + Milliseconds(40));
    fixture.flushMessages(Start + Milliseconds(40));
    fixture.deliverBatch(Asking, {}, Start + Milliseconds(50));
    const auto sent = fixture.flushMessages(Start + Milliseconds(50));
    REQUIRE(sent.contains(Asking));
    CHECK(sent.at(Asking).__isset.operatorState);
}

TEST_CASE("A crash of the worker is reported once to each connected entry, and again over a new connection")
{
    ConnectedAgent fixture;
    fixture.standbyEntries.insert(4);
    fixture.deliverBatch(4, {}, Start + Milliseconds(10));
    fixture.placeOrder(0, 6000, Start + Milliseconds(20));
    WorkerReply refused;
    refused.callId = fixture.polls.back().callId;
    refused.isRefused = true;
    const MonotonicTime crashed = Start + Milliseconds(400);
    fixture.agent.handle(refused, crashed);
    const auto reports = fixture.flushMessages(crashed);
    REQUIRE(reports.size() == Entries);
    for (const auto &[entry, message] : reports) {
        REQUIRE(message.crashes.size() == 1);
        CHECK(message.crashes[0].runs.at(0).jobId == "job-1");
    }
    for (const auto &[entry, message] : fixture.flushMessages(crashed + Milliseconds(200))) {
        CHECK(message.crashes.empty());
    }
    fixture.agent.handle(PeerClosed{addressOf(3)}, crashed + Milliseconds(300));
    fixture.agent.handle(Tick{}, crashed + Milliseconds(300));
    CHECK(fixture.flushMessages(crashed + Milliseconds(300)).at(3).crashes.size() == 1);
}

// Guards against an entry that takes the runs of the agent's earlier incarnation for ended in the meantime.
TEST_CASE("An unknown run on the worker is reported to each entry at once, and so is its end")
{
    ConnectedAgent fixture;
    fixture.placeOrder(0, 4000, Start + Milliseconds(20));
    const RunKey own = fixture.starts.back().key;
    const MonotonicTime seen = Start + Milliseconds(30);
    fixture.agent.handle(fixture.listed({own, {"unknown", 0, 0, 1}}, {}), seen);
    const auto reports = fixture.flushMessages(seen);
    REQUIRE(reports.size() == Entries);
    CHECK(std::ranges::all_of(reports, [](const auto &each) { return each.second.hasUnknownRuns; }));
    CHECK(fixture.flushMessages(seen).empty());
    const MonotonicTime gone = seen + Milliseconds(40);
    fixture.agent.handle(Tick{}, gone);
    fixture.flushMessages(gone);
    fixture.agent.handle(fixture.listed({own}, {}), gone);
    const auto ends = fixture.flushMessages(gone);
    REQUIRE(ends.size() == Entries);
    CHECK(std::ranges::none_of(ends, [](const auto &each) { return each.second.hasUnknownRuns; }));
}

// Guards against an agent that gets no orders for good: its messages no longer arrive, without an end of the
// connection, while those of the entry do, with the echo of an old message.
TEST_CASE("An agent whose messages do not reach the entry connects again, though those of the entry arrive")
{
    ConnectedAgent fixture;
    const Milliseconds timeout = ConnectedAgent::options(false).entryTimeout;
    std::optional<MonotonicTime> resetAt;
    for (MonotonicTime now = Start; !resetAt && now < Start + 2 * timeout; now += Milliseconds(50)) {
        fixture.orderAge = std::chrono::duration_cast<Milliseconds>(now - Start);
        for (int entry = 0; entry < Entries; ++entry) {
            fixture.deliverBatch(entry, {}, now);
        }
        fixture.agent.handle(Tick{}, now);
        const auto commands = fixture.agent.flush(now);
        const bool isReset = std::ranges::any_of(
            commands, [](const WorkAgentCommand &each) { return std::holds_alternative<ResetPeer>(each); });
        resetAt = isReset ? std::optional(now) : std::nullopt;
    }
    REQUIRE(resetAt);
    CHECK(*resetAt >= Start + timeout);
    CHECK(*resetAt <= Start + timeout + Milliseconds(50));
}
