#include "core/json_nesting.h"

#include <catch2/catch.hpp>

#include <string>

using namespace marjoramferry;

TEST_CASE("Levels of arrays and objects are counted, and brackets in strings are not")
{
    const auto nested = [](int levels) { return std::string(static_cast<size_t>(levels), '['); };
    CHECK_FALSE(isNestedTooDeeply(nested(MaxJsonNesting)));
    CHECK(isNestedTooDeeply(nested(MaxJsonNesting + 1)));
    CHECK(isNestedTooDeeply(R"({"a":)" + nested(MaxJsonNesting)));
    CHECK_FALSE(isNestedTooDeeply('"' + nested(MaxJsonNesting + 1) + '"'));
    CHECK_FALSE(isNestedTooDeeply(R"("\")" + nested(MaxJsonNesting + 1) + '"'));
    CHECK(isNestedTooDeeply(R"(["\\",)" + nested(MaxJsonNesting)));
    std::string siblings;
    for (int i = 0; i <= MaxJsonNesting; ++i) {
        siblings += "[{}],";
    }
    CHECK_FALSE(isNestedTooDeeply(siblings));
}
