#pragma once

#include "core/time.h"
#include "request/entry_command.h"
#include "request/entry_core.h"
#include "request/operator_state_cache.h"
#include "request/work_scheduler.h"
#include "request/work_types.h"
#include "request/worker_directory.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace marjoramferry {

struct WorkEntryOptions
{
    std::string name;
    std::string incarnation; ///< New with every start of the process.
    std::string linkAddress; ///< host:port of its links, as agents reach it.
    std::vector<std::string> seedAddresses; ///< host:port of the links of some entries.
    DirectoryTimes directory;
    DeskOptions scheduler;
    Milliseconds minDrainTime{3200}; ///< A stopping entry stays at least so long: callers keep connections.
    Milliseconds shutdownTimeout{5300}; ///< Time from the request to stop until the process ends whatever runs.
    Milliseconds storeDoubt{900}; ///< Without word of the store for so long, agents are asked to read it.
};

/** The store answered a read of the operators' word; the state is set when something changed. */
struct OperatorStatePolled
{
    std::optional<wire::OperatorState> state;
};

/** The list of entries was read from the store. */
struct EntryListRead
{
    std::vector<std::string> addresses;
};

/** A read of the store failed. */
struct StoreReadFailed
{
    std::string problem;
};

using WorkEntryEvent = std::variant<Tick,
                                    SubmitWork,
                                    QueryWork,
                                    CancelWork,
                                    CallAbandoned,
                                    LinkMessage,
                                    LinkClosed,
                                    OperatorStatePolled,
                                    EntryListRead,
                                    StoreReadFailed,
                                    DrainRequested>;

using WorkEntryCommand = std::variant<SendToLink, SendToPeer, CallResponse, LogEvent, Observation, Stop>;

/** The decisions of an entry whose tasks share workers. Pure. */
class WorkEntry
{
public:
    explicit WorkEntry(WorkEntryOptions options);

    void handle(const WorkEntryEvent &event, MonotonicTime now);

    /** What to do after a number of events. */
    std::vector<WorkEntryCommand> flush(MonotonicTime now);

    /** Whether new connections are welcome. */
    bool isReady(MonotonicTime now) const;

    /** Whether any job is here, so that time matters to the millisecond. */
    bool isBusy() const
    {
        return !desk_.isEmpty();
    }

private:
    /** A call's queue and the rest of its path. */
    struct Destination
    {
        const wire::Route *route = nullptr;
        std::string jobId;
    };

    void onSubmit(const SubmitWork &call, MonotonicTime now);
    bool canFinish(const WorkJob &job, const wire::Route &route, MonotonicTime now) const;
    void onAsk(const QueryWork &call);
    void onCancel(const CancelWork &call, MonotonicTime now);
    void onLinkMessage(const LinkMessage &event, MonotonicTime now);
    void onTick(MonotonicTime now);
    void onDrain(MonotonicTime now);
    void meet(const std::vector<std::string> &addresses);
    void takeOperatorState(const wire::OperatorState &state, const std::string &from);
    void introduce(MonotonicTime now);
    std::optional<Destination> find(const CallAddress &address);
    void answer(const CallAddress &address, ResponseStatus answer, const std::string &problem);
    bool isStoreDoubtful(MonotonicTime now) const;
    void log(LogEvent::Level level, const std::string &event, std::vector<LogField> fields);

    const WorkEntryOptions options_;
    OperatorStateCache operators_;
    WorkerDirectory directory_;
    WorkDesk desk_;
    MonotonicTime storeHeardAt_;
    bool wasStoreDoubtful_ = false;
    MonotonicTime introducedAt_;
    std::optional<MonotonicTime> drainingSince_;
    bool stopSent_ = false;
    std::vector<WorkEntryCommand> out_;
};

} // namespace marjoramferry
