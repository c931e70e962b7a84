#pragma once

#include "benchmarks/load_plan.h"

#include <map>
#include <string>
#include <vector>

namespace marjoramferry::bench {

/** Outcome of one job. */
struct JobOutcome
{
    double responseMs = 0; ///< From the planned arrival in an open loop, from the submission in a closed loop.
    Microseconds endTime{0}; ///< Since the start of the run.
    int tasks = 0;
    std::string kind; ///< "complete", an error kind, "no_answer", "unreadable" or "unnamed".
};

/** Submits each job at its planned arrival, to the entries in round-robin order, and waits for all answers. */
std::vector<JobOutcome>
runOpenLoop(const std::vector<PlannedJob> &jobs, const LoadShape &shape, const std::vector<std::string> &entries);

/** Keeps @p inFlight jobs in flight until all have been submitted, then waits for all answers. */
std::vector<JobOutcome> runClosedLoop(const std::vector<PlannedJob> &jobs,
                                      const LoadShape &shape,
                                      const std::vector<std::string> &entries,
                                      int inFlight);

} // namespace marjoramferry::bench
