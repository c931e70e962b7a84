#pragma once

#include "request/work_agent.h"
#include "request/work_entry.h"
#include "standins/worker_model.h"
#include "tests/support/machine_clock.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace marjoramferry::testing {

/** The latency objective of a job is its run time times StretchFactor plus TargetLatency. */
constexpr double StretchFactor = 1.6;
constexpr Milliseconds TargetLatency{60};
/** The service of all workers and queues. */
inline constexpr const char *ServiceName = "orders";
/** Share of the calls over a connection that is lost which the worker executes. */
inline constexpr double ExecutedShare = 0.5;
/** Between an entry and an agent. */
inline constexpr Microseconds NodeLatency{1400};
/** From an agent to its worker. */
inline constexpr Microseconds WorkerLatency{100};
/** The host of all calls. */
inline constexpr const char *HostName = "desk.example";

struct SimulationOptions
{
    int entries = 3;
    int agents = 5;
    int domains = 1; ///< Failure domains, to which the workers belong in rotation.
    WorkerSubsetOptions subset; ///< Of the workers that each entry uses.
    bool admission = false; ///< The setting of the entries.
    int capacityCpuMillis = 32'000; ///< Base capacity of a worker, in thousandths of a core.
    std::vector<double> sizeFactors{1}; ///< Multipliers of capacityCpuMillis, assigned to the workers in rotation.
    std::vector<double> speedFactors{1}; ///< Relative speeds, assigned to the workers in rotation.
    uint64_t seed = 1;
    double lostResponseShare = 0; ///< Fraction of starts executed at once whose response is lost.
    double lateOrderShare = 0; ///< Fraction of starts executed seconds later, without a response.
    bool lateOrdersReachSuccessors = true; ///< Also by the next process of the worker.
    bool offers = false; ///< The setting `offers` of entries and agents.
    double lateStopShare = 0; ///< Fraction of stops executed seconds later, without a response.
    double lostStopShare = 0; ///< Fraction of stops never executed, without a response.
    /** Overlaps with runs that a worker has executed without being sent them are no violations by themselves. */
    bool toleratesUnsentRuns = false;
    bool callersReturn = false; ///< Callers send a job again, with a new deadline, after theirs has passed.
    bool recordsLog = false; ///< See log().
    Milliseconds maxClockOffset{0}; ///< Each machine's clock is ahead of now() by up to this.
    double maxClockRateError = 0; ///< Each machine's clock is fast or slow by up to this fraction.
    Milliseconds minCallerEndDelay{0}; ///< From the end of a caller's connection to its arrival at the entry.
    Milliseconds maxCallerEndDelay{0};
};

/** How a worker fails the calls that it gets. */
enum class CallFailure {
    Unhealthy, ///< Refuses them, as with status 429 or 503.
    ConnectionRefused,
    ConnectionReset, ///< Ends the connection, having executed half of the calls.
    NoAnswer, ///< Executes none.
    Malformed, ///< Accepts polls with an answer that can't be read, and nothing else.
};
inline constexpr int CallFailures = static_cast<int>(CallFailure::Malformed) + 1;

/** A job of equal tasks. */
struct SimulatedJob
{
    std::string id;
    std::string queue; ///< "quote", "status" or "survey", in descending order of priority.
    int tasks = 0;
    int runMs = 0; ///< Run time of each task on a worker of speed 1.
    int estimateMs = 0; ///< The caller's estimate of runMs.
    int cpuMillis = 0; ///< Demand of each task, in thousandths of a core.
    std::optional<int> crashingTask{}; ///< Index of the task that crashes each worker that starts it.
};

/** A caller's submission of a job and its outcome. */
struct CallRecord
{
    SimulatedJob job;
    MonotonicTime sentAt;
    MonotonicTime respondedAt;
    std::optional<CallResponse> response;
    bool isConnectionLost = false; ///< The entry was killed or was not running.
    bool isAbandoned = false; ///< The caller reached its deadline without a response, or gave up.
};

/**
 * Deterministic simulation of entries, agents, workers and the network between them, in virtual time.
 *
 * Blocked messages are delivered once the block ends, unless their connection was closed.
 */
class WorkSimulation
{
public:
    explicit WorkSimulation(SimulationOptions options);

    void runFor(Milliseconds duration);
    MonotonicTime now() const
    {
        return now_;
    }

    /** Submits a job, and again at the next entry if the entry is killed or interrupts the call. */
    void submit(const SimulatedJob &job, int entry, Milliseconds timeout);
    void schedule(Milliseconds delay, std::function<void()> action);

