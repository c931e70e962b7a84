#include "core/error.h"
#include "process/settings.h"

#include <catch2/catch.hpp>

#include <cstdio>
#include <filesystem>
#include <fstream>

using namespace marjoramferry;

namespace {

const std::string ValidSettings = "[process]\nrole = entry\nname = e\ndomain = d\n"
                                  "[entry]\nhttp_listen = 127.0.0.1:8080\nlink_listen = 127.0.0.1:7400\n"
                                  "[platform]\ntable = 127.0.0.1:7300\n";

/** Returns the error message of readSettings for a file with this text, or an empty string if there is none. */
std::string settingsError(const std::string &text)
{
    const auto path = std::filesystem::temp_directory_path() / ("settings_test_" + std::to_string(getpid()) + ".ini");
    std::ofstream(path) << text;
    std::string message;
    try {
        readSettings(path);
    } catch (const Error &error) {
        message = error.what();
    }
    std::filesystem::remove(path);
    return message;
}

} // namespace

TEST_CASE("Valid settings are accepted")
{
    CHECK(settingsError(ValidSettings).empty());
    CHECK(settingsError(ValidSettings + "table_timeout = 500ms\n").empty());
}

TEST_CASE("The error for an invalid setting names section, key and remedy")
{
    using Catch::Matchers::Contains;
    CHECK_THAT(settingsError(ValidSettings + "colour = red\n"), Contains("[platform] colour") && Contains("remove it"));
    CHECK_THAT(settingsError(ValidSettings + "table_timeout = 500\n"),
               Contains("[platform] table_timeout") && Contains("unit"));
    CHECK_THAT(settingsError(ValidSettings + "table_timeout = 5 parsecs\n"), Contains("[platform] table_timeout"));
    CHECK_THAT(settingsError(ValidSettings + "[owner]\nmax_owners = 0\n"),
               Contains("[owner] max_owners") && Contains("from 1"));
    CHECK_THAT(settingsError(ValidSettings + "[owner]\nlease = 9s\n"), Contains("[owner] lease"));
    CHECK_THAT(settingsError(ValidSettings + "[entry]\nplacement = guess\n"), Contains("[entry] placement"));
    CHECK_THAT(settingsError("[process]\nrole = king\n"), Contains("[process] role"));
    CHECK_THAT(
        settingsError("[process]\nrole = agent\nname = a\ndomain = d\n[agent]\nhttp_listen = here\nentries = x\n"),
        Contains("[agent] entries"));
    CHECK_THAT(settingsError("[process]\nrole = entry\n"), Contains("[process] name") && Contains("missing"));
    CHECK_THAT(settingsError("garbage\n"), Contains("line 1"));
    CHECK_THROWS_AS(readSettings("/nowhere/at/all.ini"), Error);
}
