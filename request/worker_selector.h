#pragma once

#include "core/time.h"
#include "request/operator_state_cache.h"
#include "request/run_time_estimator.h"
#include "request/work_types.h"
#include "request/worker_directory.h"
#include "request/worker_health.h"

#include <random>
#include <string>
#include <vector>

namespace marjoramferry {

struct ChoiceOptions
{
    /**
     * Where queues differ in priority: this share of each worker is kept free for the most urgent
     * one, whose jobs may also have runs wait at the agent up to this share beyond the worker's room.
     */
    double reserve = 0.05;
    double urgentReach = 0.1;
    /**
     * This share of each worker is kept free of jobs that can't be in time any more: an entry whose callers are
     * few would fill it with them while at others jobs wait that still can.
     */
    double lateReserve = 0.25;
    uint64_t seed = 1;
};

/** Where a task goes: of the workers that may run it, a fast one with much room. */
class WorkerChoice
{
public:
    /** A worker that may run tasks of a step, looked up once for all of them. */
    struct Candidate
    {
        WorkerView *view = nullptr;
        Trust trust = Trust::Full;
        Demand spare; ///< So much more than its room may be asked for; below zero it is kept free.
        double liking = 0; ///< What speaks for it whatever its room is.
    };

    WorkerChoice(ChoiceOptions options,
                 WorkerDirectory &directory,
                 const RunTimeBook &book,
                 const WorkerHealth &health);

    /** Workers that have room for a task of the step now; @p isLate: its job can't be in time any more. */
    std::vector<Candidate> find(const WorkStep &step,
                                const wire::Route &route,
                                bool isLate,
                                const OperatorStateCache &operators,
                                MonotonicTime now);

    /** The best of them by their present room, or nullptr. */
    Candidate *choose(std::vector<Candidate> &candidates, const Demand &demand, const std::vector<std::string> &avoid);

private:
    Demand spareOn(const wire::WorkerState &worker,
                   const Demand &demand,
                   const wire::Route &route,
                   bool isLate,
                   const OperatorStateCache &operators) const;

    const ChoiceOptions options_;
    WorkerDirectory &directory_;
    const RunTimeBook &book_;
    const WorkerHealth &health_;
    std::mt19937_64 random_;
};

} // namespace marjoramferry