    void killEntry(int entry, Milliseconds downtime);
    void killAgent(int agent, Milliseconds downtime);
    void drainAgent(int agent);
    void freezeEntry(int entry, Milliseconds duration);
    void freezeAgent(int agent, Milliseconds duration);
    /**
     * Stops the whole machine, also its kernel. What is sent to it meanwhile arrives with a retransmission, on each
     * connection at another time, as late again as the suspension was long at most.
     */
    void suspendEntry(int entry, Milliseconds duration);
    void suspendAgent(int agent, Milliseconds duration);
    /** Resets the connections of this fraction of the callers that wait at the entry. They send their jobs again. */
    void resetCallers(int entry, double share);
    /** This fraction of the callers that wait at the entry leave for good. */
    void giveUpCalls(int entry, double share);
    /** Delays messages between an entry and an agent, in the given directions, by up to @p duration. */
    void blockMessages(int entry, int agent, bool toAgent, bool toEntry, Milliseconds duration);
    /**
     * The open connection between an entry and an agent delivers nothing more in the given directions, and stays open
     * at both ends. A new connection works.
     */
    void silenceLink(int entry, int agent, bool toAgent, bool toEntry);
    /**
     * The pending calls to the worker remain unanswered, and so do the next ones, which are sent over as many idle
     * connections. The worker executes half of the latter.
     */
    void silenceWorkerCalls(int agent, int idleConnections);
    /** The worker fails all calls that arrive within @p duration, and announces itself as before. */
    void failWorkerCalls(int agent, CallFailure failure, Milliseconds duration);
    /** Within @p duration the process runs for the first @p runTime of each 100 ms only, as under a processor quota. */
    void throttleEntry(int entry, Milliseconds runTime, Milliseconds duration);
    void throttleAgent(int agent, Milliseconds runTime, Milliseconds duration);
    /** Kills the worker of an agent and starts another one, under the same id if @p keepsId. */
    void restartWorker(int agent, bool keepsId);
    /**
     * Ends the worker of an agent. The next process under its ID starts after @p downtime, and first executes some of
     * the starts that are late.
     */
    void returnWorker(int agent, Milliseconds downtime);
    /** Delivers the announcement of a process that isn't there, under the worker's id if @p usesId. */
    void announceForeignWorker(int agent, bool usesId);
    /** Kills the worker of an agent; another one starts after @p downtime. Until then, calls to it are refused. */
    void crashWorker(int agent, Milliseconds downtime);
    WorkerModel &worker(int agent);
    int entryCount() const
    {
        return options_.entries;
    }

    /** For each task that crashed a worker, by job and index: how many. */
    const std::map<std::pair<std::string, int>, int> &crashesByTask() const
    {
        return crashesByTask_;
    }

    /** Messages between entries and agents since the start. */
    int64_t messagesSent() const
    {
        return messagesSent_;
    }

    /** Run orders of entries since the start, and the tasks that they ordered at least once. */
    int64_t dispatches() const
    {
        return dispatches_;
    }
    int64_t dispatchedTasks() const
    {
        return dispatchedTasks_;
    }

    /** Dispatches that did not lead to a run, by the reason that the agent gave. */
    const std::map<std::string, int> &returnedDispatches() const
    {
        return returnedDispatches_;
    }

    const std::vector<CallRecord> &calls() const
    {
        return calls_;
    }

    /** The log lines of all processes, with their time in milliseconds. */
    const std::vector<std::string> &log() const
    {
        return log_;
    }

    /** A description of each violated invariant. */
    std::vector<std::string> violations() const;

    int completeCalls() const;

    /** Fraction of the calls of @p queue, or of all queues if empty, that completed within their latency objective. */
    double onTimeShare(const std::string &queue) const;

    /** The same for calls sent between @p from and @p to. */
    double onTimeShare(const std::string &queue, MonotonicTime from, MonotonicTime to) const;

    /** Longest time until a rejected call received its response. */
    Milliseconds longestRejectionDelay() const;

private:
    struct Connection
    {
        int entry = 0;
        int agent = 0;
        int64_t entryGeneration = 0;
        bool isOpen = true;
        MonotonicTime lastArrivalAtAgent{}; ///< Messages of one connection are delivered in order.
        MonotonicTime lastArrivalAtEntry{};
        bool isSilentToAgent = false;
        bool isSilentToEntry = false;
    };

