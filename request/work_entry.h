#pragma once

#include "core/retry_schedule.h"
#include "core/time.h"
#include "event/link_event.h"
#include "event/log_event.h"
#include "event/process_event.h"
#include "request/operator_state_cache.h"
#include "request/placement_explanation.h"
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
    std::string linkAddress; ///< host:port of its link listener, as agents reach it.
    std::vector<std::string> seedAddresses; ///< host:port of the link listeners of some entries.
    WorkerDirectoryOptions directory;
    WorkSchedulerOptions scheduler;
    Milliseconds minDrainTime{3200}; ///< Minimum time that a stopping entry serves, because callers keep connections.
    Milliseconds shutdownTimeout{5300}; ///< Time from the stop request until the process stops all jobs that still run.
    Milliseconds storeStaleAfter{900}; ///< Time without a successful store read until agents are asked to read it.
};

/** The operator state was read from the store; the state is set if it changed. */
struct OperatorStatePolled
{
    std::optional<wire::OperatorState> state;
};

/** The list of entries was read from the store. */
struct EntryListRead
{
    std::vector<std::string> addresses;
};

/** A store read failed. */
struct StoreReadFailed
{
    std::string errorMessage;
};

using WorkEntryEvent = std::variant<Tick,
                                    MachineResumed,
                                    SubmitWork,
                                    QueryWork,
                                    CancelWork,
                                    ExplainPlacement,
                                    CallAbandoned,
                                    LinkMessage,
                                    LinkClosed,
                                    OperatorStatePolled,
                                    EntryListRead,
                                    StoreReadFailed,
                                    DrainRequested>;

using WorkEntryCommand = std::variant<SendToLink,
                                      CloseLink,
                                      SendToPeer,
                                      ResetPeer,
                                      CallResponse,
                                      PlacementExplained,
                                      LogEvent,
                                      Observation,
                                      Stop>;

/**
 * Decision logic of an entry whose tasks share workers: dispatches calls and messages to the scheduler and the worker
 * directory. Performs no I/O; takes events and returns commands.
 */
class WorkEntry
{
public:
    explicit WorkEntry(WorkEntryOptions options);

    void handle(const WorkEntryEvent &event, MonotonicTime now);

    /** Returns the commands that result from the events handled since the last call. */
    std::vector<WorkEntryCommand> flush(MonotonicTime now);

    /** Whether the entry accepts new connections. */
    bool isReady(MonotonicTime now) const;

    /** Whether the entry has any jobs, so that it has to be ticked often. */
    bool isBusy() const
    {
        return !scheduler_.isEmpty();
    }

private:
    /** The queue and job that a call addresses. */
    struct Destination
    {
        const wire::Route *route = nullptr;
        std::string jobId;
    };

    void onSubmit(const SubmitWork &call, MonotonicTime now);
    bool hasJustResumed(MonotonicTime now) const;
    bool mayPredateSuspension(const CallAddress &address, MonotonicTime now) const;
    bool canFinishBeforeShutdown(const WorkJob &job, const wire::Route &route, MonotonicTime now) const;
    void onQuery(const QueryWork &call);
    void onCancel(const CancelWork &call, MonotonicTime now);
    void onExplain(const ExplainPlacement &call, MonotonicTime now);
    void onLinkMessage(const LinkMessage &event, MonotonicTime now);
    void onTick(MonotonicTime now);
    void onDrain(MonotonicTime now);
    void onResume(Milliseconds suspended, MonotonicTime now);
    void addEntries(const std::vector<std::string> &addresses);
    void updateOperatorState(const wire::OperatorState &state, const std::string &source);
    void announce(MonotonicTime now);
    std::optional<Destination> resolveDestination(const CallAddress &address);
    void respond(const CallAddress &address,
                 ResponseStatus status,
                 const std::string &reason,
                 bool closesConnection = false);
    bool isStoreStale(MonotonicTime now) const;
    void log(LogEvent::Level level, const std::string &event, std::vector<LogField> fields);

    const WorkEntryOptions options_;
    OperatorStateCache operatorState_;
    WorkerDirectory directory_;
    WorkScheduler scheduler_;
    MonotonicTime lastStoreReadAt_;
    bool wasStoreStale_ = false;
    RetrySchedule announcements_;
    MonotonicTime nextAnnouncementAt_;
    std::optional<MonotonicTime> drainingSince_;
    std::optional<MonotonicTime> resumedAt_; ///< When the machine last ran again after a suspension.
    MonotonicTime retransmittedUntil_; ///< Until then, what peers sent before that may still arrive.
    bool isStopSent_ = false;
    std::vector<WorkEntryCommand> out_;
};

} // namespace marjoramferry
