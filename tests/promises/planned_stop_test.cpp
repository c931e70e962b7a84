#include "tests/support/virtual_system.h"

#include <catch2/catch.hpp>

using namespace marjoramferry;
using namespace marjoramferry::testing;

namespace {

const std::vector<std::string> NoViolations;

/** Submits jobs at a steady pace to entries that don't drain, as the platform's balancer does. */
void loadFor(VirtualSystem &system, Milliseconds duration, int drainingEntry, int &jobs)
{
    constexpr Milliseconds Pace{40};
    for (Milliseconds spent{0}; spent < duration; spent += Pace) {
        int entry = jobs % 3;
        if (entry == drainingEntry || system.isStopped(entry)) {
            entry = (drainingEntry + 1) % 3;
        }
        system.submit("job" + std::to_string(jobs), entry, {100, 200 + jobs % 7 * 50, 400}, 15'000);
        ++jobs;
        system.run(Pace);
    }
}

CheckBounds nothingMayFail()
{
    CheckBounds bounds;
    bounds.everythingCompletes = true;
    return bounds;
}

} // namespace

TEST_CASE("A planned restart of every entry fails no job")
{
    SystemOptions options;
    options.seed = GENERATE(1U, 2U, 3U, 4U, 5U);
    VirtualSystem system(options);
    system.bringUp();
    int jobs = 0;
    for (int entry = 0; entry < 3; ++entry) {
        loadFor(system, Milliseconds(500), -1, jobs);
        system.drainEntry(entry);
        loadFor(system, Milliseconds(6000), entry, jobs);
        CHECK(system.isStopped(entry));
        system.startEntry(entry);
        loadFor(system, Milliseconds(2500), entry, jobs);
    }
    system.run(Milliseconds(16'000));
    CHECK(findViolations(system.history(), nothingMayFail()) == NoViolations);
}

TEST_CASE("A planned restart of every agent fails no job")
{
    SystemOptions options;
    options.seed = GENERATE(1U, 2U, 3U, 4U, 5U);
    VirtualSystem system(options);
    system.bringUp();
    int jobs = 0;
    for (int agent = 0; agent < options.agents; ++agent) {
        loadFor(system, Milliseconds(500), -1, jobs);
        system.drainAgent(agent);
        loadFor(system, Milliseconds(2000), -1, jobs);
        system.killAgent(agent);
        system.startAgent(agent);
    }
    system.run(Milliseconds(16'000));
    CHECK(findViolations(system.history(), nothingMayFail()) == NoViolations);
}

TEST_CASE("Taking a failure domain out and bringing it back fails no job")
{
    SystemOptions options;
    options.seed = GENERATE(1U, 2U, 3U, 4U, 5U);
    VirtualSystem system(options);
    system.bringUp();
    int jobs = 0;
    for (int domain = 0; domain < options.domains; ++domain) {
        const std::string path = "/v1/domains/" + VirtualSystem::domainOf(domain);
        const uint64_t out = system.call(domain, "POST", path + "/out");
        loadFor(system, Milliseconds(4000), -1, jobs);
        REQUIRE(system.answerTo(out));
        CHECK(system.answerTo(out)->status == 200);
        system.call((domain + 1) % 3, "POST", path + "/in");
        loadFor(system, Milliseconds(3000), -1, jobs);
    }
    system.run(Milliseconds(16'000));
    CHECK(findViolations(system.history(), nothingMayFail()) == NoViolations);
}
