#pragma once

#include <nlohmann/json.hpp>

#include <initializer_list>
#include <string>
#include <string_view>

namespace marjoramferry {

/** Parses @p text, or throws Malformed naming @p subject. */
nlohmann::json parseJson(std::string_view text, const std::string &subject);

/** Throws Malformed unless @p object is an object with no fields but @p allowed. */
void requireOnlyFields(const nlohmann::json &object,
                       const std::string &path,
                       std::initializer_list<std::string_view> allowed);

/** The string at @p name, 1 to @p maxLength bytes long; throws Malformed naming the field. */
std::string requireString(const nlohmann::json &object, const std::string &path, const char *name, size_t maxLength);

/** The whole number at @p name, or @p fallback if it is absent; throws Malformed when out of [low, high]. */
int optionalInteger(
    const nlohmann::json &object, const std::string &path, const char *name, int fallback, int low, int high);

/** The truth value at @p name, or @p fallback if it is absent. */
bool optionalBool(const nlohmann::json &object, const std::string &path, const char *name, bool fallback);

} // namespace marjoramferry
