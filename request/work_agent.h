#pragma once

#include "core/retry_schedule.h"
#include "core/time.h"
#include "event/link_event.h"
#include "event/log_event.h"
#include "event/process_event.h"
#include "request/capacity_offers.h"
#include "request/crash_log.h"
#include "request/entry_liveness.h"
#include "request/operator_state_cache.h"
#include "request/retransmission_queue.h"
#include "request/worker_supervisor.h"

#include <map>
#include <string>
#include <variant>
#include <vector>

namespace marjoramferry {

struct WorkAgentOptions
{
    std::string name;
    std::string incarnation; ///< Unique to each start of the process.
    std::string domain;
    std::vector<std::string> seedAddresses; ///< host:port of some entries, used to discover the others.
    WorkerTiming worker;
    Milliseconds heartbeatInterval{150}; ///< Longest interval between two messages to an entry.
    Milliseconds standbyInterval{4000}; ///< The same for an entry that has put this agent on standby.
    /** Minimum interval between messages to such an entry that only report a changed state. */
    Milliseconds standbyUpdateInterval{200};
    /** An entry that has put this agent on standby is disconnected after this long without a message. */
    Milliseconds standbyTimeout{9000};
    /** An entry's runs are stopped after this long without proof that it is alive. */
    Milliseconds entryTimeout = DefaultEntryTimeout;
    /**
     * Minimum interval between two messages to an entry that only report changed free capacity, multiplied by the
     * number of connected entries that use this worker. This bounds the messages that all agents together send to one
     * entry. Freed capacity is reported late on purpose: the entry whose run ended is informed at once with the end and
     * can use it first, whereas all entries would order the same capacity if all were informed at once.
     */
    Milliseconds capacityUpdateInterval{15};
    /** The same for capacity that became scarce, since other entries may place orders that no longer fit. */
    Milliseconds lowCapacityUpdateInterval{1};
    Milliseconds reconnectDelay{300}; ///< Initial delay before reconnecting to an entry that does not answer.
    Milliseconds maxReconnectDelay{3000}; ///< Bound of the delay; see RetrySchedule.
    Milliseconds entryListPollInterval{1500}; ///< Interval between reads of the list of entries while none answers.
    Milliseconds shutdownTimeout{5200}; ///< The process exits this long after a drain request, even if runs remain.
    int64_t initialFence = 0; ///< Should be higher than any fence of an earlier incarnation.
    bool offers = false; ///< Offers scarce capacity to the entry with the most urgent waiting work.
};

/** The list of entries was read from the store. */
struct EntriesRead
{
    std::vector<std::string> addresses; ///< host:port of each entry's links.
};

/** The operator state was read from the store. */
struct OperatorStateRead
{
    wire::OperatorState state;
};

using WorkAgentEvent = std::variant<Tick,
                                    PeerMessage,
                                    PeerClosed,
                                    WorkerAnnouncement,
                                    WorkerDeparture,
                                    WorkerReply,
                                    EntriesRead,
                                    OperatorStateRead,
                                    DrainRequested>;

struct ReadEntries
{
};

struct ReadOperatorState
{
};

using WorkAgentCommand
    = std::variant<SendToPeer, ResetPeer, WorkerCall, ReadEntries, ReadOperatorState, LogEvent, Observation, Stop>;

/**
 * Decision logic of the agent of a worker that runs many tasks at once. Does no I/O and reads no clock.
 *
 * Runs what entries order as long as it has proof that they are alive, and stops it otherwise. An entry that
 * has lost contact with the agent can therefore treat its tasks there as ended after a bounded time.
 */
class WorkAgent
{
public:
    explicit WorkAgent(WorkAgentOptions options);
    WorkAgent(const WorkAgent &) = delete;
    WorkAgent &operator=(const WorkAgent &) = delete;

    void handle(const WorkAgentEvent &event, MonotonicTime now);

    /** Returns the commands that result from the events handled since the last call. */
    std::vector<WorkAgentCommand> flush(MonotonicTime now);

private:
    /** State of the connection to one entry. */
    struct Entry
    {
        explicit Entry(RetrySchedule schedule)
            : reconnects(schedule)
        {
        }

        /** Has all that the entry may lack sent again, over a new connection or in a new session. */
        void forgetSent()
        {
            operatorPositionSent = 0;
            lastStateSent = {};
            lastCrashSent = 0;
        }

