#include "request/admission.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace marjoramferry {

namespace {

constexpr int StatusNeverRuns = 422;
constexpr int StatusOverLimit = 429;
constexpr int StatusUnavailable = 503;
constexpr int BusyRetryAfterMs = 1000;

bool hasAgents(const AgentDirectory &directory, const std::string &service)
{
    return directory.hasAgentFitting(service, wire::Needs());
}

} // namespace

int partOfLimit(int limit, int index, int owners)
{
    if (owners <= 0) {
        return 0;
    }
    return limit / owners + (index < limit % owners ? 1 : 0);
}

std::vector<wire::TaskResult> uniformResults(const wire::Job &job, wire::Ran::type ran)
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
notRunAnswer(const wire::Job &job, int httpStatus, const char *kind, const std::string &message, int retryAfterMs)
{
    wire::JobAnswer answer;
    answer.jobId = job.jobId;
    answer.httpStatus = httpStatus;
    answer.errorKind = kind;
    answer.errorMessage = message;
    answer.retryAfterMs = retryAfterMs;
    answer.tasks = uniformResults(job, wire::Ran::NO);
    return answer;
}

std::optional<wire::JobAnswer> refuseEarly(const wire::Job &job,
                                           Milliseconds remaining,
                                           const AdmissionLoad &load,
                                           const Catalog &catalog,
                                           const AgentDirectory &directory,
                                           const RunTimeModel &model)
{
    if (!catalog.services.contains(job.serviceName)) {
        return notRunAnswer(job,
                            StatusNeverRuns,
                            "unknown_service",
                            "service: no note in force declares \"" + job.serviceName
                                + "\"; mend the name or publish a note",
                            0);
    }
    if (!catalog.tenants.contains(job.tenant)) {
        return notRunAnswer(job,
                            StatusNeverRuns,
                            "unknown_tenant",
                            "tenant: no note in force declares \"" + job.tenant + "\"; mend the name or publish a note",
                            0);
    }
    const auto neverFits = std::ranges::find_if(
        job.tasks, [&](const wire::Task &task) { return !directory.hasAgentFitting(job.serviceName, task.needs); });
    if (neverFits != job.tasks.end() && hasAgents(directory, job.serviceName)) {
        return notRunAnswer(job,
                            StatusNeverRuns,
                            "never_fits",
                            "task " + neverFits->taskId + ": needs more than any worker has; lower its needs",
                            0);
    }
    const int slots = directory.usableSlots(job.serviceName, catalog);
    if (slots == 0) {
        return notRunAnswer(job,
                            StatusUnavailable,
                            "no_capacity",
                            "no endpoint of the service is up; come back later",
                            BusyRetryAfterMs);
    }
    const int tasks = static_cast<int>(job.tasks.size());
    if (load.tenantMayRun == 0 || load.tenantQueued + tasks > load.tenantMayQueue) {
        return notRunAnswer(job,
                            StatusOverLimit,
                            "over_limit",
                            "the tenant's limit leaves no room for the job; come back later or ask for a higher limit",
                            BusyRetryAfterMs);
    }
    const double mean = model.meanMs(job.serviceName);
    const double finishMs = mean * (1.0 + static_cast<double>(load.serviceQueued + tasks - 1) / slots);
    if (mean > 0 && finishMs > static_cast<double>(remaining.count())) {
        const int over = static_cast<int>(finishMs) - static_cast<int>(remaining.count());
        return notRunAnswer(job,
                            StatusUnavailable,
                            "cannot_finish",
                            absl::StrCat("the job would end about ", over, " ms late; come back later"),
                            std::max(over, 1));
    }
    return std::nullopt;
}

} // namespace marjoramferry
