#pragma once

#include "core/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace marjoramferry::bench {

/** What a load is drawn from. */
struct LoadShape
{
    uint64_t seed = 1;
    double jobsPerSecond = 10;
    int seconds = 10;
    int fewestTasks = 1;
    int mostTasks = 8;
    int shortestMs = 50;
    int longestMs = 1000; ///< Run times are drawn so that their logarithms are even.
    double longShare = 0.01; ///< Share of tasks that take four times as long as the longest.
    double declaredError = 4; ///< Declared run times are off by up to this factor, both ways.
    double burstShare = 0; ///< Share of jobs that come together with the one before.
    int deadlineMs = 30'000;
    std::string tenant = "t0";
    std::string service = "s";
    std::string prefix = "bench";
};

struct PlannedTask
{
    int runMs = 0;
    int declaredMs = 0;
};

/** A job that arrives at a set time, whatever became of those before it. */
struct PlannedJob
{
    std::string id;
    Microseconds arrival{0};
    std::vector<PlannedTask> tasks;

    /** The body to submit. */
    std::string body(const LoadShape &shape) const;
};

/** The same jobs for the same shape. */
std::vector<PlannedJob> planLoad(const LoadShape &shape);

/** Mean run time of a task of the shape, in milliseconds, from a large draw. */
double meanTaskMs(const LoadShape &shape);

} // namespace marjoramferry::bench
