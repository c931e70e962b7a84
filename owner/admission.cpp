#include "owner/admission.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace marjoramferry {

namespace {

constexpr int StatusUnprocessable = 422;
constexpr int StatusTooManyRequests = 429;
constexpr int StatusUnavailable = 503;
constexpr int BusyRetryAfterMs = 1000;

bool hasAnyAgent(const AgentDirectory &directory, const std::string &service)
{
    return directory.hasAgentFitting(service, wire::Needs());
}

} // namespace

int shareOfLimit(int limit, int index, int owners)
{
    if (owners <= 0) {
        return 0;
    }
    return limit / owners + (index < limit % owners ? 1 : 0);
}

std::vector<wire::TaskResult> makeUniformResults(const wire::Job &job, wire::Ran::type ran)
{
    std::vector<wire::TaskResult> results;
    std::ranges::transform(job.tasks, std::back_inserter(results), [&](const wire::Task &task) {
        wire::TaskResult result;
        result.taskId = task.taskId;
        result.ran = ran;
        return result;
    });
    return results;
}

wire::JobAnswer
makeNotRunAnswer(const wire::Job &job, int httpStatus, const char *kind, const std::string &message, int retryAfterMs)
{
    wire::JobAnswer answer;
    answer.jobId = job.jobId;
    answer.httpStatus = httpStatus;
    answer.errorKind = kind;
    answer.errorMessage = message;
    answer.retryAfterMs = retryAfterMs;
    answer.tasks = makeUniformResults(job, wire::Ran::NO);
    return answer;
}

std::optional<wire::JobAnswer> checkAdmission(const wire::Job &job,
                                              Milliseconds remaining,
                                              const AdmissionLoad &load,
                                              const Catalog &catalog,
                                              const AgentDirectory &directory,
                                              const RunTimeModel &model)
{
    if (!catalog.services.contains(job.serviceName)) {
        return makeNotRunAnswer(job,
                                StatusUnprocessable,
                                "unknown_service",
                                "service: no note in force declares \"" + job.serviceName
                                    + "\"; correct the name or publish a note",
                                0);
    }
    if (!catalog.tenants.contains(job.tenant)) {
        return makeNotRunAnswer(job,
                                StatusUnprocessable,
                                "unknown_tenant",
                                "tenant: no note in force declares \"" + job.tenant
                                    + "\"; correct the name or publish a note",
                                0);
    }
    const auto neverFits = std::ranges::find_if(
        job.tasks, [&](const wire::Task &task) { return !directory.hasAgentFitting(job.serviceName, task.needs); });
    if (neverFits != job.tasks.end() && hasAnyAgent(directory, job.serviceName)) {
        return makeNotRunAnswer(job,
                                StatusUnprocessable,
                                "never_fits",
                                "task " + neverFits->taskId + ": needs exceed the capacity of every worker; lower them",
                                0);
    }
    const int slots = directory.usableSlots(job.serviceName, catalog);
    if (slots == 0) {
        return makeNotRunAnswer(job,
                                StatusUnavailable,
                                "no_capacity",
                                "no endpoint of the service is available; retry later",
                                BusyRetryAfterMs);
    }
    const int tasks = static_cast<int>(job.tasks.size());
    if (load.tenantRunningLimit == 0 || load.tenantQueued + tasks > load.tenantQueueLimit) {
        return makeNotRunAnswer(job,
                                StatusTooManyRequests,
                                "over_limit",
                                "the job exceeds the tenant's limit; retry later or request a higher limit",
                                BusyRetryAfterMs);
    }
    const double meanMs = model.meanMs(job.serviceName);
    const double finishMs = meanMs * (1.0 + static_cast<double>(load.serviceQueued + tasks - 1) / slots);
    if (meanMs > 0 && finishMs > static_cast<double>(remaining.count())) {
        const int overrunMs = static_cast<int>(finishMs) - static_cast<int>(remaining.count());
        return makeNotRunAnswer(
            job,
            StatusUnavailable,
            "cannot_finish",
            absl::StrCat("the job would miss its deadline by about ", overrunMs, " ms; retry later"),
            std::max(overrunMs, 1));
    }
    return std::nullopt;
}

} // namespace marjoramferry
