#pragma once

#include "tests/support/work_world.h"

#include <string>
#include <vector>

namespace marjoramferry::testing {

/** Jobs of one queue: how many a second in which span, and what they are like. */
struct QueueLoad
{
    std::string queue;
    double jobsPerSecond = 0;
    Milliseconds from{0};
    Milliseconds to{0};
    int tasks = 0; ///< On average.
    int runMs = 0; ///< On average.
};

/** What the three queues of a counter ask for at rest, on @p cores cores, of which it keeps @p share busy. */
std::vector<QueueLoad> counterAtRest(double cores, double share, Milliseconds span);

/**
 * Has callers submit @p loads, arrivals independent of each other, widths and run times spread by 0.4
 * and estimates off by as much. Entries get unequal shares of them.
 */
void submitLoad(WorkWorld &world, const std::vector<QueueLoad> &loads, uint64_t seed);

} // namespace marjoramferry::testing
