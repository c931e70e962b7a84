#pragma once

#include "core/time.h"
#include "owner/agent_directory.h"
#include "owner/dispatcher.h"
#include "owner/owner_quotas.h"
#include "owner/run_time_model.h"
#include "version/catalog.h"
#include "version/freshness.h"

#include <messages_types.h>

#include <optional>

namespace marjoramferry {

/** Decides whether an owner admits a new job, from the state at the time of the call. */
class SubmissionCheck
{
public:
    SubmissionCheck(const Freshness &freshness,
                    const Catalog &catalog,
                    const OwnerQuotas &quotas,
                    const AgentDirectory &directory,
                    const RunTimeModel &runTimes);

    /** Returns the rejection of a submission, or nothing if the job is admitted. */
    std::optional<wire::JobAnswer>
    check(const wire::SubmitJob &message, Dispatcher &dispatcher, MonotonicTime now) const;

private:
    const Freshness &freshness_;
    const Catalog &catalog_;
    const OwnerQuotas &quotas_;
    const AgentDirectory &directory_;
    const RunTimeModel &runTimes_;
};

} // namespace marjoramferry
