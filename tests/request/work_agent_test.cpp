#include "request/work_agent.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <ranges>
#include <set>

using namespace marjoramferry;

namespace {

const MonotonicTime Start{std::chrono::hours(1)};
constexpr int Entries = 9;
constexpr int CapacityMillis = 16'000;

std::string addressOf(int entry)
{
    return absl::StrCat("10.0.0.", entry + 1, ":7000");
}

wire::OperatorState operatorState(int64_t position, int64_t version)
{
    wire::OperatorState state;
    state.position = position;
    state.configurationVersion = version;
    return state;
}

WorkerReply unanswered(int64_t callId)
{
    WorkerReply reply;
    reply.callId = callId;
    return reply;
}

/** An agent with a worker, connected to nine entries. */
struct ConnectedAgent
{
    WorkAgent agent;
    std::vector<StartRun> starts;
    std::vector<PollRuns> polls;
    std::map<int, wire::AgentBatch> sentWithOrder;
    std::set<int> standbyEntries; ///< Entries that put the agent on standby with their next message.
    std::set<int> waitingEntries; ///< Entries that can't read the store and ask for the operator state.
    std::map<int, int64_t> positions; ///< Of the operator states of the entries.
    std::map<int, wire::WaitingWork> waiting; ///< Sent with the next messages of the entries.
    std::optional<wire::OperatorState> sentState; ///< Sent with the next messages of the entries.
    Milliseconds orderAge{0}; ///< Time that the messages of the entries were under way.
    int64_t lastOrderNumber = 0;
    int64_t session = 1; ///< Of the next messages of the entries.

    explicit ConnectedAgent(bool offers = false)
        : agent(options(offers))
    {
        WorkerAnnouncement announcement;
        announcement.identity = {"worker", 7};
        announcement.service = "orders";
        announcement.address = "10.1.0.1:80";
        announcement.capacity = {CapacityMillis, 100'000, 0};
        announcement.clockMs = 100;
        announcement.sequence = 1;
        agent.handle(announcement, Start);
        flushMessages(Start);
        agent.handle(listed({}, {}), Start);
        for (int entry = 0; entry < Entries; ++entry) {
            deliverBatch(entry, {}, Start);
        }
        agent.handle(Tick{}, Start);
        flushMessages(Start);
    }

    static WorkAgentOptions options(bool offers)
    {
        WorkAgentOptions options;
        options.offers = offers;
        options.name = "agent";
        options.incarnation = "agent-1";
        for (int entry = 0; entry < Entries; ++entry) {
            options.seedAddresses.push_back(addressOf(entry));
        }
        return options;
    }

    WorkerReply listed(std::vector<RunKey> running, std::vector<ListedEnd> ended)
    {
        WorkerReply reply;
        reply.callId = polls.back().callId;
        reply.outcome = CallOutcome::Accepted;
        reply.clockMs = 200;
        reply.listing = RunListing{7, std::move(running), std::move(ended)};
        return reply;
    }

    void deliverBatch(int entry, const std::vector<wire::RunInstruction> &instructions, MonotonicTime now)
    {
        wire::EntryBatch batch;
        batch.entry = absl::StrCat("entry-", entry);
        batch.incarnation = absl::StrCat("entry-", entry, "-1");
        batch.session = session;
        batch.agentIncarnation = "agent-1";
        batch.echoedUs = std::chrono::duration_cast<Microseconds>((now - orderAge).time_since_epoch()).count();
        batch.firstSequence = lastOrderNumber + 1;
        batch.instructions = instructions;
        batch.standby = standbyEntries.contains(entry);
        batch.operatorPosition = positions[entry];
        batch.wantsOperatorState = waitingEntries.contains(entry);
        if (waiting.contains(entry)) {
            batch.__set_waiting(waiting.at(entry));
        }
        if (sentState) {
            batch.__set_operatorState(*sentState);
        }
        lastOrderNumber += static_cast<int64_t>(instructions.size());
        agent.handle(PeerMessage{addressOf(entry), batch}, now);
    }

    /** Delivers an entry's order of a run, and sends its start. */
    void orderRun(int entry, int cpuMillis, MonotonicTime now)
    {
        wire::RunInstruction instruction;
        wire::RunOrder order;
        order.runNumber = lastOrderNumber + 1;
        order.jobId = absl::StrCat("job-", order.runNumber);
        order.attempt = 1;
        order.demand.cpuMillis = cpuMillis;
        order.patienceMs = 250;
        instruction.__set_order(order);
        deliverBatch(entry, {instruction}, now);
        sentWithOrder = flushMessages(now);
    }

    /** Delivers an entry's order of a run, which the worker accepts. */
    RunKey placeOrder(int entry, int cpuMillis, MonotonicTime now)
    {
        orderRun(entry, cpuMillis, now);
        WorkerReply accepted;
        accepted.callId = starts.back().callId;
        accepted.outcome = CallOutcome::Accepted;
        agent.handle(accepted, now);
        return starts.back().key;
    }

    /** The messages of one flush, by number of the entry. */
    std::map<int, wire::AgentBatch> flushMessages(MonotonicTime now)
    {
        std::map<int, wire::AgentBatch> sent;
        for (WorkAgentCommand &command : agent.flush(now)) {
            if (const auto *message = std::get_if<SendToPeer>(&command)) {
                for (int entry = 0; entry < Entries; ++entry) {
                    if (message->address == addressOf(entry)) {
                        sent[entry] = std::get<wire::AgentBatch>(message->message);
                    }
                }
            } else if (const auto *call = std::get_if<WorkerCall>(&command)) {
                if (const auto *start = std::get_if<StartRun>(call)) {
                    starts.push_back(*start);
                } else if (const auto *poll = std::get_if<PollRuns>(call)) {
                    polls.push_back(*poll);
                }
            }
        }
        return sent;
    }
};

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

TEST_CASE("An order that was under way for longer than the entry time-out is rejected as not started")
{
    ConnectedAgent fixture;
    fixture.orderAge = Milliseconds(710);
    wire::RunInstruction instruction;
    wire::RunOrder order;
    order.runNumber = 1;
    order.jobId = "late";
    order.attempt = 1;
    order.demand.cpuMillis = 1000;
    order.patienceMs = 250;
    instruction.__set_order(order);
    const MonotonicTime now = Start + Milliseconds(900);
    fixture.deliverBatch(0, {instruction}, now);
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
    wire::RunInstruction ordered;
    wire::RunOrder order;
    order.runNumber = 1;
    order.jobId = "abandoned";
    order.attempt = 1;
    order.demand.cpuMillis = 1000;
    order.patienceMs = 250;
    ordered.__set_order(order);
    wire::RunInstruction withdrawn;
    wire::RunWithdrawal withdrawal;
    withdrawal.runNumber = order.runNumber;
    withdrawn.__set_withdrawal(withdrawal);
    const MonotonicTime now = Start + Milliseconds(20);
    fixture.deliverBatch(0, {ordered, withdrawn}, now);
    const auto sent = fixture.flushMessages(now);
    CHECK(fixture.starts.empty());
    REQUIRE(sent.contains(0));
    REQUIRE(sent.at(0).ends.size() == 1);
    CHECK(sent.at(0).ends[0].runNumber == order.runNumber);
    CHECK(sent.at(0).ends[0].outcome == wire::RunOutcome::NOT_STARTED);
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
