#include "tests/support/connected_agent.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>
#include <functional>
#include <ranges>

using namespace marjoramferry;
using namespace marjoramferry::testing;

namespace {

WorkerReply unanswered(int64_t callId)
{
    WorkerReply reply;
    reply.callId = callId;
    return reply;
}

} // namespace

TEST_CASE("An order that was under way for longer than the entry time-out is rejected as not started")
{
    ConnectedAgent fixture;
    fixture.orderAge = Milliseconds(710);
    const MonotonicTime now = Start + Milliseconds(900);
    fixture.deliverBatch(0, {instructionFor(runOrder(1, "late"))}, now);
    const auto sent = fixture.flushMessages(now);
    CHECK(fixture.starts.empty());
    REQUIRE(sent.contains(0));
    REQUIRE(sent.at(0).ends.size() == 1);
    CHECK(sent.at(0).ends[0].outcome == wire::RunOutcome::NOT_STARTED);
}

TEST_CASE("An order that is sent again together with its withdrawal is not started")
{
    // Guards against two runs of one task: a connection breaks before the order arrives, the caller leaves and has the
    // job run by another entry, and the next connection brings both instructions with a new proof of life.
    ConnectedAgent fixture;
    const wire::RunOrder order = runOrder(1, "abandoned");
    wire::RunInstruction withdrawn;
    wire::RunWithdrawal withdrawal;
    withdrawal.runNumber = order.runNumber;
    withdrawn.__set_withdrawal(withdrawal);
    const MonotonicTime now = Start + Milliseconds(20);
    fixture.deliverBatch(0, {instructionFor(order), withdrawn}, now);
    const auto sent = fixture.flushMessages(now);
    CHECK(fixture.starts.empty());
    REQUIRE(sent.contains(0));
    REQUIRE(sent.at(0).ends.size() == 1);
    CHECK(sent.at(0).ends[0].runNumber == order.runNumber);
    CHECK(sent.at(0).ends[0].outcome == wire::RunOutcome::NOT_STARTED);
}

// Guards against a task on a worker of the wrong kind, see the cases of the supervisor: the name is lost on the way.
TEST_CASE("An order that names a former worker of the agent is returned")
{
    ConnectedAgent fixture;
    wire::RunOrder order = runOrder(1, "placed-before");
    order.worker = GENERATE("worker", "former");
    order.workerBornMs = order.worker == "former" ? 7 : 6;
    fixture.deliverBatch(0, {instructionFor(order)}, Start + Milliseconds(20));
    const auto sent = fixture.flushMessages(Start + Milliseconds(20));
    CHECK(fixture.starts.empty());
    REQUIRE(sent.contains(0));
    REQUIRE(sent.at(0).ends.size() == 1);
    CHECK(sent.at(0).ends[0].outcome == wire::RunOutcome::NOT_STARTED);
    CHECK(sent.at(0).ends[0].reason == "other_worker");
}

// Guards against two runs of a task: an agent whose clock was set back told the entry that no earlier run was left,
// while a late start of its earlier process could still reach the worker.
TEST_CASE("An agent that hears of an earlier fence reports no cleared worker before that one has accepted a higher one")
{
    ConnectedAgent fixture;
    fixture.session = 2;
    fixture.earlierFence = 5000;
    const auto reportAt = [&](MonotonicTime now) {
        fixture.agent.handle(Tick{}, now);
        return fixture.flushMessages(now).at(0);
    };
    fixture.deliverBatch(0, {}, Start + Milliseconds(20));
    const wire::AgentBatch before = reportAt(Start + Milliseconds(200));
    CHECK_FALSE(before.cleared);
    CHECK_FALSE(before.room.takesRuns);
    CHECK(before.fence > fixture.earlierFence);
    CHECK(fixture.polls.back().fence == before.fence);
    fixture.agent.handle(fixture.listed({}, {}), Start + Milliseconds(201));
    const wire::AgentBatch after = reportAt(Start + Milliseconds(400));
    CHECK(after.cleared);
    CHECK(after.room.takesRuns);
}

