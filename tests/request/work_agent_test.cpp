#include "request/work_agent.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

#include <map>

using namespace marjoramferry;

namespace {

const MonotonicTime Start{std::chrono::hours(1)};
constexpr int Entries = 9;
constexpr int CapacityMillis = 16'000;

std::string addressOf(int entry)
{
    return absl::StrCat("10.0.0.", entry + 1, ":7000");
}

/** An agent beside a worker, connected to nine entries. */
struct ConnectedAgent
{
    WorkAgent agent;
    std::vector<StartRun> starts;
    std::vector<PollRuns> holds;
    std::map<int, wire::AgentBatch> sentWithOrder;
    int64_t lastOrder = 0;

    ConnectedAgent()
        : agent(options())
    {
        WorkerAnnouncement word;
        word.identity = {"worker", 7};
        word.service = "orders";
        word.address = "10.1.0.1:80";
        word.capacity = {CapacityMillis, 100'000, 0};
        word.clockMs = 100;
        word.sequence = 1;
        agent.handle(word, Start);
        messages(Start);
        agent.handle(listed({}, {}), Start);
        for (int entry = 0; entry < Entries; ++entry) {
            hear(entry, {}, Start);
        }
        agent.handle(Tick{}, Start);
        messages(Start);
    }

    static WorkAgentOptions options()
    {
        WorkAgentOptions options;
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
        reply.callId = holds.back().callId;
        reply.outcome = CallOutcome::Accepted;
        reply.clockMs = 200;
        reply.listing = RunListing{7, std::move(running), std::move(ended)};
        return reply;
    }

    void hear(int entry, const std::vector<wire::RunInstruction> &instructions, MonotonicTime now)
    {
        wire::EntryBatch batch;
        batch.entry = absl::StrCat("entry-", entry);
        batch.incarnation = absl::StrCat("entry-", entry, "-1");
        batch.session = 1;
        batch.agentIncarnation = "agent-1";
        batch.echoedUs = std::chrono::duration_cast<Microseconds>(now.time_since_epoch()).count();
        batch.firstSequence = lastOrder + 1;
        batch.instructions = instructions;
        lastOrder += static_cast<int64_t>(instructions.size());
        agent.handle(PeerMessage{addressOf(entry), batch}, now);
    }

    /** The entry orders a run, which the worker takes. */
    RunKey order(int entry, int cpuMillis, MonotonicTime now)
    {
        wire::RunInstruction instruction;
        wire::RunOrder order;
        order.runNumber = lastOrder + 1;
        order.jobId = absl::StrCat("job-", order.runNumber);
        order.attempt = 1;
        order.demand.cpuMillis = cpuMillis;
        order.patienceMs = 250;
        instruction.__set_order(order);
        hear(entry, {instruction}, now);
        sentWithOrder = messages(now);
        WorkerReply taken;
        taken.callId = starts.back().callId;
        taken.outcome = CallOutcome::Accepted;
        agent.handle(taken, now);
        return starts.back().key;
    }

    /** What each entry is sent, by its number, from one flush. */
    std::map<int, wire::AgentBatch> messages(MonotonicTime now)
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
                } else if (const auto *hold = std::get_if<PollRuns>(call)) {
                    holds.push_back(*hold);
                }
            }
        }
        return sent;
    }
};

} // namespace

TEST_CASE("Calm counter: the receipt of an order goes along with the next message")
{
    ConnectedAgent connected;
    const MonotonicTime later = Start + Milliseconds(20);
    connected.order(0, 6000, later);
    CHECK(connected.messages(later).empty());
    const auto due = connected.messages(Start + Milliseconds(160));
    REQUIRE(due.contains(0));
    CHECK(due.at(0).acknowledged == 1);
}

TEST_CASE("Burst at many entries: room that runs short is told soon, so that no entry orders it in vain")
{
    ConnectedAgent connected;
    // One message a millisecond to each side at the most, of nine.
    connected.order(0, 14'000, Start + Milliseconds(Entries));
    REQUIRE(connected.sentWithOrder.size() == Entries);
    CHECK(connected.sentWithOrder.at(5).room.unclaimed.cpuMillis == 2000);
}

TEST_CASE("Burst at many entries: freed room is told to the entry whose run ended, and to the others later")
{
    ConnectedAgent connected;
    const MonotonicTime ordered = Start + Milliseconds(20);
    const RunKey run = connected.order(3, 14'000, ordered);
    const MonotonicTime ended = Start + Milliseconds(60);
    connected.agent.handle(connected.listed({}, {ListedEnd{1, run, EndKind::Done}}), ended);
    const auto first = connected.messages(ended);
    REQUIRE(first.size() == 1);
    REQUIRE(first.contains(3));
    CHECK(first.at(3).ends.size() == 1);
    CHECK(first.at(3).room.unclaimed.cpuMillis == CapacityMillis);
    // Its next order may take the room before anyone else hears of it.
    CHECK(connected.messages(ended + Milliseconds(40)).empty());
    CHECK(connected.messages(ended + Milliseconds(150)).size() == Entries);
}
