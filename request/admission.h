#pragma once

#include "core/time.h"
#include "request/agent_directory.h"
#include "request/run_time_model.h"
#include "version/catalog.h"

#include <messages_types.h>

#include <optional>
#include <vector>

namespace marjoramferry {

/** What an owner holds of work that competes with a new job. */
struct AdmissionLoad
{
    int tenantQueued = 0; ///< Waiting tasks of the job's tenant at this owner.
    int tenantMayRun = 0; ///< This owner's part of the tenant's quota.
    int tenantMayQueue = 0; ///< This owner's part of the tenant's queue bound.
    int serviceQueued = 0; ///< Waiting tasks of all tenants of the service at this owner.
};

/** Refuses a job that can't be served, before anything of it is claimed; nothing if it may go on. */
std::optional<wire::JobAnswer> refuseEarly(const wire::Job &job,
                                           Milliseconds remaining,
                                           const AdmissionLoad &load,
                                           const Catalog &catalog,
                                           const AgentDirectory &directory,
                                           const RunTimeModel &model);

/** A part of @p limit for the owner at @p index of @p owners; the parts add up to the limit. */
int partOfLimit(int limit, int index, int owners);

/** The job's tasks in their order, with the same said of each. */
std::vector<wire::TaskResult> uniformResults(const wire::Job &job, wire::Ran::type ran);

/** A failed answer under which no task ran. */
wire::JobAnswer
notRunAnswer(const wire::Job &job, int httpStatus, const char *kind, const std::string &message, int retryAfterMs);

} // namespace marjoramferry
