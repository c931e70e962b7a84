#include "core/json_nesting.h"

namespace marjoramferry {

namespace {

// Sizes on a 64-bit machine, with the allocator's overhead.
constexpr size_t ValueBytes = 16;
constexpr size_t ArrayGrowth = 3; ///< While an array grows, the old elements and twice as many new ones exist.
constexpr size_t ContainerBytes = 64; ///< The object behind a value that is an array, an object or a string.
constexpr size_t MemberBytes = 96; ///< A node of an object.

/** The memory for what a character outside of strings stands for. */
size_t treeBytesOf(char character)
{
    switch (character) {
    case '[':
    case '{':
        return ContainerBytes + ArrayGrowth * ValueBytes;
    case ',':
        return ArrayGrowth * ValueBytes;
    case ':':
        return MemberBytes;
    case '"':
        return ContainerBytes;
    default:
        return 0;
    }
}

} // namespace

size_t estimateJsonTreeBytes(std::string_view text)
{
    size_t bytes = text.size(); // Of all strings.
    bool isInString = false;
    bool isEscaped = false;
    for (const char each : text) {
        if (isInString) {
            isInString = isEscaped || each != '"';
            isEscaped = !isEscaped && each == '\\';
        } else {
            bytes += treeBytesOf(each);
            isInString = each == '"';
        }
    }
    return bytes;
}

bool isNestedTooDeeply(std::string_view text)
{
    int depth = 0;
    bool isInString = false;
    bool isEscaped = false;
    for (const char each : text) {
        if (isInString) {
            isInString = isEscaped || each != '"';
            isEscaped = !isEscaped && each == '\\';
        } else if (each == '"') {
            isInString = true;
        } else if (each == '[' || each == '{') {
            if (++depth > MaxJsonNesting) {
                return true;
            }
        } else if (each == ']' || each == '}') {
            --depth;
        }
    }
    return false;
}

} // namespace marjoramferry
