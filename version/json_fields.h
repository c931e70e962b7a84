#pragma once

#include <nlohmann/json.hpp>

#include <initializer_list>
#include <string>
#include <string_view>

namespace marjoramferry {

/** Parses @p text. Throws Malformed for @p subject if it is not valid JSON. */
nlohmann::json parseJson(std::string_view text, const std::string &subject);

/** Throws Malformed unless @p object is an object and all its fields are in @p allowed. */
void requireOnlyFields(const nlohmann::json &object,
                       const std::string &path,
                       std::initializer_list<std::string_view> allowed);

/** Returns the string field @p name. Throws Malformed unless it is 1 to @p maxLength bytes long. */
std::string requireString(const nlohmann::json &object, const std::string &path, const char *name, size_t maxLength);

/** Returns the integer field @p name, or @p fallback if absent. Throws Malformed unless it is in [low, high]. */
int optionalInteger(
    const nlohmann::json &object, const std::string &path, const char *name, int fallback, int low, int high);

/** Returns the Boolean field @p name, or @p fallback if absent. Throws Malformed if it is not a Boolean. */
bool optionalBool(const nlohmann::json &object, const std::string &path, const char *name, bool fallback);

} // namespace marjoramferry
