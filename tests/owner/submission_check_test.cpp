#include "owner/submission_check.h"

#include <catch2/catch.hpp>

using namespace marjoramferry;

namespace {

const MonotonicTime Start{std::chrono::hours(1)};

/** An owner without agents that knows the tenant "t" and the service "s". */
struct Fixture
{
    Freshness freshness{Milliseconds(2000)};
    Catalog catalog;
    LocalOwner self{"a.0", Owner()};
    OwnershipMap ownership = OwnershipMap().withOwner("a.0", Owner(), 1);
    OwnerQuotas quotas{catalog, ownership, self};
    AgentDirectory directory{DirectoryTiming()};
    RunTimeModel runTimes;
    ClusterStateTracker clusterState{self, ClusterStateTiming()};
    Dispatcher dispatcher{clusterState, directory, PlacementPolicy(), quotas};
    SubmissionCheck submissions{freshness, catalog, quotas, directory, runTimes};
    wire::SubmitJob message;

    Fixture()
    {
        freshness.confirm(1, Start);
        catalog.services.insert("s");
        catalog.tenants["t"].maxRunning = 1;
        catalog.tenants["t"].maxQueued = 1;
        message.job.tenant = "t";
        message.job.serviceName = "s";
        message.job.tasks.resize(1);
        message.remainingMs = 1000;
    }

    std::string rejection(MonotonicTime now)
    {
        const auto answer = submissions.check(message, dispatcher, now);
        REQUIRE(answer);
        REQUIRE(answer->tasks.size() == 1);
        CHECK(answer->tasks[0].ran == wire::Ran::NO);
        return answer->errorKind;
    }
};

} // namespace

// Guards against the admission of jobs by a version that may be withdrawn.
TEST_CASE("A submission is rejected as not fresh once the evidence has expired")
{
    Fixture fixture;
    CHECK(fixture.rejection(Start + Milliseconds(2000)) == "not_fresh");
    CHECK(fixture.rejection(Start + Milliseconds(1999)) == "no_capacity");
}

// Guards against the admission of a job that nobody waits for any more.
TEST_CASE("A submission is rejected as too late after its deadline")
{
    Fixture fixture;
    fixture.message.remainingMs = 0;
    CHECK(fixture.rejection(Start) == "too_late");
}

// Guards against a catalog that is read only once.
TEST_CASE("A submission is checked against the catalog at the time of the call")
{
    Fixture fixture;
    fixture.catalog.services.clear();
    CHECK(fixture.rejection(Start) == "unknown_service");
    fixture.catalog.services.insert("s");
    CHECK(fixture.rejection(Start) == "no_capacity");
}
