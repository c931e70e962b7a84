#pragma once

#include "tests/support/work_simulation.h"

#include <string>
#include <vector>

namespace marjoramferry::testing {

/** Arrival rate, active interval and job shape of one queue. */
struct QueueLoad
{
    std::string queue;
    double jobsPerSecond = 0;
    Milliseconds from{0};
    Milliseconds to{0};
    int tasks = 0; ///< Mean number of tasks per job.
    int runMs = 0; ///< Mean run time of a task.
    double crashingShare = 0; ///< Fraction of the jobs with one task that crashes its worker.
};

/** Constant load of the three queues for @p duration that keeps a fraction @p utilization of @p cores busy. */
std::vector<QueueLoad> steadyLoad(double cores, double utilization, Milliseconds duration);

/**
 * Schedules the jobs of @p loads as Poisson arrivals. Task counts, run times and estimation errors are
 * log-normal with a sigma of 0.4. Entries receive unequal shares of the jobs.
 */
void submitLoad(WorkSimulation &simulation, const std::vector<QueueLoad> &loads, uint64_t seed);

} // namespace marjoramferry::testing
