#pragma once

#include "request/agent_core.h"
#include "request/entry_core.h"
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

/** Faults of the virtual table service. */
struct TableFaults
{
    bool outage = false; ///< Calls get no answer and do nothing.
    bool loseAnswers = false; ///< Transactions take effect, some of them late, and get no answer.
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
 * The decisions of entries and agents, run in virtual time over fakes of links, table service and
 * endpoints. Everything follows from the seed, so a run gives the same history every time.
 */
class VirtualSystem
{
public:
    explicit VirtualSystem(SystemOptions options);

    /** Runs until that much virtual time has passed. */
    void run(Milliseconds duration);

    /** Runs an action at a time from now. */
    void after(Milliseconds delay, std::function<void()> action);

    /** Submits a job of tasks that run for the given times and echo their names. Returns its index in the history. */
    size_t submit(const std::string &jobId,
                  int entry,
                  const std::vector<int> &taskMs,
                  int deadlineMs,
                  const std::string &tenant = "t0");

    /** Makes a call of an operator; its answer is kept under the returned token. */
    uint64_t call(int entry, const std::string &method, const std::string &path, const std::string &body = "");

    /** The answer to a call, or nothing yet. */
    const HttpResponse *answerTo(uint64_t token) const;

    /** Publishes the first note, with all domains, one service and two tenants, and waits until agents are up. */
    void bringUp();

    void killEntry(int entry);
    void startEntry(int entry);
    void drainEntry(int entry);
    void killAgent(int agent);
    void startAgent(int agent);
    void drainAgent(int agent);
    void freezeEntry(int entry, Milliseconds duration);
    void freezeAgent(int agent, Milliseconds duration);

    /** Cuts an entry from an agent for a while; both see the connection break. */
    void cutLink(int entry, int agent, Milliseconds duration);
    void cutEntries(int first, int second, Milliseconds duration);
    void cutTable(int entry, Milliseconds duration);

    void announceLeaving(int agent);
    void failEverythingAt(int agent, bool fails);

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

    static std::string domainOf(int index)
    {
        return "d" + std::to_string(index);
    }

private:
    struct EntryNode
    {
        std::unique_ptr<EntryCore> core;
        int life = 0;
        MonotonicTime frozenUntil;
        std::map<std::string, LinkId> linkOf; ///< By the sender's name.
        std::map<LinkId, std::string> senderOf;
        std::set<std::string> cutFrom; ///< Names of nodes, or "table".
    };

    struct AgentNode
    {
        std::unique_ptr<AgentCore> core;
        int life = 0;
        MonotonicTime frozenUntil;
        bool leaving = false; ///< The endpoint leaves; a restart of the agent does not change that.
        bool failsAll = false;
        int running = 0;
    };

    template<typename Node, typename Event>
    void deliver(Node &node, int life, Event event, Milliseconds delay);
    void handleEntry(int index, const EntryEvent &event);
    void handleAgent(int index, const AgentEvent &event);
    void executeEntry(int index, EntryCommand &command);
    void executeAgent(int index, AgentCommand &command);
    void toEntry(int index, int life, EntryEvent event);
    void toAgent(int index, int life, AgentEvent event);
    void sendFromEntry(int index, const SendToLink &command);
    void sendToEntry(const std::string &sender, const SendToPeer &command, const std::function<void()> &onBroken);
    void callTable(int index, const TableCall &command);
    void callEndpoint(int index, const CallEndpoint &command);
    void noteCommit(const TableRequest &request, const TableResult &result);
    void breakLink(int entry, const std::string &sender);
    void closeFor(const std::string &sender, const std::string &address);
    void tickEntry(int index, int life);
    void tickAgent(int index, int life);
    void announce(int index, int life);
    MonotonicTime arrival(const std::string &from, const std::string &to);
    Milliseconds draw(int low, int high);

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
    int64_t order_ = 0;
    std::map<std::pair<MonotonicTime, int64_t>, std::function<void()>> queue_;
    std::map<std::string, MonotonicTime> lastArrival_; ///< Keeps each direction of a link in order.
    TableModel table_;
    TableFaults tableFaults_;
    std::set<std::string> claimed_; ///< Jobs with a committed claim.
    std::vector<EntryNode> entries_;
    std::vector<AgentNode> agents_;
    LinkId lastLink_ = 0;
    uint64_t lastToken_ = 0;
    std::map<uint64_t, size_t> submissionOf_;
    std::map<uint64_t, int> entryOf_;
    std::map<uint64_t, HttpResponse> replies_;
    History history_;
};

} // namespace marjoramferry::testing
