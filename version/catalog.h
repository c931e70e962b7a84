#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace marjoramferry {

/** What operators said of a failure domain. */
struct DomainState
{
    bool in = true; ///< False: taken out; no task starts there.

    auto operator<=>(const DomainState &) const = default;
};

/** The limits of a tenant over the whole system. */
struct TenantLimits
{
    int weight = 1; ///< Share of the slots against other tenants that wait.
    int maxRunning = 1; ///< Tasks that may run at once.
    int maxQueued = 1; ///< Tasks that may wait at once.

    auto operator<=>(const TenantLimits &) const = default;
};

/** All that the release notes up to a version declare. Immutable once made. */
struct Catalog
{
    int64_t version = 0;
    std::string nonce; ///< Names the publication that made it.
    std::map<std::string, DomainState> domains;
    std::set<std::string> services;
    std::map<std::string, TenantLimits> tenants;
    std::set<std::string> withdrawnEndpoints;

    bool operator==(const Catalog &) const = default;

    /** Whether operators let work start for @p service at @p endpoint in @p domain. */
    bool isStartAllowed(const std::string &service, const std::string &endpoint, const std::string &domain) const;

    /** Key of the row that holds the catalog of this version. */
    static std::string keyOf(int64_t version);

    std::string toJson() const;

    /** Throws Malformed. */
    static Catalog fromJson(const std::string &text);
};

} // namespace marjoramferry
