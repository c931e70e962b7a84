#pragma once

#include "core/time.h"
#include "request/operator_state_cache.h"
#include "request/run_time_estimator.h"
#include "request/work_types.h"
#include "request/worker_directory.h"
#include "request/worker_health.h"
#include "request/worker_selector.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <set>
#include <string>
#include <vector>

namespace marjoramferry {

struct DeskOptions
{
    ChoiceOptions selector;
    Milliseconds patience{60}; ///< A run that waits longer for room at its agent comes back.
    /** Of the time that a caller waits, this share may pass before a job that has not begun is rejected. */
    double waitShare = 0.35;
    Milliseconds defaultDeadline{3000}; ///< For callers that do not say how long they wait.
    int overdueFactor = 3; ///< A task that runs this many times as long as expected is started elsewhere.
    /** The same where the worker has ended others since: the task is rather long than stalled. */
    int longFactor = 6;
    Milliseconds overdueLeast{150}; ///< And at least this much longer.
    double retryShare = 0.1; ///< Starts elsewhere of overdue tasks, of all starts.
    /** Run times are guessed low as often as high, so a job should begin this much of its run time early. */
    double startMargin = 0.25;
    /** A job goes before another of the next lower priority that could start so much earlier. */
    Milliseconds priorityStep{60};
};

/**
 * The jobs that this entry holds: who waits, who is refused, and where each task goes.
 *
 * A job that can be in time goes before those that can't any more, the one with the least time to
 * spare first; a step of its queue's priority counts as so much time. A job is rejected only while nothing of it has
 * been sent to a worker.
 */
class WorkDesk
{
public:
    WorkDesk(DeskOptions options, WorkerDirectory &directory);

    void submit(const SubmitWork &call, const wire::Route &route, const std::string &jobId, MonotonicTime now);

    /** How long the job would run on free workers. */
    Milliseconds expectedTime(const WorkJob &job, const wire::Route &route) const;

    /** Stops a job at its caller's word; false if there is no such job. */
    bool cancel(const std::string &jobId, MonotonicTime now);
    bool knows(const std::string &jobId) const;
    void abandon(uint64_t token, MonotonicTime now);
    int pending(const std::string &route) const;

    void noteEnd(const std::string &agent, const wire::RunEnd &end, MonotonicTime now);

    /** All runs at the agent of sessions below @p session are gone. */
    void loseRuns(const std::string &agent, int64_t session, MonotonicTime now);

    /** Sends what fits to workers, rejects what can't be served. */
    void advance(const OperatorStateCache &operators, MonotonicTime now);

    /** Answers all that has not begun, since the process stops. */
    void rejectWaiting(MonotonicTime now);

    /** Stops and answers everything, since the process ends. */
    void interruptAll(MonotonicTime now);

    bool isEmpty() const
    {
        return jobs_.empty();
    }

    std::vector<EntryCommand> takeCommands()
    {
        return out_.take();
    }

    std::vector<CallResponse> takeAnswers()
    {
        return std::exchange(answers_, {});
    }

private:
    enum class Phase { Queued, Ordered, Done };

    struct Task
    {
        Phase phase = Phase::Queued;
        int64_t attempt = 0;
        int failures = 0;
        std::vector<std::string> avoid; ///< Workers that failed it or took too long.
    };

    struct Step
    {
        WorkStep wanted;
        std::vector<Task> tasks;
        int left = 0; ///< Tasks that have not ended.
        Milliseconds expected{0}; ///< Run time of a task on a middling worker.
    };

    struct Job
    {
        std::string id;
        std::string requestId;
        std::vector<uint64_t> tokens; ///< Calls that wait for the answer.
        wire::Route route;
        std::string spec;
        std::vector<Step> steps;
        MonotonicTime arrivedAt;
        MonotonicTime startBy; ///< Begun later than this it is late.
        MonotonicTime urgency; ///< The order among waiting jobs: startBy, moved by the queue's priority.
        MonotonicTime rejectAt; ///< Not begun by then it is rejected.
        MonotonicTime deadlineAt;
        double workLeft = 0; ///< Of the tasks to be sent to a worker: thousandths of a core times ms.
        bool isHopeless = false; ///< Known on arrival to begin too late to be in time.
        int queued = 0; ///< Tasks to be sent to a worker.
        int left = 0;
        bool hasBegun = false;
    };

    struct Run
    {
        std::string jobId;
        int step = 0;
        int task = 0;
        std::string agent;
        std::string worker;
        int64_t session = 0;
        MonotonicTime orderedAt;
        MonotonicTime overdueAt;
        bool isWithdrawn = false;
    };

    /** Order in the queue. */
    struct Place
    {
        bool isLate = false;
        MonotonicTime urgency;
        std::string jobId;

        auto operator<=>(const Place &) const = default;
    };

    static Place placeOf(const Job &job, MonotonicTime now);
    bool admit(Job &job, MonotonicTime now) const;
    Milliseconds expectedWait(const Place &place) const;
    void measureDrain(MonotonicTime now);
    void enqueue(Job &job, MonotonicTime now);
    void rejectHopeless(MonotonicTime now);
    void placeTasks(const OperatorStateCache &operators, MonotonicTime now);
    bool placeJob(Job &job, const OperatorStateCache &operators, MonotonicTime now);
    bool isReady(const Job &job, const Step &step) const;
    void sendTask(Job &job, int step, int task, WorkerView &view, MonotonicTime now);
    MonotonicTime overdueAt(const Step &step, const std::string &worker, MonotonicTime orderedAt, int factor) const;
    void withdrawOverdue(MonotonicTime now);
    void
    endRun(int64_t number, wire::RunOutcome::type outcome, const std::string &reason, int ranMs, MonotonicTime now);
    void taskDone(Job &job, const Run &run, int ranMs);
    void taskFailed(Job &job, const Run &run, MonotonicTime now);
    void requeue(Job &job, Task &task, MonotonicTime now);
    void finish(const std::string &jobId, ResponseStatus answer, const std::string &reason, MonotonicTime now);
    void withdrawRuns(const std::string &jobId, MonotonicTime now);
    Milliseconds backlog() const;

    const DeskOptions options_;
    WorkerDirectory &directory_;
    RunTimeBook book_;
    WorkerHealth health_;
    WorkerChoice choice_;
    absl::flat_hash_map<std::string, Job> jobs_;
    std::map<int64_t, Run> runs_;
    absl::flat_hash_map<std::string, absl::flat_hash_set<int64_t>> runsOf_; ///< By job, also of ended jobs.
    absl::flat_hash_map<uint64_t, std::string> jobsByToken_;
    std::set<Place> queue_;
    absl::flat_hash_map<std::string, Place> places_;
    int64_t lastRun_ = 0;
    double retryBudget_ = 5;
    double placedWork_ = 0; ///< Sent to workers since measuredAt_.
    double drain_ = 0; ///< Work sent to workers in a millisecond while jobs waited.
    MonotonicTime measuredAt_;
    bool hasWaited_ = false; ///< Whether jobs waited all the time since measuredAt_.
    MonotonicTime checkedAt_;
    EntryOutbox out_;
    std::vector<CallResponse> answers_;
};

} // namespace marjoramferry
