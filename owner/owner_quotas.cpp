#include "owner/owner_quotas.h"

#include "owner/admission.h"

#include <iterator>

namespace marjoramferry {

OwnerQuotas::OwnerQuotas(const Catalog &catalog, const OwnershipMap &ownership, const LocalOwner &self)
    : catalog_(catalog)
    , ownership_(ownership)
    , self_(self)
{
}

int OwnerQuotas::runningLimit(const std::string &tenant) const
{
    const auto limits = catalog_.tenants.find(tenant);
    return limits == catalog_.tenants.end() ? 0 : ownShareOf(limits->second.maxRunning);
}

int OwnerQuotas::queueLimit(const std::string &tenant) const
{
    const auto limits = catalog_.tenants.find(tenant);
    return limits == catalog_.tenants.end() ? 0 : ownShareOf(limits->second.maxQueued);
}

int OwnerQuotas::ownShareOf(int limit) const
{
    const auto &owners = ownership_.owners();
    const auto self = owners.find(self_.incarnation);
    const int index = static_cast<int>(std::distance(owners.begin(), self));
    return self == owners.end() ? 0 : shareOfLimit(limit, index, static_cast<int>(owners.size()));
}

} // namespace marjoramferry
