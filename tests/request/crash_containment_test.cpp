#include "request/crash_containment.h"
#include "tests/support/scheduler_fixture.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

#include <set>

using namespace marjoramferry;
using namespace marjoramferry::testing;

namespace {

/** A crash of the agent's worker under the job's task 0, which started last. */
wire::WorkerCrash crashUnder(const std::string &job, const std::string &queue, const std::string &worker)
{
    wire::WorkerCrash crash;
    crash.worker = worker;
    wire::CrashedRun run;
    run.jobId = job;
    run.queue = queue;
    run.ageMs = 10;
    crash.runs.push_back(run);
    return crash;
}

/** A crash under a task that had run for long, and under another job's task that had just started. */
wire::WorkerCrash crashBeside(const std::string &job, const std::string &queue, const std::string &worker)
{
    wire::WorkerCrash crash = crashUnder(absl::StrCat("last-on-", worker), "status", worker);
    crash.runs.push_back(crashUnder(job, queue, worker).runs.front());
    crash.runs.back().ageMs = 700;
    return crash;
}

/** Eight idle workers, and a queue "quote" that has crashed the workers of two of them. */
struct IsolatedQueueFixture : SchedulerFixture
{
    MonotonicTime now = Start;

    explicit IsolatedQueueFixture(bool repeatsCrash = false)
    {
        for (int i = 0; i < 8; ++i) {
            connectAgent(absl::StrCat("agent-", i), "north", 16'000, now);
        }
        for (int i = 0; i < 4; ++i) {
            submit(absl::StrCat("other-", i), route("status", 1), 1, 200);
        }
        submit("deadly", route("quote", 0), 1, 60);
        takeOrders(now);
        scheduler.handleWorkerCrash("agent-5", crashUnder("other", "quote", "w-0"), now - Milliseconds(300));
        scheduler.handleWorkerCrash("agent-7", crashUnder("deadly", "quote", "w-1"), now);
        if (repeatsCrash) {
            scheduler.handleWorkerCrash("agent-6", crashUnder("deadly", "quote", "w-2"), now + Milliseconds(300));
        }
        settle();
    }

    /** The agents report idle workers for 440 ms, in which the group is selected. Returns the orders by then. */
    std::vector<std::pair<std::string, wire::RunOrder>> settle()
    {
        std::vector<std::pair<std::string, wire::RunOrder>> orders;
        for (int i = 0; i < 4; ++i) {
            now += Milliseconds(110);
            for (int agent = 0; agent < 8; ++agent) {
                reportCapacity(absl::StrCat("agent-", agent), 16'000, now);
            }
            std::ranges::move(takeOrders(now), std::back_inserter(orders));
        }
        return orders;
    }

    /** The agent reports that its worker takes no runs. */
    void takeDown(const std::string &agent)
    {
        wire::AgentBatch batch = agentBatch(agent, "north", 16'000);
        batch.sentAtUs = directory.views().at(agent).lastAgentTimeUs + 1;
        batch.room.takesRuns = false;
        directory.handleBatch(directory.views().at(agent).link, batch, now);
    }

    std::set<std::string> agentsOfOrders(const std::string &job)
    {
        std::set<std::string> agents;
        for (const auto &[agent, order] : takeOrders(now)) {
            if (order.jobId == job) {
                agents.insert(agent);
            }
        }
        return agents;
    }
};

} // namespace

TEST_CASE("Jobs of a queue that crashes workers and those of other queues use different workers")
{
    IsolatedQueueFixture fixture;
    fixture.submit("quote-1", route("quote", 0), 2, 60, fixture.now);
    const std::set<std::string> isolated = fixture.agentsOfOrders("quote-1");
    REQUIRE_FALSE(isolated.empty());
    for (int i = 0; i < 8; ++i) {
        fixture.submit(absl::StrCat("status-", i), route("status", 1), 1, 200, fixture.now);
    }
    for (const auto &[agent, order] : fixture.takeOrders(fixture.now)) {
        CHECK_FALSE(isolated.contains(agent));
    }
}

TEST_CASE("A job whose task crashed two workers is answered as failed at once, and again when it is sent again")
{
    IsolatedQueueFixture fixture(true);
    const auto responses = fixture.scheduler.takeResponses();
    REQUIRE(responses.size() == 1);
    CHECK(responses[0].status == ResponseStatus::Failed);
    const uint64_t token = fixture.submit("deadly", route("quote", 0), 1, 60, fixture.now);
    const auto again = fixture.scheduler.takeResponses();
    REQUIRE(again.size() == 1);
    CHECK(again[0].token == token);
    CHECK(again[0].status == ResponseStatus::Failed);
}

TEST_CASE("All isolated workers are down: a job of the queue is rejected at once, with the time to come back")
{
    IsolatedQueueFixture fixture;
    for (int i = 0; i < 8; ++i) {
        fixture.takeDown(absl::StrCat("agent-", i));
    }
    const uint64_t token = fixture.submit("quote-1", route("quote", 0), 1, 60, fixture.now);
    const auto responses = fixture.scheduler.takeResponses();
    REQUIRE(responses.size() == 1);
    CHECK(responses[0].token == token);
    CHECK(responses[0].status == ResponseStatus::Rejected);
    CHECK(responses[0].retryAfter.count() > 0);
}

TEST_CASE(
    "A task that may have crashed a worker is tried again after a quiet second, on the worker that others use last")
{
    IsolatedQueueFixture fixture;
    fixture.submit("quote-1", route("quote", 0), 1, 60, fixture.now);
    const auto first = fixture.takeOrders(fixture.now);
    REQUIRE(first.size() == 1);
    const auto &[agent, order] = first.front();
    fixture.scheduler.handleWorkerCrash(agent, crashUnder("quote-1", "quote", "w-9"), fixture.now);
    fixture.endRun(agent, order.runNumber, wire::RunOutcome::GONE, fixture.now);
    CHECK(fixture.agentsOfOrders("quote-1").empty());
    fixture.settle();
    CHECK(fixture.settle().empty());
    const auto probe = fixture.settle();
    REQUIRE(probe.size() == 1);
    CHECK(probe[0].first != agent);
}

// Guards against a refusal that says a job has not run, though a crash report shows that it has.
TEST_CASE("A job that was running at another entry's order when its worker crashed is not answered as rejected")
{
    IsolatedQueueFixture fixture;
    for (int i = 0; i < 8; ++i) {
        fixture.takeDown(absl::StrCat("agent-", i));
    }
    fixture.scheduler.handleWorkerCrash("agent-5", crashUnder("quote-1", "quote", "w-3"), fixture.now);
    fixture.submit("quote-1", route("quote", 0), 1, 60, fixture.now);
    const auto responses = fixture.scheduler.takeResponses();
    REQUIRE(responses.size() == 1);
    CHECK(responses[0].status != ResponseStatus::Rejected);
}

// Guards against jobs shown as failed because their tasks stood beside crashes that they did not cause.
TEST_CASE("A job whose task stood beside two crashes of workers is served, and not answered as failed")
{
    SchedulerFixture fixture;
    fixture.connectAgent("a", "north", 16'000);
    fixture.connectAgent("b", "north", 16'000);
    fixture.submit("survey", route("survey", 0), 1, 900);
    MonotonicTime now = Start;
    for (const std::string worker : {"w-1", "w-2"}) {
        const auto orders = fixture.takeOrders(now);
        REQUIRE(orders.size() == 1);
        now += Milliseconds(700);
        const auto &[agent, order] = orders.front();
        fixture.scheduler.handleWorkerCrash(agent, crashBeside("survey", "survey", worker), now);
        fixture.endRun(agent, order.runNumber, wire::RunOutcome::GONE, now);
        fixture.reportCapacity("a", 16'000, now);
        fixture.reportCapacity("b", 16'000, now);
    }
    CHECK(fixture.scheduler.takeResponses().empty());
    const auto orders = fixture.takeOrders(now);
    REQUIRE(orders.size() == 1);
    fixture.endRun(orders.front().first, orders.front().second.runNumber, wire::RunOutcome::DONE, now, 900);
    const auto responses = fixture.scheduler.takeResponses();
    REQUIRE(responses.size() == 1);
    CHECK(responses.front().status == ResponseStatus::Complete);
}

// Guards against a task that is started again and again although each worker crashes some time after its start.
TEST_CASE("A job whose task stood beside three crashes is interrupted and not started again, also when sent again")
{
    SchedulerFixture fixture;
    fixture.connectAgent("a", "north", 16'000);
    fixture.submit("survey", route("survey", 0), 1, 900);
    REQUIRE(fixture.takeOrders(Start).size() == 1);
    for (const std::string worker : {"w-1", "w-2", "w-3"}) {
        fixture.scheduler.handleWorkerCrash("a", crashBeside("survey", "survey", worker), Start);
    }
    fixture.submit("survey", route("survey", 0), 1, 900);
    const auto responses = fixture.scheduler.takeResponses();
    REQUIRE(responses.size() == 2);
    CHECK(responses[0].status == ResponseStatus::Interrupted);
    CHECK(responses[1].status == ResponseStatus::Interrupted);
    CHECK(fixture.takeOrders(Start + Milliseconds(700)).empty());
}
