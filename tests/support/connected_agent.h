#pragma once

#include "request/work_agent.h"

#include <absl/strings/str_cat.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace marjoramferry::testing {

inline const MonotonicTime Start{std::chrono::hours(1)};
inline constexpr int Entries = 9;
inline constexpr int CapacityMillis = 16'000;

inline std::string addressOf(int entry)
{
    return absl::StrCat("10.0.0.", entry + 1, ":7000");
}

/** An order of a run of the first task of a job. */
inline wire::RunOrder runOrder(int64_t runNumber, const std::string &jobId, int cpuMillis = 1000)
{
    wire::RunOrder order;
    order.runNumber = runNumber;
    order.jobId = jobId;
    order.attempt = 1;
    order.demand.cpuMillis = cpuMillis;
    order.patienceMs = 250;
    return order;
}

inline wire::RunInstruction instructionFor(const wire::RunOrder &order)
{
    wire::RunInstruction instruction;
    instruction.__set_order(order);
    return instruction;
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
    int64_t earlierFence = 0; ///< That the next messages of the entries report.

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
        batch.fence = earlierFence;
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
        const int64_t runNumber = lastOrderNumber + 1;
        deliverBatch(entry, {instructionFor(runOrder(runNumber, absl::StrCat("job-", runNumber), cpuMillis))}, now);
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

} // namespace marjoramferry::testing