        std::string incarnation;
        int64_t session = 0;
        RetransmissionQueue<wire::RunEnd> ends;
        DuplicateFilter instructions;
        int64_t operatorPosition = 0;
        int64_t operatorPositionSent = 0;
        /** When a message last showed that the connection works in both directions. */
        MonotonicTime lastRoundTripAt;
        MonotonicTime lastSentAt;
        MonotonicTime lastConnectAt;
        RetrySchedule reconnects;
        Milliseconds reconnectDelay{0}; ///< From lastConnectAt to the next attempt.
        wire::WorkerState lastStateSent; ///< Last state sent over the current connection.
        wire::WorkerRoom lastFreeCapacitySent;
        int64_t lastCrashSent = 0; ///< Number of the newest crash sent over the current connection.
        bool isConnected = false; ///< The entry has answered over the current connection.
        bool isStandby = false; ///< The entry has no runs here, and orders none until it ends the standby.
        bool wantsOperatorState = false; ///< The entry can't reach the store.
        bool isAskedForState = false; ///< The next message asks it for its operator state.
        bool wasLeaving = false; ///< Last value sent over the current connection.
        bool hadUnknownRuns = false; ///< Last value sent over the current connection.
        bool isExpired = true; ///< Its runs were withdrawn because there was no proof that it is alive.
    };

    /** What the agent reports of its worker, computed once for all entries. */
    struct Report
    {
        wire::WorkerState worker;
        wire::WorkerRoom freeCapacity;
        bool hasUnknownRuns = false;
    };

    void onEntryBatch(const PeerMessage &event, MonotonicTime now);
    void onPeerClosed(const PeerClosed &event, MonotonicTime now);
    void beginSession(const std::string &address, Entry &entry, const wire::EntryBatch &batch, MonotonicTime now);
    void acceptOrder(const Entry &entry, const wire::EntryBatch &batch, const wire::RunOrder &order, MonotonicTime now);
    void onTick(MonotonicTime now);
    void onDrain(MonotonicTime now);
    void addEntry(const std::string &address);
    void maintainConnection(const std::string &address, Entry &entry, MonotonicTime now);
    void checkEntryLiveness(Entry &entry, MonotonicTime now);
    void applyOperatorState(const wire::OperatorState &state, MonotonicTime now);
    Milliseconds capacityUpdateDelay(const Entry &entry, const Report &report) const;
    bool isOperatorStateDue(const Entry &entry, MonotonicTime now) const;
    int64_t newestKnownPosition() const;
    void askForOperatorState(MonotonicTime now);
    bool isStandbyUpdateDue(const Entry &entry, const Report &report, MonotonicTime now) const;
    void recordWaitingWork(const std::string &address, const wire::EntryBatch &batch, MonotonicTime now);
    void dispatchSupervisorOutput(MonotonicTime now);
    void sendIfDue(const std::string &address, Entry &entry, const Report &report, MonotonicTime now);
    void send(const std::string &address, Entry &entry, const Report &report, MonotonicTime now);
    int64_t clockUs(MonotonicTime now) const;
    void stopWhenDone(MonotonicTime now);
    void log(LogEvent::Level level, const std::string &event, std::vector<LogField> fields);

    const WorkAgentOptions options_;
    EntryLiveness entryLiveness_; ///< Of all entries; the supervisor reads it.
    WorkerSupervisor supervisor_;
    CrashLog crashLog_;
    CapacityOffers offers_;
    OperatorStateCache operatorStateCache_;
    std::map<std::string, Entry> entries_; ///< By address.
    int connectedEntries_ = 0; ///< As of the last flush.
    int activeEntries_ = 0; ///< Connected entries that use this worker, as of the last flush.
    RetrySchedule entryListReads_;
    MonotonicTime nextEntryListReadAt_;
    MonotonicTime operatorStateReadAt_;
    MonotonicTime operatorStateUpdatedAt_;
    MonotonicTime operatorStateAskedAt_;
    size_t operatorStateRequests_ = 0;
    std::optional<MonotonicTime> drainingSince_;
    bool stopSent_ = false;
    std::vector<WorkAgentCommand> commands_;
};

} // namespace marjoramferry
