#pragma once

#include <cstddef>
#include <string_view>

namespace marjoramferry {

/** The JSON library copies and writes values by recursion, so their depth must be bounded before they are parsed. */
inline constexpr int MaxJsonNesting = 64;

/** Whether arrays and objects in the JSON @p text are nested in more than MaxJsonNesting levels. */
bool isNestedTooDeeply(std::string_view text);

/** An upper estimate of the memory that the JSON library's tree of @p text takes while it is built. */
size_t estimateJsonTreeBytes(std::string_view text);

} // namespace marjoramferry
