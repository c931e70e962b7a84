#pragma once

#include "owner/job_run.h"
#include "owner/shard_recovery.h"

namespace marjoramferry {

/**
 * Applies the starts made under an earlier owner to the waiting tasks of a resubmitted job. Tasks without a record
 * are uncertain unless all records are known. Returns the number of tasks that run.
 */
int adoptStarts(JobRun &run, const RecoveredJob &recovered);

} // namespace marjoramferry
