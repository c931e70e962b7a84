// Cases that pass or end in each of the ways that scripts/known_red.sh has to tell apart.
// Only known_red_test.sh runs them.
#include <catch2/catch.hpp>

#include <cstdlib>
#include <stdexcept>

namespace {

constexpr int ExitStatus = 1;

int throwError()
{
    throw std::runtime_error("unexpected");
}

} // namespace

TEST_CASE("A check fails")
{
    CHECK(1 == 2);
}

TEST_CASE("A check fails in a section, with a comma in the name")
{
    SECTION("section")
    {
        FAIL("explicit");
    }
}

TEST_CASE("A check passes")
{
    CHECK(1 == 1);
}

TEST_CASE("An exception ends the case")
{
    throwError();
}

TEST_CASE("An exception ends a check")
{
    CHECK(throwError() == 1);
}

TEST_CASE("The program aborts")
{
    CHECK(1 == 2);
    std::abort();
}

TEST_CASE("The program exits")
{
    CHECK(1 == 2);
    std::_Exit(ExitStatus);
}
