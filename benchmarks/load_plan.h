#pragma once

#include "core/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace marjoramferry::bench {

/** Parameters from which a load is generated. */
struct LoadShape
{
    uint64_t seed = 1;
    double jobsPerSecond = 10;
    int seconds = 10;
    int fewestTasks = 1;
    int mostTasks = 8;
    int shortestMs = 50;
    int longestMs = 1000; ///< Run times are log-uniform between both bounds.
    double longShare = 0.01; ///< Share of tasks that take four times longestMs.
    double declaredError = 4; ///< Declared run times deviate by up to this factor in both directions.
    double burstShare = 0; ///< Share of jobs that arrive at the same time as the previous one.
    int deadlineMs = 30'000;
    std::string tenant = "t0";
    std::string service = "s";
    std::string prefix = "bench"; ///< Of the job ids.
};

struct PlannedTask
{
    int runMs = 0;
    int declaredMs = 0; ///< The expected run time that is submitted with the job.
};

/** A job that arrives at a planned time, independent of the outcome of earlier jobs. */
struct PlannedJob
{
    std::string id;
    Microseconds arrival{0}; ///< Since the start of the run.
    std::vector<PlannedTask> tasks;

    /** Returns the JSON body of the submission. */
    std::string toJson(const LoadShape &shape) const;
};

/** Generates the jobs of a run. The same shape yields the same jobs. */
std::vector<PlannedJob> planLoad(const LoadShape &shape);

/** Estimates the mean run time of a task in milliseconds, from a sample of 100,000 tasks. */
double meanTaskMs(const LoadShape &shape);

} // namespace marjoramferry::bench
