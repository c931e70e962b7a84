#pragma once

#include "benchmarks/load_plan.h"

#include <vector>

namespace marjoramferry::bench {

/**
 * Response times in milliseconds of an ideal dispatcher: one queue before all slots, no cost of
 * messages, run times known, jobs in order of arrival, the longest task of a job first.
 */
std::vector<double> idealResponses(const std::vector<PlannedJob> &jobs, int slots);

} // namespace marjoramferry::bench