    /** Where a process is when it freezes. */
    enum class FreezePoint {
        Idle,
        AfterTake, ///< It has taken events from its queue and has not handled them.
        BeforeExecution, ///< It has handled events and has not executed the commands.
    };

    template<typename Core, typename Event, typename Command>
    struct Node
    {
        std::unique_ptr<Core> core; ///< Null while the process is down.
        int64_t generation = 0; ///< Events for an earlier generation are dropped.
        MachineClock clock{};
        bool isFrozen = false; ///< Until all events that arrived meanwhile are handled.
        MonotonicTime frozenAt{};
        MonotonicTime frozenUntil{};
        FreezePoint freezePoint = FreezePoint::Idle;
        bool isSuspended = false; ///< With its machine, while it is frozen.
        Milliseconds suspended{0}; ///< How long, until it has been told.
        std::vector<Event> taken{}; ///< Taken from the queue before the freeze.
        std::vector<Event> deferred{}; ///< Arrived during the freeze.
        std::vector<Command> heldCommands{}; ///< Of the events that were handled before the freeze.
        std::vector<uint64_t> closedCalls{}; ///< Calls whose caller has left since the last pass.
    };
    using EntryNode = Node<WorkEntry, WorkEntryEvent, WorkEntryCommand>;
    using AgentNode = Node<WorkAgent, WorkAgentEvent, WorkAgentCommand>;

    /** A call to a worker that an answer is expected for. */
    struct PendingCall
    {
        int agent = 0;
        int64_t generation = 0;
        int64_t callId = 0;
        MonotonicTime sentAt;
        MonotonicTime timeoutAt;
    };

    /** The connections of an agent to its worker that have gone silent. */
    struct SilentCalls
    {
        int64_t generation = 0; ///< Of the agent.
        MonotonicTime since;
        int idleConnections = 0; ///< The next calls are sent over these.
        int64_t workerStartTimeMs = 0;
    };

    struct FailingCalls
    {
        CallFailure failure = CallFailure::Unhealthy;
        MonotonicTime until;
    };

    /** A start that is executed late. */
    struct LateStart
    {
        int agent = 0;
        StartRun call;
        int64_t receiverStartTimeMs = 0; ///< Of the process that it was sent to.
    };

    /** A run by a late start that was sent to an earlier process of the worker than the one that executes it. */
    struct UnsentRun
    {
        int agent = 0;
        RunKey key;
        int64_t startTimeMs = 0; ///< Of the successor.
        MonotonicTime from;
        MonotonicTime seenAt = MonotonicTime::max(); ///< When an agent first got a listing with it.
    };

    /** A caller's job and its place among the sends of that job. */
    struct Submission
    {
        SimulatedJob job;
        int entry = 0;
        Milliseconds timeout{0};
        MonotonicTime deadlineAt;
        int resends = 0;
    };

