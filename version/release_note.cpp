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
        throw Error(ErrorKind::Malformed, path + "." + name, "is not an array", "give an array, also for one entry");
    }
    return *found;
}

TenantLimits parseLimits(const json &entry, const std::string &path)
{
    requireOnlyFields(entry, path, {"name", "weight", "max_running", "max_queued"});
    return TenantLimits{optionalInteger(entry, path, "weight", 1, 1, MaxWeight),
                        optionalInteger(entry, path, "max_running", MaxTasks, 0, MaxTasks),
                        optionalInteger(entry, path, "max_queued", MaxTasks, 0, MaxTasks)};
}

DomainState parseDomain(const json &entry, const std::string &path)
{
    requireOnlyFields(entry, path, {"name", "in"});
    return DomainState{optionalBool(entry, path, "in", true)};
}

std::string parseName(const json &entry, const std::string &path)
{
    if (!entry.is_string()) {
        return requireString(entry.is_object() ? entry : json::object(), path, "name", MaxNameBytes);
    }
    return requireString(json{{"name", entry}}, path, "name", MaxNameBytes);
}

json asObject(const json &entry)
{
    return entry.is_string() ? json{{"name", entry}} : entry;
}

NoteSection parseSection(const json &note, const char *name)
{
    NoteSection result;
    const auto found = note.find(name);
    if (found == note.end()) {
        return result;
    }
    requireOnlyFields(*found, name, {"domains", "services", "tenants", "endpoints"});
    const auto forEach = [&](const char *kind, const auto &take) {
        const std::string path = absl::StrCat(name, ".", kind);
        int index = 0;
        for (const json &entry : arrayAt(*found, name, kind)) {
            const std::string entryPath = absl::StrCat(path, "[", index++, "]");
            take(parseName(entry, entryPath), asObject(entry), entryPath);
        }
    };
    forEach("domains", [&](const auto &key, const json &entry, const auto &path) {
        result.domains[key] = parseDomain(entry, path);
    });
    forEach("tenants", [&](const auto &key, const json &entry, const auto &path) {
        result.tenants[key] = parseLimits(entry, path);
    });
    forEach("services", [&](const auto &key, const json &, const auto &) { result.services.insert(key); });
    forEach("endpoints", [&](const auto &key, const json &, const auto &) { result.endpoints.insert(key); });
    return result;
}

void requirePresence(bool isThere, bool wanted, const std::string &what)
{
    if (isThere == wanted) {
        return;
    }
    if (wanted) {
        throw Error(ErrorKind::NotFound, what, "is not in force", "add it first, or mend its name");
    }
    throw Error(ErrorKind::Conflict, what, "is in force already", "use \"change\" in place of \"add\"");
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
        throw Error(ErrorKind::Malformed, "note", "declares nothing", "fill \"add\", \"change\" or \"withdraw\"");
    }
    return result;
}

ReleaseNote ReleaseNote::forDomain(const std::string &domain, bool in)
{
    ReleaseNote result;
    result.change.domains[domain] = DomainState{in};
    return result;
}

Catalog ReleaseNote::appliedTo(const Catalog &current) const
{
    if (baseVersion && *baseVersion != current.version) {
        throw Error(ErrorKind::Conflict,
                    "base_version",
                    absl::StrCat("version ", current.version, " is in force"),
                    "read that version and write the note against it");
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
    // Endpoints announce themselves, so a note only ever withdraws one or lets it back in.
    for (const std::string &name : add.endpoints) {
        next.withdrawnEndpoints.erase(name);
    }
    next.withdrawnEndpoints.insert(withdraw.endpoints.begin(), withdraw.endpoints.end());
    return next;
}

} // namespace marjoramferry
