#include "version/json_fields.h"

#include "core/error.h"
#include "core/json_nesting.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace marjoramferry {

using nlohmann::json;

namespace {

std::string joinPath(const std::string &path, std::string_view name)
{
    return path.empty() ? std::string(name) : path + "." + std::string(name);
}

} // namespace

json parseJson(std::string_view text, const std::string &subject)
{
    if (isNestedTooDeeply(text)) {
        throw Error(ErrorKind::Malformed,
                    subject,
                    absl::StrCat("is nested in more than ", MaxJsonNesting, " levels"),
                    "send flatter JSON");
    }
    try {
        return json::parse(text);
    } catch (const json::exception &) {
        throw Error(ErrorKind::Malformed, subject, "is not valid JSON", "send one JSON object in UTF-8");
    }
}

void requireOnlyFields(const json &object, const std::string &path, std::initializer_list<std::string_view> allowed)
{
    if (!object.is_object()) {
        throw Error(ErrorKind::Malformed, path.empty() ? "body" : path, "is not an object", "send a JSON object");
    }
    for (const auto &[name, value] : object.items()) {
        if (std::ranges::find(allowed, std::string_view(name)) == allowed.end()) {
            throw Error(
                ErrorKind::Malformed, joinPath(path, name), "is not a known field", "remove it or correct its name");
        }
    }
}

std::string requireString(const json &object, const std::string &path, const char *name, size_t maxLength)
{
    const auto found = object.find(name);
    if (found == object.end() || !found->is_string()) {
        throw Error(ErrorKind::Malformed, joinPath(path, name), "is missing or not a string", "set it to a string");
    }
    std::string value = found->get<std::string>();
    if (value.empty() || value.size() > maxLength) {
        throw Error(ErrorKind::Malformed,
                    joinPath(path, name),
                    "is empty or too long",
                    absl::StrCat("use 1 to ", maxLength, " bytes"));
    }
    return value;
}

int optionalInteger(const json &object, const std::string &path, const char *name, int fallback, int low, int high)
{
    const auto found = object.find(name);
    if (found == object.end()) {
        return fallback;
    }
    const std::string remedy = absl::StrCat("use an integer from ", low, " to ", high);
    if (!found->is_number_integer()) {
        throw Error(ErrorKind::Malformed, joinPath(path, name), "is not an integer", remedy);
    }
    const bool isTooLarge = found->is_number_unsigned() && found->get<uint64_t>() > static_cast<uint64_t>(high);
    const auto value = isTooLarge ? int64_t{high} + 1 : found->get<int64_t>();
    if (value < low || value > high) {
        throw Error(ErrorKind::Malformed, joinPath(path, name), "is out of range", remedy);
    }
    return static_cast<int>(value);
}

bool optionalBool(const json &object, const std::string &path, const char *name, bool fallback)
{
    const auto found = object.find(name);
    if (found == object.end()) {
        return fallback;
    }
    if (!found->is_boolean()) {
        throw Error(ErrorKind::Malformed, joinPath(path, name), "is not a Boolean", "use true or false");
    }
    return found->get<bool>();
}

} // namespace marjoramferry
