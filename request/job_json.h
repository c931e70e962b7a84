#pragma once

#include "core/error.h"

#include <messages_types.h>

#include <string>

namespace marjoramferry {

/** Bounds of a submission. */
struct JobLimits
{
    size_t maxTasks = 270;
    size_t maxBodyBytes = 4U << 20U;
    int maxDeadlineMs = 600'000;
};

/** Parses the body of POST /v1/jobs. Throws Malformed or TooLarge naming the field. */
wire::Job parseJob(const std::string &body, const JobLimits &bounds);

/** The JSON body for @p answer, as the HTTP contract has it. */
std::string renderAnswer(const wire::JobAnswer &answer);

/** The JSON body for an error that is not about a job's outcome. */
std::string renderError(const Error &error);

} // namespace marjoramferry
