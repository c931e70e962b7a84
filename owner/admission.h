#pragma once

#include "core/time.h"
#include "owner/agent_directory.h"
#include "owner/run_time_model.h"
#include "version/catalog.h"

#include <messages_types.h>

#include <optional>
#include <vector>

namespace marjoramferry {

/** The load and limits at an owner that apply to a new job. */
struct AdmissionLoad
{
    int tenantQueued = 0; ///< Queued tasks of the job's tenant at this owner.
    int tenantRunningLimit = 0; ///< This owner's share of the tenant's quota of running tasks.
    int tenantQueueLimit = 0; ///< This owner's share of the tenant's limit of queued tasks.
    int serviceQueued = 0; ///< Queued tasks of the service at this owner, for all tenants.
};

/** Returns the rejection of a job that can't be served, before it is claimed; nothing if it is admitted. */
std::optional<wire::JobAnswer> checkAdmission(const wire::Job &job,
                                              Milliseconds remaining,
                                              const AdmissionLoad &load,
                                              const Catalog &catalog,
                                              const AgentDirectory &directory,
                                              const RunTimeModel &model);

/** The share of @p limit for the owner at @p index of @p owners; the shares add up to the limit. */
int shareOfLimit(int limit, int index, int owners);

/** Results for all tasks of the job in order, each with the same @p ran state. */
std::vector<wire::TaskResult> makeUniformResults(const wire::Job &job, wire::Ran::type ran);

/** Makes a failure answer that reports all tasks as not run. */
wire::JobAnswer
makeNotRunAnswer(const wire::Job &job, int httpStatus, const char *kind, const std::string &message, int retryAfterMs);

} // namespace marjoramferry
