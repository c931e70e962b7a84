#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace marjoramferry {

/** The state that operators set for a failure domain. */
struct DomainState
{
    bool inService = true; ///< If false, no task starts in the domain.

    auto operator<=>(const DomainState &) const = default;
};

/** System-wide limits of a tenant. */
struct TenantLimits
{
    int weight = 1; ///< Weight of the tenant's share of the slots among the tenants with queued tasks.
    int maxRunning = 1; ///< Maximum number of running tasks.
    int maxQueued = 1; ///< Maximum number of queued tasks.

    auto operator<=>(const TenantLimits &) const = default;
};

/** The configuration that results from all release notes up to a version. Never changed once published. */
struct Catalog
{
    int64_t version = 0;
    std::string nonce; ///< Identifies the publication that created it.
    std::map<std::string, DomainState> domains;
    std::set<std::string> services;
    std::map<std::string, TenantLimits> tenants;
    std::set<std::string> withdrawnEndpoints;

    bool operator==(const Catalog &) const = default;

    /** Returns whether tasks of @p service may start at @p endpoint in @p domain. */
    bool isStartAllowed(const std::string &service, const std::string &endpoint, const std::string &domain) const;

    /** Key of the row that holds the catalog of this version. */
    static std::string keyOf(int64_t version);

    std::string toJson() const;

    /** Throws Malformed. */
    static Catalog fromJson(const std::string &text);
};

} // namespace marjoramferry
