#pragma once

#include "owner/dispatcher.h"
#include "version/catalog.h"
#include "version/cluster_state_tracker.h"
#include "version/ownership_map.h"

#include <string>

namespace marjoramferry {

/** This owner's shares of the tenants' limits, which all owners together divide evenly. */
class OwnerQuotas : public QuotaSource
{
public:
    /** The arguments are read on each call. */
    OwnerQuotas(const Catalog &catalog, const OwnershipMap &ownership, const LocalOwner &self);

    /** Maximum number of running tasks; zero for an unknown tenant. */
    int runningLimit(const std::string &tenant) const override;

    /** Maximum number of queued tasks; zero for an unknown tenant. */
    int queueLimit(const std::string &tenant) const;

private:
    int ownShareOf(int limit) const;

    const Catalog &catalog_;
    const OwnershipMap &ownership_;
    const LocalOwner &self_;
};

} // namespace marjoramferry
