#pragma once

#include "core/time.h"
#include "request/crash_containment.h"
#include "request/operator_state_cache.h"
#include "request/placement_explanation.h"
#include "request/run_time_estimator.h"
#include "request/work_types.h"
#include "request/worker_directory.h"
#include "request/worker_health.h"
#include "request/worker_selector.h"

#include <string>
#include <vector>

namespace marjoramferry {

/**
 * Explains which workers the tasks of a step would be sent to, and why not to the others. Changes no state. Ties are
 * broken at random when tasks are dispatched, and by the agents' names here.
 */
class PlacementExplainer
{
public:
    PlacementExplainer(const WorkerDirectory &directory,
                       const RunTimeEstimator &runTimes,
                       const WorkerHealth &health,
                       const CrashContainment &containment);

    /** @p candidates are the workers that WorkerSelector::findCandidates() returns for the step. */
    std::vector<WorkerPlacement> explain(const WorkStep &step,
                                         const wire::Route &route,
                                         const std::vector<WorkerSelector::Candidate> &candidates,
                                         const OperatorStateCache &operatorState,
                                         MonotonicTime now) const;

private:
    WorkerPlacement describe(const WorkerView &view, MonotonicTime now) const;
    std::string reasonAgainst(const WorkerView &view,
                              const WorkStep &step,
                              const wire::Route &route,
                              const OperatorStateCache &operatorState,
                              MonotonicTime now) const;

    const WorkerDirectory &directory_;
    const RunTimeEstimator &runTimes_;
    const WorkerHealth &health_;
    const CrashContainment &containment_;
};

} // namespace marjoramferry
