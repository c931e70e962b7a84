#include "tests/support/virtual_system.h"

#include <catch2/catch.hpp>

using namespace marjoramferry;
using namespace marjoramferry::testing;

namespace {

const std::vector<std::string> NoViolations;

/** Submits jobs at a constant rate, except to @p excludedEntry, as the platform's load balancer does. */
void submitFor(VirtualSystem &system, Milliseconds duration, int excludedEntry, int &jobs)
{
    constexpr Milliseconds SubmitInterval{40};
    for (Milliseconds elapsed{0}; elapsed < duration; elapsed += SubmitInterval) {
        int entry = jobs % 3;
        if (entry == excludedEntry || system.isStopped(entry)) {
            entry = (excludedEntry + 1) % 3;
        }
        system.submit("job" + std::to_string(jobs), entry, {100, 200 + jobs % 7 * 50, 400}, 15'000);
        ++jobs;
        system.run(SubmitInterval);
    }
}

CheckBounds allJobsMustComplete()
{
    CheckBounds bounds;
    bounds.allJobsComplete = true;
    return bounds;
}

} // namespace

TEST_CASE("Draining and restarting every entry fails no job")
{
    SystemOptions options;
    options.seed = GENERATE(1U, 2U, 3U, 4U, 5U);
    VirtualSystem system(options);
    system.bringUp();
    int jobs = 0;
    for (int entry = 0; entry < 3; ++entry) {
        submitFor(system, Milliseconds(500), -1, jobs);
        system.drainEntry(entry);
        submitFor(system, Milliseconds(6000), entry, jobs);
        CHECK(system.isStopped(entry));
        system.startEntry(entry);
        submitFor(system, Milliseconds(2500), entry, jobs);
    }
    system.run(Milliseconds(16'000));
    CHECK(findViolations(system.history(), allJobsMustComplete()) == NoViolations);
}

TEST_CASE("Draining and restarting every agent fails no job")
{
    SystemOptions options;
    options.seed = GENERATE(1U, 2U, 3U, 4U, 5U);
    VirtualSystem system(options);
    system.bringUp();
    int jobs = 0;
    for (int agent = 0; agent < options.agents; ++agent) {
        submitFor(system, Milliseconds(500), -1, jobs);
        system.drainAgent(agent);
        submitFor(system, Milliseconds(2000), -1, jobs);
        system.killAgent(agent);
        system.startAgent(agent);
    }
    system.run(Milliseconds(16'000));
    CHECK(findViolations(system.history(), allJobsMustComplete()) == NoViolations);
}

TEST_CASE("Taking a failure domain out and bringing it back fails no job")
{
    SystemOptions options;
    options.seed = GENERATE(1U, 2U, 3U, 4U, 5U);
    VirtualSystem system(options);
    system.bringUp();
    int jobs = 0;
    for (int domain = 0; domain < options.domains; ++domain) {
        const std::string path = "/v1/domains/" + VirtualSystem::domainName(domain);
        const uint64_t out = system.sendRequest(domain, "POST", path + "/out");
        submitFor(system, Milliseconds(4000), -1, jobs);
        REQUIRE(system.responseTo(out));
        CHECK(system.responseTo(out)->status == 200);
        system.sendRequest((domain + 1) % 3, "POST", path + "/in");
        submitFor(system, Milliseconds(3000), -1, jobs);
    }
    system.run(Milliseconds(16'000));
    CHECK(findViolations(system.history(), allJobsMustComplete()) == NoViolations);
}
