#pragma once

#include "owner/agent_core.h"
#include "owner/entry_core.h"
#include "standins/table_model.h"
#include "tests/support/history.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace marjoramferry::testing {

/** Faults injected into the simulated table service. */
struct TableFaults
{
    bool outage = false; ///< Calls have no effect and time out.
    bool loseAnswers = false; ///< Transactions take effect, some of them late, but time out for the caller.
    Milliseconds latency{3};
};

struct SystemOptions
{
    uint64_t seed = 1;
    int entries = 3;
    int agents = 6;
    int domains = 3;
    int slots = 4;
    size_t maxOwners = 3;
    std::string placement = "least-loaded";
};

/**
 * Deterministic simulation of entries and agents in virtual time, with simulated links, table service
 * and endpoints. A run is reproducible from its seed.
 */
class VirtualSystem
{
public:
    explicit VirtualSystem(SystemOptions options);

    /** Advances virtual time by @p duration. */
    void run(Milliseconds duration);

    /** Schedules @p action to run after @p delay. */
    void schedule(Milliseconds delay, std::function<void()> action);

    /** Submits a job with one task per run time; each echoes its name. Returns its index in the history. */
    size_t submit(const std::string &jobId,
                  int entry,
                  const std::vector<int> &taskMs,
                  int deadlineMs,
                  const std::string &tenant = "t0");

    /** Sends an operator's HTTP request to an entry; the returned token identifies the response. */
    uint64_t sendRequest(int entry, const std::string &method, const std::string &path, const std::string &body = "");

    /** The response to a request, or nullptr while it is pending. */
    const HttpResponse *responseTo(uint64_t token) const;

    /** Publishes a release note with all domains, one service and two tenants, and waits for the agents to register. */
    void bringUp();

    void killEntry(int entry);
    void startEntry(int entry);
    void drainEntry(int entry);
    void killAgent(int agent);
    void startAgent(int agent);
    void drainAgent(int agent);
    void freezeEntry(int entry, Milliseconds duration);
    void freezeAgent(int agent, Milliseconds duration);

    /** Breaks the connection between an entry and an agent; both sides see it close. */
    void disconnectAgent(int entry, int agent, Milliseconds duration);
    void disconnectEntries(int first, int second, Milliseconds duration);
    void disconnectTable(int entry, Milliseconds duration);

    void announceLeaving(int agent);
    void setFailAllTasks(int agent, bool fails);

    TableFaults &tableFaults()
    {
        return tableFaults_;
    }

    const History &history();

    MonotonicTime now() const
    {
        return now_;
    }

    bool isStopped(int entry) const
    {
        return entries_[static_cast<size_t>(entry)].core == nullptr;
    }

    const TableModel &table() const
    {
        return table_;
    }

    static std::string domainName(int index)
    {
        return "d" + std::to_string(index);
    }

private:
    struct EntryNode
    {
        std::unique_ptr<EntryCore> core;
        int generation = 0;
        MonotonicTime frozenUntil;
        std::map<std::string, LinkId> linkBySender; ///< Key is the sender's name.
        std::map<LinkId, std::string> senderByLink;
        std::set<std::string> unreachablePeers; ///< Node names, or "table" for the table service.
    };

    struct AgentNode
    {
        std::unique_ptr<AgentCore> core;
        int generation = 0;
        MonotonicTime frozenUntil;
        bool isLeaving = false; ///< The endpoint is leaving; a restart of the agent does not reset this.
        bool failsAllTasks = false;
        int runningTasks = 0;
    };

    template<typename Node, typename Event>
    void deliver(Node &node, int generation, Event event, Milliseconds delay);
    void handleEntry(int index, const EntryEvent &event);
    void handleAgent(int index, const AgentEvent &event);
    void executeEntry(int index, EntryCommand &command);
    void executeAgent(int index, AgentCommand &command);
    void deliverToEntry(int index, int generation, EntryEvent event);
    void deliverToAgent(int index, int generation, AgentEvent event);
    void sendFromEntry(int index, const SendToLink &command);
    void sendToEntry(const std::string &sender, const SendToPeer &command, const std::function<void()> &onBroken);
    void callTable(int index, const TableCall &command);
    void callEndpoint(int index, const CallEndpoint &command);
    void recordCommit(const TableRequest &request, const TableResult &result);
    void breakLink(int entry, const std::string &sender);
    void notifyPeerClosed(const std::string &sender, const std::string &address);
    void tickEntry(int index, int generation);
    void tickAgent(int index, int generation);
    void announce(int index, int generation);
    MonotonicTime arrivalTime(const std::string &from, const std::string &to);
    Milliseconds drawDelay(int low, int high);

    static std::string entryName(int index)
    {
        return "e" + std::to_string(index);
    }

    static std::string agentName(int index)
    {
        return "a" + std::to_string(index);
    }

    static int indexOfAddress(const std::string &address)
    {
        return std::stoi(address.substr(1));
    }

    const SystemOptions options_;
    std::mt19937_64 random_;
    MonotonicTime now_{std::chrono::hours(1)};
    int64_t lastActionId_ = 0;
    std::map<std::pair<MonotonicTime, int64_t>, std::function<void()>> actions_;
    std::map<std::string, MonotonicTime> lastArrival_; ///< Per direction of a link; messages are delivered in order.
    TableModel table_;
    TableFaults tableFaults_;
    std::set<std::string> claimedJobs_; ///< Ids of jobs with a committed claim.
    std::vector<EntryNode> entries_;
    std::vector<AgentNode> agents_;
    LinkId lastLink_ = 0;
    uint64_t lastToken_ = 0;
    std::map<uint64_t, size_t> submissionByToken_;
    std::map<uint64_t, int> entryByToken_;
    std::map<uint64_t, HttpResponse> responses_;
    History history_;
};

} // namespace marjoramferry::testing
