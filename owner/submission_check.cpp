#include "owner/submission_check.h"

#include "owner/admission.h"
#include "owner/job_answer.h"

namespace marjoramferry {

namespace {

constexpr int StatusUnavailable = 503;

} // namespace

SubmissionCheck::SubmissionCheck(const Freshness &freshness,
                                 const Catalog &catalog,
                                 const OwnerQuotas &quotas,
                                 const AgentDirectory &directory,
                                 const RunTimeModel &runTimes)
    : freshness_(freshness)
    , catalog_(catalog)
    , quotas_(quotas)
    , directory_(directory)
    , runTimes_(runTimes)
{
}

std::optional<wire::JobAnswer>
SubmissionCheck::check(const wire::SubmitJob &message, Dispatcher &dispatcher, MonotonicTime now) const
{
    if (!freshness_.isFresh(now)) {
        return makeNotRunAnswer(message.job,
                                StatusUnavailable,
                                "not_fresh",
                                "the entry cannot read the version in force; retry later",
                                FailedRetryAfterMs);
    }
    if (message.remainingMs <= 0) {
        return makeNotRunAnswer(
            message.job, StatusUnavailable, "too_late", "the deadline passed before the job was admitted", 1);
    }
    AdmissionLoad load;
    load.tenantQueued = dispatcher.tenantCounts(message.job.tenant).queued;
    load.serviceQueued = dispatcher.serviceCounts(message.job.serviceName).queued;
    load.tenantRunningLimit = quotas_.runningLimit(message.job.tenant);
    load.tenantQueueLimit = quotas_.queueLimit(message.job.tenant);
    return checkAdmission(message.job, Milliseconds(message.remainingMs), load, catalog_, directory_, runTimes_);
}

} // namespace marjoramferry
