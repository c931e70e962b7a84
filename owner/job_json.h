#pragma once

#include "core/error.h"

#include <messages_types.h>

#include <string>

namespace marjoramferry {

/** Limits of a submitted job. */
struct JobLimits
{
    size_t maxTasks = 270;
    size_t maxBodyBytes = 4U << 20U;
    int maxDeadlineMs = 600'000;
};

/** Parses the body of POST /v1/jobs. Throws ErrorKind::Malformed or TooLarge with the field as subject. */
wire::Job parseJob(const std::string &body, const JobLimits &limits);

/** The JSON body for @p answer as specified by the HTTP contract. */
std::string renderAnswer(const wire::JobAnswer &answer);

} // namespace marjoramferry
