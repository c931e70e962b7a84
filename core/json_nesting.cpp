#include "core/json_nesting.h"

namespace marjoramferry {

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
