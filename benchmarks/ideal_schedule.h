#pragma once

#include "benchmarks/load_plan.h"

#include <vector>

namespace marjoramferry::bench {

/**
 * Returns the response time of each job under an ideal dispatcher, in milliseconds.
 *
 * The ideal dispatcher has one queue for all slots, no message cost and known run times. It takes jobs in
 * order of arrival, and the longest task of a job first.
 */
std::vector<double> idealResponseTimes(const std::vector<PlannedJob> &jobs, int slots);

} // namespace marjoramferry::bench