    void startEntry(int entry);
    void startAgent(int agent);
    void deliverToEntry(int entry, int64_t generation, WorkEntryEvent event);
    void deliverToAgent(int agent, int64_t generation, WorkAgentEvent event);
    /** Handles events as one pass of the process; its loop looks which callers have left before it handles any. */
    void handlePass(int entry, const std::vector<WorkEntryEvent> &events, bool looksAtCallers);
    void handlePass(int agent, const std::vector<WorkAgentEvent> &events);
    template<typename NodeType>
    void freeze(NodeType &node, Milliseconds duration);
    /** Whether the node is frozen; if so, keeps the event for later. */
    template<typename NodeType, typename Event>
    bool deferIfFrozen(NodeType &node, const Event &event);
    void wakeEntry(int entry, int64_t generation);
    void wakeAgent(int agent, int64_t generation);
    /** Removes the events of the next pass of a process that wakes, in an order that threads can produce. */
    template<typename Event>
    std::vector<Event> takePass(std::vector<Event> &deferred);
    void executeAll(int entry, std::vector<WorkEntryCommand> commands);
    void executeAll(int agent, std::vector<WorkAgentCommand> commands);
    void execute(int entry, WorkEntryCommand &command);
    void execute(int agent, WorkAgentCommand &command);
    void recordDispatch(const LogEvent &event);
    void checkEnd(const RunKey &key, const std::string &worker);
    bool isUnsent(const RunInterval &run) const;
    void executeLateStart(int64_t id);
    void recordSeenRuns(const PendingCall &pending, const WorkerReply &reply);
    void recordLog(const std::string &process, const LogEvent &event);
    void replyToAgent(const PendingCall &pending, WorkerReply reply);
    void leaveUnanswered(const PendingCall &pending);
    bool isSilent(const PendingCall &pending) const;
    /** Sends the call over a connection that is silent, if the agent has one left. */
    bool sendIfSilent(const PendingCall &pending, const WorkerCall &call);
    void sendToEntry(int agent, const std::string &address, Message message);
    void sendToAgent(LinkId link, Message message);
    void closeConnection(LinkId link);
    void closeConnections(const std::function<bool(const Connection &)> &matches);
    void callWorker(int agent, const WorkerCall &call);
    WorkerReply executeCall(int agent, const WorkerCall &call);
    WorkerReply executeStart(int agent, const StartRun &start);
    void crashIfDue(int agent, const RunKey &key);
    bool isFailingCalls(int agent) const;
    void failCall(const PendingCall &pending, const WorkerCall &call);
    void refuseCall(const PendingCall &pending);
    void respondToPoll(const PendingCall &pending, const PollRuns &poll, MonotonicTime until);
    void startWorker(int agent, const std::string &id);
    void announceWorker(int agent);
    void tickEntry(int entry, int64_t generation);
    void tickAgent(int agent, int64_t generation);
    void onResponse(const CallResponse &response);
    void sendCall(const Submission &submission);
    void resend(uint64_t token);
    void endCallerConnection(uint64_t token);
    Milliseconds callerEndDelay(size_t entry);
    bool isWaiting(uint64_t token) const;
    int capacityOf(int agent) const;
    MonotonicTime arrivalTime(int entry, int agent, bool isToAgent) const;
    /** @p arrival, or, if the machine is suspended then, the time of a retransmission after that. */
    template<typename NodeType>
    MonotonicTime retransmittedArrival(const NodeType &node, MonotonicTime arrival)
    {
        if (!node.isSuspended || arrival >= node.frozenUntil) {
            return arrival;
        }
        const auto suspended = std::chrono::duration_cast<Microseconds>(node.frozenUntil - node.frozenAt);
        std::uniform_int_distribution<int64_t> delay(0, suspended.count());
        return node.frozenUntil + Microseconds(delay(disruptionRandom_));
    }
    std::string addressOf(int entry) const;
    bool drawBool(double probability);

    const SimulationOptions options_;
    std::mt19937_64 random_;
    std::mt19937_64 disruptionRandom_; ///< For what is drawn beside random_, so that the seeds keep their meaning.
    MonotonicTime now_;
    int64_t lastActionId_ = 0;
    std::map<std::pair<MonotonicTime, int64_t>, std::function<void()>> actions_;
    std::vector<EntryNode> entries_;
    std::vector<AgentNode> agents_;
    std::vector<std::unique_ptr<WorkerModel>> workers_; ///< Index is the agent's. Null while the worker is down.
    std::vector<std::pair<int, std::unique_ptr<WorkerModel>>> deadWorkers_; ///< With their agent's index.
    std::vector<int64_t> announcementSequences_; ///< Index is the agent's.
    std::vector<SilentCalls> silentCalls_; ///< Index is the agent's.
    std::vector<FailingCalls> failingCalls_; ///< Index is the agent's.
    std::map<LinkId, Connection> connections_;
    std::map<std::pair<int, std::string>, LinkId> links_; ///< Key is the agent's index and the entry's address.
    std::map<std::tuple<int, int, bool>, MonotonicTime> blockedUntil_; ///< Key is entry, agent and isToAgent.
    std::vector<CallRecord> calls_; ///< Index is the token minus 1.
    std::vector<Submission> submissions_; ///< Index is the token minus 1.
    std::set<uint64_t> endedCalls_; ///< Calls that their entry has ended because the caller had left.
    std::vector<std::string> log_;
    std::map<std::pair<std::string, int>, int> crashesByTask_;
    std::map<int64_t, LateStart> lateStarts_;
    int64_t lastLateStart_ = 0;
    std::vector<UnsentRun> unsentRuns_;
    std::vector<std::string> prematureEnds_; ///< Descriptions of ends that an agent should have withheld.
    LinkId lastLink_ = 0;
    int64_t lastGeneration_ = 0;
    int64_t messagesSent_ = 0;
    int64_t dispatches_ = 0;
    int64_t dispatchedTasks_ = 0;
    std::map<std::string, int> returnedDispatches_;
};

} // namespace marjoramferry::testing
