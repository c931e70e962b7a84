#pragma once

#include "request/work_agent.h"
#include "request/work_entry.h"
#include "standins/worker_model.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace marjoramferry::testing {

struct WorldOptions
{
    int entries = 3;
    int agents = 5;
    int capacityMillis = 32'000;
    std::vector<double> sizes{1}; ///< Of the workers in turn: times capacityMillis.
    std::vector<double> speeds{1}; ///< Of the workers in turn.
    uint64_t seed = 1;
    double lostAnswers = 0; ///< Share of starts that are carried out at once, and whose answer is lost.
    double lateOrders = 0; ///< Share of starts that get no answer and are carried out seconds later.
};

/** A job of equal tasks, as a caller submits it. */
struct CounterJob
{
    std::string id;
    std::string queue; ///< "quote", "status" or "survey", the most urgent first.
    int tasks = 0;
    int runMs = 0; ///< Of each task, on a worker of middling speed.
    int estimateMs = 0; ///< What the caller says of it.
    int cpuMillis = 0;
};

/** What became of one call of a caller. */
struct CallRecord
{
    CounterJob job;
    MonotonicTime sentAt;
    MonotonicTime answeredAt;
    std::optional<CallResponse> answer;
    bool wasCut = false; ///< The entry died.
    bool wasLeft = false; ///< The caller went away.
};

/**
 * Entries, agents and workers in virtual time, with the network between them.
 *
 * A cut holds messages back; they arrive late when it heals, unless their connection was closed.
 */
class WorkWorld
{
public:
    explicit WorkWorld(WorldOptions options);

    void runFor(Milliseconds span);
    MonotonicTime now() const
    {
        return now_;
    }

    /** Has a caller submit a job, and send it again should its entry die. */
    void submit(const CounterJob &job, int entry, Milliseconds deadline);
    void after(Milliseconds delay, std::function<void()> action);

    void killEntry(int entry, Milliseconds downFor);
    void killAgent(int agent, Milliseconds downFor);
    void drainAgent(int agent);
    void freezeEntry(int entry, Milliseconds span);
    void freezeAgent(int agent, Milliseconds span);
    void cut(int entry, int agent, bool toAgent, bool toEntry, Milliseconds span);
    void restartWorker(int agent, bool keepsName);
    WorkerModel &worker(int agent);
    int entryCount() const
    {
        return options_.entries;
    }

    const std::vector<CallRecord> &calls() const
    {
        return calls_;
    }

    /** Every rule that was broken, in words. */
    std::vector<std::string> violations() const;

    int complete() const;

    /** Of the jobs of @p queue, or of all for "": the share that was complete in time. */
    double inTime(const std::string &queue) const;

    /** The same, of the jobs handed in from @p from to @p to. */
    double inTime(const std::string &queue, MonotonicTime from, MonotonicTime to) const;

    /** The longest that a rejected call was held. */
    Milliseconds longestRejection() const;

private:
    struct Connection
    {
        int entry = 0;
        int agent = 0;
        int64_t entryLife = 0;
        bool isOpen = true;
        MonotonicTime lastToAgent{}; ///< Messages of one connection keep their order.
        MonotonicTime lastToEntry{};
    };

    template<typename Core>
    struct Node
    {
        std::unique_ptr<Core> core; ///< Nothing while the process is down.
        int64_t life = 0;
        MonotonicTime frozenUntil;
    };

    void startEntry(int entry);
    void startAgent(int agent);
    void toEntry(int entry, int64_t life, WorkEntryEvent event);
    void toAgent(int agent, int64_t life, WorkAgentEvent event);
    void flushEntry(int entry);
    void flushAgent(int agent);
    void execute(int entry, WorkEntryCommand &command);
    void execute(int agent, WorkAgentCommand &command);
    void sendToEntry(int agent, const std::string &address, Message message);
    void sendToAgent(LinkId link, Message message);
    void closeConnections(const std::function<bool(const Connection &)> &isMeant);
    void callWorker(int agent, const WorkerCall &call);
    void answerHold(int agent, int64_t life, const PollRuns &hold, MonotonicTime until);
    void announce(int agent);
    void tickEntry(int entry, int64_t life);
    void tickAgent(int agent, int64_t life);
    void onAnswer(const CallResponse &answer);
    void sendCall(const CounterJob &job, int entry, MonotonicTime deadlineAt);
    int capacityOf(int agent) const;
    MonotonicTime whenThrough(int entry, int agent, bool isToAgent) const;
    std::string addressOf(int entry) const;
    bool chance(double share);

    const WorldOptions options_;
    std::mt19937_64 random_;
    MonotonicTime now_;
    int64_t lastAction_ = 0;
    std::map<std::pair<MonotonicTime, int64_t>, std::function<void()>> actions_;
    std::vector<Node<WorkEntry>> entries_;
    std::vector<Node<WorkAgent>> agents_;
    std::vector<std::unique_ptr<WorkerModel>> workers_; ///< By agent.
    std::vector<std::pair<int, std::unique_ptr<WorkerModel>>> deadWorkers_; ///< With their agents.
    std::vector<int64_t> announced_;
    std::map<LinkId, Connection> connections_;
    std::map<std::pair<int, std::string>, LinkId> links_; ///< By agent and entry address.
    std::map<std::tuple<int, int, bool>, MonotonicTime> cutUntil_;
    std::vector<CallRecord> calls_; ///< By token, from 1.
    std::map<uint64_t, std::pair<int, std::function<void()>>> resend_; ///< By token: its entry, and the call once more.
    LinkId lastLink_ = 0;
    int64_t lastLife_ = 0;
};

} // namespace marjoramferry::testing
