#pragma once

#include "core/time.h"
#include "request/entry_command.h"
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
    std::string incarnation; ///< New with every start of the process.
    std::string domain;
    std::vector<std::string> seedAddresses; ///< host:port of the links of some entries.
    WorkerTiming worker;
    Milliseconds heartbeatInterval{150}; ///< Each entry hears from this agent at least so often.
    Milliseconds entryTimeout{700}; ///< Runs of an entry end when the agent has had no proof of its life for so long.
    /**
     * Least time between two words of changed room to an entry that has no end to hear of, for each entry
     * connected, so that all agents together cost an entry at most so many messages. Room that grew is told
     * late: the entry whose run ended hears of it at once and goes first, while all would order the same room.
     */
    Milliseconds shareRoom{15};
    Milliseconds shareScarcity{1}; ///< The same for room that shrank to little, which others may order in vain.
    Milliseconds redial{300}; ///< An entry that does not answer is dialled again after this, at first.
    Milliseconds redialMost{3000};
    Milliseconds membersPoll{1500}; ///< How often the list of entries is read while none answers.
    Milliseconds shutdownTimeout{5200}; ///< Time from the request to stop until the process ends whatever runs.
    int64_t initialFence = 0;
};

/** The list of entries was read from the store. */
struct EntriesRead
{
    std::vector<std::string> addresses;
};

/** The operators' word was read from the store. */
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

/** Closes the connection to a peer without letting out what is still unsent. */
struct ResetPeer
{
    std::string address;
};

struct ReadEntries
{
};

struct ReadOperatorState
{
};

using WorkAgentCommand
    = std::variant<SendToPeer, ResetPeer, WorkerCall, ReadEntries, ReadOperatorState, LogEvent, Observation, Stop>;

/**
 * The decisions of an agent beside a worker that runs many tasks at once. Pure.
 *
 * It runs what entries ask for while it has proof that they live, and stops it otherwise, so that an
 * entry may take a task for ended some time after its last word with the agent.
 */
class WorkAgent
{
public:
    explicit WorkAgent(WorkAgentOptions options);

    void handle(const WorkAgentEvent &event, MonotonicTime now);

    /** What to do after a number of events. */
    std::vector<WorkAgentCommand> flush(MonotonicTime now);

private:
    /** An entry, by its address. */
    struct Entry
    {
        std::string incarnation;
        int64_t session = 0;
        int64_t echoedUs = 0; ///< The newest time of this agent's clock that the entry has proved to know.
        RetransmissionQueue<wire::RunEnd> ends;
        DuplicateFilter instructions;
        int64_t operatorPosition = 0;
        int64_t operatorSent = 0;
        MonotonicTime heardAt;
        MonotonicTime sentAt;
        MonotonicTime dialledAt;
        Milliseconds redial{0};
        wire::WorkerState stateSent; ///< Over the present connection.
        wire::WorkerRoom roomSent;
        bool isConnected = false; ///< It has answered over the present connection.
        bool hasLapsed = true; ///< Its runs were withdrawn for want of proof that it lives.
    };

    void onEntryBatch(const PeerMessage &event, MonotonicTime now);
    void onPeerClosed(const PeerClosed &event, MonotonicTime now);
    void beginSession(const std::string &address, Entry &entry, const wire::EntryBatch &batch, MonotonicTime now);
    void take(const Entry &entry, const wire::EntryBatch &batch, const wire::RunOrder &order, MonotonicTime now);
    void onTick(MonotonicTime now);
    void onDrain(MonotonicTime now);
    void meet(const std::string &address);
    void keepConnection(const std::string &address, Entry &entry, MonotonicTime now);
    void checkLife(Entry &entry, MonotonicTime now);
    void takeOperatorState(const wire::OperatorState &state);
    Milliseconds sharePause(const Entry &entry) const;
    void distributeEnds();
    void sendDue(const std::string &address, Entry &entry, MonotonicTime now);
    void send(const std::string &address, Entry &entry, MonotonicTime now);
    bool isAlive(const Entry &entry, MonotonicTime now) const;
    int64_t clockUs(MonotonicTime now) const;
    void stopWhenDone(MonotonicTime now);
    void log(LogEvent::Level level, const std::string &event, std::vector<LogField> fields);

    const WorkAgentOptions options_;
    WorkerKeeper keeper_;
    OperatorStateCache operators_;
    std::map<std::string, Entry> entries_; ///< By address.
    MonotonicTime membersReadAt_;
    MonotonicTime operatorReadAt_;
    std::optional<MonotonicTime> drainingSince_;
    bool stopSent_ = false;
    std::vector<WorkAgentCommand> out_;
};

} // namespace marjoramferry
