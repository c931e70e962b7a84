#pragma once

#include "benchmarks/load_plan.h"

#include <map>
#include <string>
#include <vector>

namespace marjoramferry::bench {

/** What became of one job. */
struct JobOutcome
{
    double responseMs = 0;
    Microseconds endedAt{0}; ///< Since the beginning of the run.
    int tasks = 0;
    std::string kind; ///< "complete", an error kind, or "no_answer".
};

/** Submits the jobs at their times, to the entries in turn, and waits for all answers. */
std::vector<JobOutcome>
runOpenLoop(const std::vector<PlannedJob> &jobs, const LoadShape &shape, const std::vector<std::string> &entries);

/** Keeps that many jobs in flight until all have been submitted. */
std::vector<JobOutcome> runClosedLoop(const std::vector<PlannedJob> &jobs,
                                      const LoadShape &shape,
                                      const std::vector<std::string> &entries,
                                      int inFlight);

} // namespace marjoramferry::bench
