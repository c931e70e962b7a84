#include "tests/support/scheduler_fixture.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <string>

using namespace marjoramferry;
using namespace marjoramferry::testing;

namespace {

SubmitWork callOf(int tasks, int cpuMillis)
{
    SubmitWork call;
    call.timeout = Milliseconds(2500);
    WorkStep step;
    step.count = tasks;
    step.demand = {cpuMillis, 64, 0};
    step.estimate = Milliseconds(80);
    call.job.steps = {step};
    return call;
}

/** Three workers with room for two, one and none of the tasks of 5 cores. */
struct ExplainFixture : SchedulerFixture
{
    ExplainFixture()
    {
        connectAgent("a", "north", 12'000);
        connectAgent("b", "south", 6000);
        connectAgent("c", "south", 2000);
    }

    PlacementExplanation explain(int tasks = 3, int cpuMillis = 5000, MonotonicTime now = Start)
    {
        return scheduler.explain(callOf(tasks, cpuMillis), route("orders", 0), operatorState, now);
    }

    WorkerPlacement worker(const PlacementExplanation &explanation, const std::string &agent)
    {
        const auto found = std::ranges::find(explanation.workers, agent, &WorkerPlacement::agent);
        REQUIRE(found != explanation.workers.end());
        return *found;
    }
};

std::map<std::string, int> countByAgent(const std::vector<std::pair<std::string, wire::RunOrder>> &orders)
{
    std::map<std::string, int> counts;
    std::ranges::for_each(orders, [&](const auto &each) { ++counts[each.first]; });
    return counts;
}

} // namespace

// Guards against an explanation that differs from what the scheduler does.
TEST_CASE("A job is placed as explained")
{
    ExplainFixture fixture;
    const PlacementExplanation explanation = fixture.explain();
    CHECK(explanation.rejection.empty());
    CHECK(explanation.workers.size() == 3);
    fixture.submit("job", route("orders", 0), 3, 80, Start, 5000);
    std::map<std::string, int> placed = countByAgent(fixture.takeOrders(Start));
    for (const WorkerPlacement &each : explanation.workers) {
        CAPTURE(each.agent, each.reasonAgainst);
        CHECK(each.selectedTasks == placed[each.agent]);
        CHECK(each.reasonAgainst.empty() == (each.agent != "c"));
    }
    CHECK(fixture.worker(explanation, "c").reasonAgainst == "no_free_capacity");
}

// Guards against an operator's question that changes where the next jobs go.
TEST_CASE("An explanation changes neither the state nor the next decisions")
{
    ExplainFixture asked;
    ExplainFixture unasked;
    for (int i = 0; i < 20; ++i) {
        const MonotonicTime now = Start + Milliseconds(10) * i;
        const PlacementExplanation first = asked.explain(1 + i, 3000, now);
        CHECK(first == asked.explain(1 + i, 3000, now));
        CHECK(asked.scheduler.takeCommands().size() == unasked.scheduler.takeCommands().size());
        for (ExplainFixture *fixture : {&asked, &unasked}) {
            fixture->submit(std::to_string(i), route("orders", i % 3), 2, 80, now, 1500);
        }
        CHECK(asked.takeOrders(now) == unasked.takeOrders(now));
        CHECK(asked.directory.views().at("a").available == unasked.directory.views().at("a").available);
    }
}

// Guards against an answer that says a job is admitted which is rejected on arrival, and the reverse.
TEST_CASE("A job is rejected on arrival as explained")
{
    ExplainFixture fixture;
    int rejections = 0;
    for (int i = 0; i < 400; ++i) {
        const MonotonicTime now = Start + Milliseconds(i);
        const bool isRejected = fixture.explain(3, 5000, now).rejection == "overload";
        fixture.submit(std::to_string(i), route("orders", 0), 3, 80, now, 5000);
        const std::vector<CallResponse> responses = fixture.scheduler.takeResponses();
        CHECK(responses.empty() != isRejected);
        rejections += isRejected ? 1 : 0;
        for (const auto &[agent, order] : fixture.takeOrders(now)) {
            fixture.endRun(agent, order.runNumber, wire::RunOutcome::DONE, now);
        }
        if (i % 20 == 0) {
            fixture.reportCapacity("a", 12'000, now);
        }
        fixture.scheduler.takeResponses();
    }
    CHECK(rejections > 0);
}

TEST_CASE("The reason against each worker is named")
{
    ExplainFixture fixture;
    SECTION("evacuated")
    {
        wire::OperatorState state;
        state.position = 1;
        state.evacuatedDomains = {"north"};
        fixture.operatorState.updateIfNewer(state);
        CHECK(fixture.worker(fixture.explain(), "a").reasonAgainst == "domain_evacuated");
        CHECK(fixture.worker(fixture.explain(), "b").reasonAgainst.empty());
    }
    SECTION("silent")
    {
        const PlacementExplanation explanation = fixture.explain(3, 5000, Start + Milliseconds(1000));
        CHECK(fixture.worker(explanation, "a").reasonAgainst == "unusable");
        CHECK(fixture.worker(explanation, "a").stateAge == Milliseconds(1000));
    }
    SECTION("too small")
    {
        CHECK(fixture.worker(fixture.explain(1, 17'000), "a").reasonAgainst == "too_small");
    }
    SECTION("failing")
    {
        for (int i = 0; i < 12; ++i) {
            fixture.submit(std::to_string(i), route("orders", 0), 1, 80, Start, 12'000);
            for (const auto &[agent, order] : fixture.takeOrders(Start)) {
                fixture.endRun(agent, order.runNumber, wire::RunOutcome::FAILED, Start);
                fixture.reportCapacity("a", 12'000, Start);
            }
        }
        const WorkerPlacement worker = fixture.worker(fixture.explain(), "a");
        CHECK(worker.reasonAgainst == "unhealthy");
        CHECK(worker.health == HealthStatus::Ejected);
    }
}
