#pragma once

#include "owner/job_run.h"

#include <messages_types.h>

#include <string>

/** Answers of an owner to submissions and lookups; those for rejected jobs are in admission.h. */
namespace marjoramferry {

/** Milliseconds after which a caller may submit a failed or refused job again. */
inline constexpr int FailedRetryAfterMs = 1000;

/** Makes the answer of a job of which all tasks succeeded; moves their outputs into it. */
wire::JobAnswer makeCompleteAnswer(JobRun &run);

/** Makes the answer of a failing job, without the results of its tasks. */
wire::JobAnswer makeFailureAnswer(const std::string &jobId, const char *kind, const std::string &message);

/** Makes the answer for a job whose id is used by another one. */
wire::JobAnswer makeConflictAnswer(const wire::Job &job);

/** Makes the answer to a lookup of a job that is not at this owner; @p isClaimed if an earlier one may have it. */
wire::JobAnswer makeAbsentAnswer(const std::string &jobId, bool isClaimed);

/** States for each task of a failing job whether it ran, as far as its agent has reported. */
std::vector<wire::TaskResult> makeTaskResults(const JobRun &run);

/** Weakens "not run" to "unknown", for an owner that may have been replaced. */
void markNotRunAsUnknown(wire::JobAnswer &answer);

} // namespace marjoramferry
