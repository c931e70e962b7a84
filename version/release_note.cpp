#include "version/release_note.h"

#include "core/error.h"
#include "version/json_fields.h"

#include <absl/strings/str_cat.h>

#include <limits>

namespace marjoramferry {

using nlohmann::json;

namespace {

constexpr size_t MaxNameBytes = 64;
constexpr int MaxWeight = 1000;
constexpr int MaxTasks = 10'000'000;

const json &arrayAt(const json &section, const std::string &path, const char *name)
{
    static const json empty = json::array();
    const auto found = section.find(name);
    if (found == section.end()) {
        return empty;
    }
    if (!found->is_array()) {
        throw Error(ErrorKind::Malformed, path + "." + name, "is not an array", "use an array, even for a single item");
    }
    return *found;
}

TenantLimits parseLimits(const json &item, const std::string &path)
{
    requireOnlyFields(item, path, {"name", "weight", "max_running", "max_queued"});
    return TenantLimits{optionalInteger(item, path, "weight", 1, 1, MaxWeight),
                        optionalInteger(item, path, "max_running", MaxTasks, 0, MaxTasks),
                        optionalInteger(item, path, "max_queued", MaxTasks, 0, MaxTasks)};
}

DomainState parseDomain(const json &item, const std::string &path)
{
    requireOnlyFields(item, path, {"name", "in"});
    return DomainState{optionalBool(item, path, "in", true)};
}

std::string parseName(const json &item, const std::string &path)
{
    if (!item.is_string()) {
        return requireString(item.is_object() ? item : json::object(), path, "name", MaxNameBytes);
    }
    return requireString(json{{"name", item}}, path, "name", MaxNameBytes);
}

json asObject(const json &item)
{
    return item.is_string() ? json{{"name", item}} : item;
}

NoteSection parseSection(const json &note, const char *name)
{
    NoteSection result;
    const auto found = note.find(name);
    if (found == note.end()) {
        return result;
    }
    requireOnlyFields(*found, name, {"domains", "services", "tenants", "endpoints"});
    const auto forEach = [&](const char *kind, const auto &addItem) {
        const std::string path = absl::StrCat(name, ".", kind);
        int index = 0;
        for (const json &item : arrayAt(*found, name, kind)) {
            const std::string itemPath = absl::StrCat(path, "[", index++, "]");
            addItem(parseName(item, itemPath), asObject(item), itemPath);
        }
    };
    forEach("domains", [&](const auto &key, const json &item, const auto &path) {
        result.domains[key] = parseDomain(item, path);
    });
    forEach("tenants", [&](const auto &key, const json &item, const auto &path) {
        result.tenants[key] = parseLimits(item, path);
    });
    forEach("services", [&](const auto &key, const json &, const auto &) { result.services.insert(key); });
    forEach("endpoints", [&](const auto &key, const json &, const auto &) { result.endpoints.insert(key); });
    return result;
}

void requirePresence(bool exists, bool isRequired, const std::string &subject)
{
    if (exists == isRequired) {
        return;
    }
    if (isRequired) {
        throw Error(
            ErrorKind::NotFound, subject, "does not exist in the current catalog", "add it first or correct its name");
    }
    throw Error(
        ErrorKind::Conflict, subject, "already exists in the current catalog", "use \"change\" instead of \"add\"");
}

template<typename Container>
void applyMap(
    Container &target, const Container &add, const Container &change, const Container &withdraw, const char *kind)
{
    for (const auto &[name, value] : add) {
        requirePresence(target.contains(name), false, absl::StrCat(kind, " ", name));
        target[name] = value;
    }
    for (const auto &[name, value] : change) {
        requirePresence(target.contains(name), true, absl::StrCat(kind, " ", name));
        target[name] = value;
    }
    for (const auto &[name, value] : withdraw) {
        requirePresence(target.contains(name), true, absl::StrCat(kind, " ", name));
        target.erase(name);
    }
}

} // namespace

ReleaseNote ReleaseNote::fromJson(const std::string &text)
{
    const json parsed = parseJson(text, "note");
    requireOnlyFields(parsed, "", {"base_version", "add", "change", "withdraw"});
    ReleaseNote result;
    if (parsed.contains("base_version")) {
        result.baseVersion = optionalInteger(parsed, "", "base_version", 0, 0, std::numeric_limits<int>::max() - 1);
    }
    result.add = parseSection(parsed, "add");
    result.change = parseSection(parsed, "change");
    result.withdraw = parseSection(parsed, "withdraw");
    if (result.add == NoteSection{} && result.change == NoteSection{} && result.withdraw == NoteSection{}) {
        throw Error(ErrorKind::Malformed, "note", "is empty", "fill \"add\", \"change\" or \"withdraw\"");
    }
    return result;
}

ReleaseNote ReleaseNote::forDomain(const std::string &domain, bool inService)
{
    ReleaseNote result;
    result.change.domains[domain] = DomainState{inService};
    return result;
}

Catalog ReleaseNote::appliedTo(const Catalog &current) const
{
    if (baseVersion && *baseVersion != current.version) {
        throw Error(ErrorKind::Conflict,
                    "base_version",
                    absl::StrCat("does not match the current version ", current.version),
                    "read the current catalog and base the note on its version");
    }
    Catalog next = current;
    next.version = current.version + 1;
    applyMap(next.domains, add.domains, change.domains, withdraw.domains, "failure domain");
    applyMap(next.tenants, add.tenants, change.tenants, withdraw.tenants, "tenant");
    for (const std::string &name : add.services) {
        requirePresence(next.services.contains(name), false, "service " + name);
        next.services.insert(name);
    }
    for (const std::string &name : withdraw.services) {
        requirePresence(next.services.contains(name), true, "service " + name);
        next.services.erase(name);
    }
    // Endpoints register by announcing themselves, so a note can only withdraw one or reinstate it.
    for (const std::string &name : add.endpoints) {
        next.withdrawnEndpoints.erase(name);
    }
    next.withdrawnEndpoints.insert(withdraw.endpoints.begin(), withdraw.endpoints.end());
    return next;
}

} // namespace marjoramferry
