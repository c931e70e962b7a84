#include "version/catalog.h"

#include "core/error.h"
#include "core/table.h"
#include "version/json_fields.h"

#include <absl/strings/str_cat.h>

namespace marjoramferry {

using nlohmann::json;

bool Catalog::isStartAllowed(const std::string &service, const std::string &endpoint, const std::string &domain) const
{
    const auto state = domains.find(domain);
    if (state == domains.end() || !state->second.inService) {
        return false;
    }
    return services.contains(service) && !withdrawnEndpoints.contains(endpoint);
}

std::string Catalog::keyOf(int64_t version)
{
    return absl::StrCat(rows::CatalogPrefix, version);
}

std::string Catalog::toJson() const
{
    json result = {{"version", version},
                   {"nonce", nonce},
                   {"domains", json::object()},
                   {"services", services},
                   {"tenants", json::object()},
                   {"withdrawn_endpoints", withdrawnEndpoints}};
    for (const auto &[name, state] : domains) {
        result["domains"][name] = {{"in", state.inService}};
    }
    for (const auto &[name, limits] : tenants) {
        result["tenants"][name]
            = {{"weight", limits.weight}, {"max_running", limits.maxRunning}, {"max_queued", limits.maxQueued}};
    }
    return result.dump();
}

Catalog Catalog::fromJson(const std::string &text)
{
    const json parsed = parseJson(text, "catalog");
    try {
        Catalog result;
        result.version = parsed.at("version").get<int64_t>();
        result.nonce = parsed.at("nonce").get<std::string>();
        result.services = parsed.at("services").get<std::set<std::string>>();
        result.withdrawnEndpoints = parsed.at("withdrawn_endpoints").get<std::set<std::string>>();
        for (const auto &[name, state] : parsed.at("domains").items()) {
            result.domains[name] = DomainState{state.at("in").get<bool>()};
        }
        for (const auto &[name, limits] : parsed.at("tenants").items()) {
            result.tenants[name] = TenantLimits{limits.at("weight").get<int>(),
                                                limits.at("max_running").get<int>(),
                                                limits.at("max_queued").get<int>()};
        }
        return result;
    } catch (const json::exception &failure) {
        throw Error(ErrorKind::Malformed, "catalog", failure.what(), "publish a release note, which replaces it");
    }
}

} // namespace marjoramferry
