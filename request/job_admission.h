#pragma once

#include "core/time.h"
#include "request/queue_shares.h"
#include "request/return_schedule.h"
#include "request/work_command.h"

#include <functional>
#include <map>
#include <string>
#include <utility>

namespace marjoramferry {

/** How a job is expected to end; jobs are served in this order. */
enum class JobProspect {
    InTime,
    Late, ///< After its objective, within the time in which its caller can use it.
    InBurst, ///< In time, within the share of a queue that offers more than its share.
    BeyondShare, ///< In time, beyond the share of its queue.
    Leftover, ///< Late in a burst, or too late to be of use: served with what the others leave.
    Hopeless, ///< After its caller's timeout: rejected.
};

const char *jobProspectName(JobProspect prospect);

/** What a job needs and until when. */
struct JobNeeds
{
    std::string job; ///< For the logs.
    std::string queue;
    int priority = 0;
    int tasks = 0;
    double work = 0; ///< Of all tasks, in thousandths of a core times milliseconds.
    Milliseconds runTime{0}; ///< Expected, on idle workers.
    MonotonicTime latestStartAt; ///< A job whose last task starts later is late.
    MonotonicTime usefulUntil; ///< An answer after this is worth nothing to the caller.
    MonotonicTime answerBy; ///< A later answer misses the caller's timeout.

    MonotonicTime worthlessAt; ///< A job that starts later is worth nothing to its caller.

    bool operator==(const JobNeeds &) const = default;
};

/** @p startMargin is the share of the expected run time by which the job should start early. */
JobNeeds makeNeeds(const wire::Route &route,
                   int tasks,
                   double work,
                   Milliseconds runTime,
                   Milliseconds timeout,
                   double startMargin,
                   MonotonicTime now);

/** The prospect of a job that still waits, given that on arrival. */
JobProspect prospectAt(JobProspect onArrival, const JobNeeds &job, MonotonicTime now);

/**
 * Classifies jobs by the time at which their last task is expected to end, for the load "a burst beyond capacity".
 *
 * The last task starts once the work ahead of the job and its own is dispatched, at the rate at which the entry
 * dispatches work while jobs wait, less the rate of the jobs that arrive later and are served before it. Errors of the
 * estimates count in favour of the job: it is hopeless only if it would be too late even then.
 */
class JobAdmission
{
public:
    /** Returns the waiting work that precedes the job if it has this prospect. */
    using WorkAhead = std::function<double(JobProspect)>;

    /** Classifies an arriving job, and records its work as offered. */
    JobProspect classify(const JobNeeds &job, const WorkAhead &workAhead, MonotonicTime now);

    /** Whether an admitted job, none of whose tasks has started, can't be answered any more. */
    bool isHopeless(const JobNeeds &job, JobProspect prospect, double workAhead, MonotonicTime now) const;

    /** Returns the delay after which the caller of a rejected job should return, and reserves capacity for it. */
    Milliseconds reserveReturn(const JobNeeds &job, double waitingWork, MonotonicTime now);

    QueueShares &shares()
    {
        return shares_;
    }

    const QueueShares &shares() const
    {
        return shares_;
    }

    std::vector<WorkCommand> takeCommands()
    {
        return out_.take();
    }

private:
    static constexpr Milliseconds ArrivalHalfLife{1000};

    void recordAdmitted(const JobNeeds &job, JobProspect prospect, MonotonicTime now);
    double precedingRate(JobProspect prospect, int priority, MonotonicTime now) const;
    Milliseconds
    expectedWait(const JobNeeds &job, JobProspect prospect, double workAhead, double errors, MonotonicTime now) const;

    QueueShares shares_;
    ReturnSchedule returns_;
    std::map<std::pair<JobProspect, int>, DecayingCount> arrivals_; ///< Work of admitted jobs, also by priority.
    WorkOutbox out_;
};

} // namespace marjoramferry
