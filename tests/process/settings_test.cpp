#include "core/error.h"
#include "process/settings.h"

#include <catch2/catch.hpp>

#include <cstdio>
#include <filesystem>
#include <fstream>

using namespace marjoramferry;

namespace {

const std::string Sound = "[process]\nrole = entry\nname = e\ndomain = d\n"
                          "[entry]\nhttp_listen = 127.0.0.1:8080\nlink_listen = 127.0.0.1:7400\n"
                          "[platform]\ntable = 127.0.0.1:7300\n";

/** What readSettings says of a file with this text; empty when it is sound. */
std::string complaintOf(const std::string &text)
{
    const auto path = std::filesystem::temp_directory_path() / ("settings_test_" + std::to_string(getpid()) + ".ini");
    std::ofstream(path) << text;
    std::string complaint;
    try {
        readSettings(path);
    } catch (const Error &error) {
        complaint = error.what();
    }
    std::filesystem::remove(path);
    return complaint;
}

} // namespace

TEST_CASE("Sound settings are read")
{
    CHECK(complaintOf(Sound).empty());
    CHECK(complaintOf(Sound + "table_timeout = 500ms\n").empty());
}

TEST_CASE("A wrong setting is named with section, key and remedy")
{
    using Catch::Matchers::Contains;
    CHECK_THAT(complaintOf(Sound + "colour = red\n"), Contains("[platform] colour") && Contains("remove it"));
    CHECK_THAT(complaintOf(Sound + "table_timeout = 500\n"), Contains("[platform] table_timeout") && Contains("unit"));
    CHECK_THAT(complaintOf(Sound + "table_timeout = 5 parsecs\n"), Contains("[platform] table_timeout"));
    CHECK_THAT(complaintOf(Sound + "[owner]\nmax_owners = 0\n"), Contains("[owner] max_owners") && Contains("from 1"));
    CHECK_THAT(complaintOf(Sound + "[owner]\nlease = 9s\n"), Contains("[owner] lease"));
    CHECK_THAT(complaintOf(Sound + "[entry]\nplacement = guess\n"), Contains("[entry] placement"));
    CHECK_THAT(complaintOf("[process]\nrole = king\n"), Contains("[process] role"));
    CHECK_THAT(complaintOf("[process]\nrole = agent\nname = a\ndomain = d\n[agent]\nhttp_listen = here\nentries = x\n"),
               Contains("[agent] entries"));
    CHECK_THAT(complaintOf("[process]\nrole = entry\n"), Contains("[process] name") && Contains("missing"));
    CHECK_THAT(complaintOf("garbage\n"), Contains("line 1"));
    CHECK_THROWS_AS(readSettings("/nowhere/at/all.ini"), Error);
}