TEST_CASE("An agent that wakes sends no start for an entry that has given it up whatever the order of events")
{
    // Guards against two runs of one task: the entry ends the session of a silent agent and orders the task elsewhere.
    constexpr Milliseconds EntryTimeout{700};
    const Milliseconds standstill = GENERATE(Milliseconds(701), Milliseconds(1900));
    const MonotonicTime wake = Start + standstill;
    const bool flushesEachEvent = GENERATE(false, true);
    std::vector<int> order{0, 1, 2, 3, 4};
    do {
        ConnectedAgent connected;
        connected.orderRun(0, 6000, Start);
        const int64_t startCall = connected.starts.back().callId;
        const int64_t pollCall = connected.polls.back().callId;
        connected.orderAge = standstill; // Messages that came during the standstill echo nothing newer.
        const std::vector<std::function<void()>> events{
            [&] { connected.agent.handle(unanswered(startCall), wake); },
            [&] { connected.agent.handle(unanswered(pollCall), wake); },
            [&] { connected.agent.handle(Tick{}, wake); },
            [&] { connected.agent.handle(PeerClosed{addressOf(0)}, wake); },
            [&] {
                connected.session = 2;
                connected.lastOrderNumber = 0;
                connected.deliverBatch(0, {}, wake);
            },
        };
        const size_t startsBefore = connected.starts.size();
        for (const int event : order) {
            events.at(static_cast<size_t>(event))();
            if (flushesEachEvent) {
                connected.flushMessages(wake);
            }
        }
        connected.flushMessages(wake);
        for (const StartRun &start : connected.starts | std::views::drop(startsBefore)) {
            INFO("start " << start.callId << ", order of events " << absl::StrJoin(order, " "));
            CHECK(start.notAfter <= Start + EntryTimeout);
        }
        CHECK(connected.polls.back().fence > connected.polls.front().fence); // The first start is settled.
    } while (std::ranges::next_permutation(order).found);
}

// Guards against a run that is left on a worker, because its agent froze or its stop was not carried out, when the same
// job arrives at another entry: the lease has to end before, whatever the agent knows of the stop.
TEST_CASE("The lease of an abandoned run ends before its job is sent again, though other entries use the worker")
{
    constexpr Milliseconds ResubmissionDelay{1300};
    constexpr Milliseconds StopTime{50};
    constexpr double ClockRate = 0.98; // Of the worker.
    const bool isWithdrawn = GENERATE(false, true); // Otherwise, the entry is silent.
    ConnectedAgent fixture;
    const MonotonicTime ordered = Start + Milliseconds(20);
    const RunKey run = fixture.placeOrder(0, 6000, ordered);
    const MonotonicTime abandoned = isWithdrawn ? ordered + Milliseconds(100) : ordered;
    int64_t newestLeaseEndMs = 0;
    size_t answeredPolls = 1;
    for (MonotonicTime now = ordered + Milliseconds(20); now < ordered + 2 * ResubmissionDelay;
         now += Milliseconds(20)) {
        if (now == abandoned) {
            wire::RunInstruction withdrawal;
            withdrawal.__set_withdrawal({});
            withdrawal.withdrawal.runNumber = 1;
            fixture.deliverBatch(0, {withdrawal}, now);
        } else if (isWithdrawn) {
            fixture.deliverBatch(0, {}, now);
        }
        fixture.deliverBatch(1, {}, now);
        fixture.agent.handle(Tick{}, now);
        fixture.flushMessages(now);
        for (; answeredPolls < fixture.polls.size(); ++answeredPolls) {
            const PollRuns &poll = fixture.polls[answeredPolls];
            newestLeaseEndMs = std::max(newestLeaseEndMs, poll.leaseEndMs.value_or(0));
            WorkerReply reply = fixture.listed({run}, {});
            reply.callId = poll.callId;
            reply.clockMs = 200 + static_cast<int64_t>(millisecondsBetween(Start, now) * ClockRate);
            fixture.agent.handle(reply, now);
        }
    }
    const long leaseEndMs
        = std::lround(static_cast<double>(newestLeaseEndMs - 200) / ClockRate) - millisecondsBetween(Start, abandoned);
    CHECK(leaseEndMs > 600);
    CHECK(leaseEndMs <= (ResubmissionDelay - StopTime).count());
}

// Guards against an order that is still young enough to be accepted, but shares a lease that ends too late for it.
TEST_CASE("A run isn't started under a lease that ends after its job may be sent again")
{
    ConnectedAgent fixture;
    fixture.placeOrder(1, 1000, Start + Milliseconds(20)); // Extends the lease by 600 ms.
    const MonotonicTime now = Start + Milliseconds(690);
    fixture.agent.handle(Tick{}, now);
    fixture.flushMessages(now);
    WorkerReply reply = fixture.listed({RunKey{"job-1", 0, 0, 1}}, {});
    reply.clockMs = 890;
    fixture.agent.handle(reply, now);
    fixture.flushMessages(now);
    const size_t startsBefore = fixture.starts.size();
    fixture.orderAge = Milliseconds(680);
    fixture.lastOrderNumber = 0; // Entry 0 has sent no order yet.
    wire::RunInstruction instruction;
    wire::RunOrder order;
    order.runNumber = 1;
    order.jobId = "old";
    order.attempt = 1;
    order.demand.cpuMillis = 1000;
    order.patienceMs = 250;
    instruction.__set_order(order);
    fixture.deliverBatch(0, {instruction}, now);
    fixture.flushMessages(now);
    CHECK(fixture.starts.size() == startsBefore);
    // The entry answers again.
    fixture.orderAge = Milliseconds(0);
    fixture.deliverBatch(0, {}, now + Milliseconds(5));
    fixture.agent.handle(Tick{}, now + Milliseconds(5));
    fixture.flushMessages(now + Milliseconds(5));
    CHECK(fixture.starts.size() == startsBefore + 1);
}
