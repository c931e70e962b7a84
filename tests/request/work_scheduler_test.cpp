#include "tests/support/scheduler_fixture.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

using namespace marjoramferry;
using namespace marjoramferry::testing;

TEST_CASE("Queued jobs are dispatched by latest start time, shifted by priority")
{
    SchedulerFixture fixture;
    fixture.connectAgent("a", "north", 0);
    fixture.submit("slow", route("slow", 2), 1, 900);
    fixture.submit("quick", route("quick", 0), 1, 60);
    fixture.submit("middle", route("middle", 1), 1, 200);
    CHECK(fixture.takeOrders(Start).empty());
    std::vector<std::string> started;
    for (int i = 1; i <= 3; ++i) {
        fixture.reportCapacity("a", 8000, Start + Milliseconds(i));
        const auto sent = fixture.takeOrders(Start + Milliseconds(i));
        REQUIRE(sent.size() == 1);
        started.push_back(sent[0].second.jobId);
    }
    CHECK(started == std::vector<std::string>{"quick", "middle", "slow"});
}

TEST_CASE("Burst of wide urgent jobs: one urgent run waits at each full worker, however few tasks the worker holds")
{
    SchedulerFixture fixture;
    wire::OperatorState queues;
    queues.position = 1;
    queues.configurationVersion = 1;
    queues.routes = {route("urgent", 0), route("other", 1)};
    fixture.operatorState.updateIfNewer(queues);
    fixture.connectAgent("a", "north", 0);
    fixture.connectAgent("b", "north", 0);
    // Each task takes half of a worker.
    fixture.submit("other", queues.routes[1], 2, 200);
    CHECK(fixture.takeOrders(Start).empty());
    fixture.submit("urgent", queues.routes[0], 4, 60);
    const auto sent = fixture.takeOrders(Start);
    REQUIRE(sent.size() == 2);
    CHECK(sent[0].first != sent[1].first);
    CHECK(sent[0].second.jobId == "urgent");
}

TEST_CASE("At most maxPerWorker tasks of a step are on one worker at a time")
{
    SchedulerFixture fixture;
    fixture.connectAgent("a", "north", 16'000);
    SubmitWork call;
    call.address.token = 1;
    call.timeout = Milliseconds(2500);
    WorkStep step;
    step.count = 4;
    step.demand = {1000, 64, 0};
    step.estimate = Milliseconds(60);
    step.maxPerWorker = 2;
    call.job.steps = {step};
    fixture.scheduler.submit(call, route("q", 0), "spread", Start);
    const auto first = fixture.takeOrders(Start);
    REQUIRE(first.size() == 2);
    fixture.connectAgent("b", "south", 16'000);
    const auto second = fixture.takeOrders(Start);
    REQUIRE(second.size() == 2);
    CHECK(second[0].first == "b");
    CHECK(second[1].first == "b");
    // A task that has to run again may use the place of one that has ended.
    fixture.endRun("a", first[0].second.runNumber, wire::RunOutcome::GONE, Start + Milliseconds(5));
    CHECK(fixture.takeOrders(Start + Milliseconds(5)).size() == 1);
}

TEST_CASE("A late job is dispatched after a job that can still be in time")
{
    SchedulerFixture fixture;
    fixture.connectAgent("a", "north", 0);
    fixture.submit("late", route("q", 0), 1, 60);
    const MonotonicTime later = Start + Milliseconds(200);
    fixture.submit("fresh", route("q", 0), 1, 60, later);
    CHECK(fixture.takeOrders(later).empty());
    fixture.reportCapacity("a", 8000, later);
    const auto sent = fixture.takeOrders(later);
    REQUIRE(sent.size() == 1);
    CHECK(sent[0].second.jobId == "fresh");
}

TEST_CASE("A job without free capacity is rejected before its caller times out, a started job is not")
{
    SchedulerFixture fixture;
    fixture.connectAgent("a", "north", 8000);
    const uint64_t startedToken = fixture.submit("started", route("q", 0), 2, 60);
    CHECK(fixture.takeOrders(Start).size() == 1);
    const uint64_t pendingToken = fixture.submit("pending", route("q", 0), 1, 60);
    const MonotonicTime later = Start + Milliseconds(900);
    fixture.reportCapacity("a", 0, later);
    fixture.takeOrders(later);
    const auto responses = fixture.scheduler.takeResponses();
    REQUIRE(responses.size() == 1);
    CHECK(responses[0].token == pendingToken);
    CHECK(responses[0].status == ResponseStatus::Rejected);
    CHECK(responses[0].retryAfter >= Milliseconds(1000));
    CHECK(fixture.scheduler.hasJob("started"));
    CHECK(startedToken != pendingToken);
}

TEST_CASE("A failed task is retried on another worker, and a worker with three failures gets only a probe")
{
    SchedulerFixture fixture;
    fixture.connectAgent("bad", "north", 16'000);
    MonotonicTime now = Start;
    for (int i = 0; i < 3; ++i) {
        fixture.submit("job-" + std::to_string(i), route("q", 0), 1, 60, now);
        const auto sent = fixture.takeOrders(now);
        REQUIRE(sent.size() == 1);
        fixture.endRun("bad", sent[0].second.runNumber, wire::RunOutcome::FAILED, now);
        CHECK(fixture.takeOrders(now).empty());
        fixture.reportCapacity("bad", 16'000, now);
    }
    fixture.submit("next", route("q", 0), 1, 60, now);
    CHECK(fixture.takeOrders(now).empty());
    fixture.connectAgent("good", "north", 16'000, now);
    CHECK(fixture.takeOrders(now).size() == 2);
    now += Milliseconds(900);
    fixture.reportCapacity("bad", 16'000, now);
    fixture.reportCapacity("good", 0, now);
    fixture.submit("probe", route("q", 0), 2, 60, now);
    const auto probes = fixture.takeOrders(now);
    REQUIRE(probes.size() == 1);
    CHECK(probes[0].first == "bad");
}

TEST_CASE("A job fails when one of its tasks has failed as often as its queue allows")
{
    SchedulerFixture fixture;
    fixture.connectAgent("a", "north", 16'000);
    fixture.connectAgent("b", "north", 16'000);
    fixture.submit("poison", route("q", 0), 1, 60);
    for (int i = 0; i < 2; ++i) {
        const auto sent = fixture.takeOrders(Start);
        REQUIRE(sent.size() == 1);
        fixture.endRun(sent[0].first, sent[0].second.runNumber, wire::RunOutcome::FAILED, Start);
    }
    const auto responses = fixture.scheduler.takeResponses();
    REQUIRE(responses.size() == 1);
    CHECK(responses[0].status == ResponseStatus::Failed);
}

TEST_CASE("An overdue task is withdrawn and starts on another worker only after its run has ended")
{
    SchedulerFixture fixture;
    fixture.connectAgent("a", "north", 8000);
    fixture.submit("job", route("q", 0), 1, 60);
    const auto first = fixture.takeOrders(Start);
    REQUIRE(first.size() == 1);
    const MonotonicTime later = Start + Milliseconds(250);
    fixture.connectAgent("b", "north", 8000, later);
    fixture.reportCapacity("a", 0, later);
    CHECK(fixture.takeOrders(later).empty());
    fixture.endRun("a", first[0].second.runNumber, wire::RunOutcome::GONE, later);
    const auto second = fixture.takeOrders(later);
    REQUIRE(second.size() == 1);
    CHECK(second[0].first == "b");
    CHECK(second[0].second.attempt == 2);
}

TEST_CASE("The run time of a completed task extends the overdue limit of the other tasks of its step")
{
    SchedulerFixture fixture;
    fixture.connectAgent("a", "north", 16'000);
    fixture.submit("job", route("q", 0), 2, 60);
    const auto sent = fixture.takeOrders(Start);
    REQUIRE(sent.size() == 2);
    const MonotonicTime later = Start + Milliseconds(200);
    fixture.endRun("a", sent[0].second.runNumber, wire::RunOutcome::DONE, later, 200);
    const MonotonicTime afterInitialLimit = Start + Milliseconds(400);
    fixture.reportCapacity("a", 8000, afterInitialLimit);
    fixture.scheduler.schedule(fixture.operatorState, afterInitialLimit);
    CHECK_FALSE(fixture.directory.views().at("a").instructions.hasUnsent());
}

TEST_CASE("A task that runs as long as estimated is not overdue, however short the queue's mean run time is")
{
    SchedulerFixture fixture;
    fixture.connectAgent("a", "north", 16'000);
    const wire::Route queue = route("orders", 0);
    MonotonicTime now = Start;
    for (int i = 0; i < 20; ++i) {
        fixture.submit(absl::StrCat("short-", i), queue, 1, 20, now);
        const auto sent = fixture.takeOrders(now);
        REQUIRE(sent.size() == 1);
        now += Milliseconds(20);
        fixture.endRun("a", sent[0].second.runNumber, wire::RunOutcome::DONE, now, 20);
        fixture.reportCapacity("a", 16'000, now);
    }
    fixture.submit("long", queue, 1, 900, now);
    REQUIRE(fixture.takeOrders(now).size() == 1);
    fixture.scheduler.schedule(fixture.operatorState, now + Milliseconds(950));
    CHECK_FALSE(fixture.hasLoggedOverdueRun());
}

TEST_CASE("A task becomes overdue later if its worker completes other tasks meanwhile")
{
    SchedulerFixture fixture;
    fixture.connectAgent("a", "north", 16'000);
    fixture.submit("long", route("q", 0), 1, 300);
    REQUIRE(fixture.takeOrders(Start).size() == 1);
    fixture.submit("other", route("q", 0), 1, 300, Start + Milliseconds(1));
    const auto other = fixture.takeOrders(Start + Milliseconds(1));
    REQUIRE(other.size() == 1);
    const bool hasWorkerCompletedOther = GENERATE(true, false);
    if (hasWorkerCompletedOther) {
        fixture.endRun("a", other[0].second.runNumber, wire::RunOutcome::DONE, Start + Milliseconds(500), 300);
    }
    fixture.scheduler.schedule(fixture.operatorState, Start + Milliseconds(1000));
    CHECK(fixture.hasLoggedOverdueRun() == !hasWorkerCompletedOther);
    fixture.scheduler.schedule(fixture.operatorState, Start + Milliseconds(1900));
    CHECK(fixture.hasLoggedOverdueRun() == hasWorkerCompletedOther);
}

TEST_CASE("A late job leaves the late reserve of each worker free")
{
    SchedulerFixture fixture;
    fixture.connectAgent("a", "north", 16'000);
    const wire::Route queue = route("q", 0);
    fixture.submit("late", queue, 1, 60);
    const MonotonicTime afterLatestStart = Start + Milliseconds(200);
    fixture.reportCapacity("a", 10'000, afterLatestStart);
    CHECK(fixture.takeOrders(afterLatestStart).empty());
    fixture.reportCapacity("a", 12'000, afterLatestStart);
    CHECK(fixture.takeOrders(afterLatestStart).size() == 1);
}

TEST_CASE("A task of a late job that needs nearly a whole worker starts on an idle one")
{
    SchedulerFixture fixture;
    fixture.connectAgent("a", "north", 16'000);
    fixture.submit("large", route("q", 0), 1, 60, Start, 15'000);
    const MonotonicTime afterLatestStart = Start + Milliseconds(200);
    fixture.reportCapacity("a", 16'000, afterLatestStart);
    CHECK(fixture.takeOrders(afterLatestStart).size() == 1);
}

TEST_CASE("Workers of an evacuated domain get no tasks, other workers do")
{
    SchedulerFixture fixture;
    wire::OperatorState state;
    state.position = 1;
    state.configurationVersion = 1;
    state.evacuatedDomains = {"north"};
    fixture.operatorState.updateIfNewer(state);
    fixture.connectAgent("a", "north", 16'000);
    fixture.submit("job", route("q", 0), 1, 60);
    CHECK(fixture.takeOrders(Start).empty());
    fixture.connectAgent("b", "south", 16'000);
    const auto sent = fixture.takeOrders(Start);
    REQUIRE(sent.size() == 1);
    CHECK(sent[0].first == "b");
}

TEST_CASE("A job whose caller disconnected is stopped, and starts again only after its runs have ended")
{
    SchedulerFixture fixture;
    fixture.connectAgent("a", "north", 16'000);
    const uint64_t token = fixture.submit("job", route("q", 0), 1, 60);
    const auto first = fixture.takeOrders(Start);
    REQUIRE(first.size() == 1);
    fixture.scheduler.abandonCall(token, Start);
    CHECK(fixture.directory.views().at("a").instructions.hasUnsent());
    fixture.submit("job", route("q", 0), 1, 60);
    fixture.reportCapacity("a", 8000, Start);
    CHECK(fixture.takeOrders(Start).empty());
    fixture.endRun("a", first[0].second.runNumber, wire::RunOutcome::GONE, Start);
    CHECK(fixture.takeOrders(Start).size() == 1);
}

TEST_CASE("Tasks of a lost agent start on another worker only after its session expires")
{
    SchedulerFixture fixture;
    fixture.connectAgent("a", "north", 8000);
    fixture.submit("job", route("q", 0), 1, 60);
    CHECK(fixture.takeOrders(Start).size() == 1);
    const MonotonicTime beforeExpiry = Start + Milliseconds(1800);
    fixture.connectAgent("b", "north", 8000, beforeExpiry);
    CHECK(fixture.directory.expireSilentSessions(beforeExpiry).empty());
    CHECK(fixture.takeOrders(beforeExpiry).empty());
    const MonotonicTime afterExpiry = Start + Milliseconds(1860);
    const auto expired = fixture.directory.expireSilentSessions(afterExpiry);
    REQUIRE(expired.size() == 1);
    fixture.scheduler.handleLostRuns(expired[0].agent, expired[0].firstLiveSession, afterExpiry);
    const auto sent = fixture.takeOrders(afterExpiry);
    REQUIRE(sent.size() == 1);
    CHECK(sent[0].first == "b");
}

TEST_CASE("Orders returned unstarted: a job that was lost once is dispatched again, and not answered as failed")
{
    SchedulerFixture fixture;
    fixture.connectAgent("a", "north", 16'000);
    fixture.submit("job", route("quote", 0), 1, 60);
    MonotonicTime now = Start;
    for (int i = 0; i < 10; ++i) {
        const auto orders = fixture.takeOrders(now);
        REQUIRE(orders.size() == 1);
        now += Milliseconds(30);
        const bool isLast = i == 9;
        fixture.endRun(
            "a", orders[0].second.runNumber, isLast ? wire::RunOutcome::GONE : wire::RunOutcome::NOT_STARTED, now, 0);
        fixture.reportCapacity("a", 16'000, now);
    }
    CHECK(fixture.scheduler.takeResponses().empty());
    CHECK(fixture.takeOrders(now).size() == 1);
}

TEST_CASE("A job whose runs are lost too often is interrupted: no run of it has failed")
{
    SchedulerFixture fixture;
    fixture.connectAgent("a", "north", 16'000);
    fixture.submit("job", route("quote", 0), 1, 60);
    MonotonicTime now = Start;
    std::vector<CallResponse> responses;
    for (int i = 0; i < 8 && responses.empty(); ++i) {
        const auto orders = fixture.takeOrders(now);
        REQUIRE(orders.size() == 1);
        now += Milliseconds(30);
        fixture.endRun("a", orders[0].second.runNumber, wire::RunOutcome::GONE, now, 0);
        fixture.reportCapacity("a", 16'000, now);
        responses = fixture.scheduler.takeResponses();
    }
    REQUIRE(responses.size() == 1);
    CHECK(responses[0].status == ResponseStatus::Interrupted);
}

TEST_CASE("A late job starts on free capacity that no other job has used for 100 ms")
{
    SchedulerFixture fixture;
    fixture.connectAgent("a", "north", 8000);
    fixture.submit("job", route("quote", 0), 1, 60, Start, 9000);
    MonotonicTime now = Start;
    CHECK(fixture.takeOrders(now).empty());
    // By then the job can't be in time any more, and a task of this size fits beside those that run.
    now += Milliseconds(120);
    fixture.reportCapacity("a", 10'000, now);
    size_t orders = fixture.takeOrders(now).size();
    for (int i = 0; i < 10; ++i) {
        now += Milliseconds(11);
        fixture.reportCapacity("a", 10'000, now);
        orders += fixture.takeOrders(now).size();
    }
    CHECK(orders == 1);
}

// Guards against a refusal that says a job has not run, though a run of its earlier submission was ordered here.
TEST_CASE("A job that was interrupted while it ran, and is sent again under overload, is not answered as rejected")
{
    SchedulerFixture fixture;
    fixture.connectAgent("a", "north", 16'000);
    const uint64_t firstToken = fixture.submit("job", route("quote", 0), 2, 60);
    const auto orders = fixture.takeOrders(Start);
    REQUIRE(orders.size() == 2);
    fixture.scheduler.abandonCall(firstToken, Start);
    const bool haveRunsEnded = GENERATE(false, true);
    if (haveRunsEnded) {
        for (const auto &[agent, order] : orders) {
            fixture.endRun(agent, order.runNumber, wire::RunOutcome::GONE, Start);
        }
    }
    fixture.reportCapacity("a", 0, Start);
    const uint64_t secondToken = fixture.submit("job", route("quote", 0), 2, 60, Start + Milliseconds(10));
    fixture.takeOrders(Start + Milliseconds(2000));
    const auto responses = fixture.scheduler.takeResponses();
    REQUIRE(responses.size() == 1);
    CHECK(responses[0].token == secondToken);
    CHECK(responses[0].status == ResponseStatus::Interrupted);
}

// Guards against a refusal that says a job has not run, though a run of its earlier submission ended here.
TEST_CASE("A job that ended with an answer, and is sent again under overload, is not answered as rejected")
{
    SchedulerFixture fixture;
    fixture.connectAgent("a", "north", 16'000);
    fixture.submit("job", route("quote", 0), 1, 60);
    const auto orders = fixture.takeOrders(Start);
    REQUIRE(orders.size() == 1);
    const bool isCancelled = GENERATE(false, true);
    CAPTURE(isCancelled);
    if (isCancelled) {
        fixture.scheduler.cancel("job", Start);
    }
    fixture.endRun("a",
                   orders[0].second.runNumber,
                   isCancelled ? wire::RunOutcome::GONE : wire::RunOutcome::DONE,
                   Start + Milliseconds(60));
    REQUIRE(fixture.scheduler.takeResponses().size() == 1);
    fixture.reportCapacity("a", 0, Start + Milliseconds(60));
    const uint64_t secondToken = fixture.submit("job", route("quote", 0), 1, 60, Start + Milliseconds(70));
    fixture.takeOrders(Start + Milliseconds(2000));
    const auto responses = fixture.scheduler.takeResponses();
    REQUIRE(responses.size() == 1);
    CHECK(responses[0].token == secondToken);
    CHECK(responses[0].status != ResponseStatus::Rejected);
}

// Guards against a job shown as complete through a run of a submission with other steps, and against a write outside of
// the steps of the job.
TEST_CASE("A run of an earlier submission with more tasks does not end a job that is sent again with fewer")
{
    SchedulerFixture fixture;
    fixture.connectAgent("a", "north", 16'000);
    const uint64_t firstToken = fixture.submit("job", route("quote", 0), 2, 60);
    const auto orders = fixture.takeOrders(Start);
    REQUIRE(orders.size() == 2);
    fixture.scheduler.abandonCall(firstToken, Start);
    fixture.submit("job", route("quote", 0), 1, 60, Start + Milliseconds(10));
    const auto &second = orders[0].second.taskIndex == 1 ? orders[0] : orders[1];
    fixture.endRun(second.first, second.second.runNumber, wire::RunOutcome::DONE, Start + Milliseconds(20));
    CHECK(fixture.scheduler.takeResponses().empty());
}

// Guards against a job that stays among the waiting ones, and delays the admission of others, after all its tasks were
// sent.
TEST_CASE("A run of an earlier submission that failed does not leave the job among the waiting ones")
{
    SchedulerFixture fixture;
    fixture.connectAgent("a", "north", 16'000);
    fixture.connectAgent("b", "north", 16'000);
    const uint64_t firstToken = fixture.submit("job", route("quote", 0), 1, 60);
    const auto orders = fixture.takeOrders(Start);
    REQUIRE(orders.size() == 1);
    fixture.scheduler.abandonCall(firstToken, Start);
    fixture.submit("job", route("quote", 0), 1, 60, Start + Milliseconds(10));
    const auto outcome = GENERATE(wire::RunOutcome::GONE, wire::RunOutcome::FAILED);
    fixture.endRun(orders[0].first, orders[0].second.runNumber, outcome, Start + Milliseconds(20));
    fixture.reportCapacity("a", 16'000, Start + Milliseconds(20));
    REQUIRE(fixture.takeOrders(Start + Milliseconds(20)).size() == 1);
    fixture.scheduler.takeCommands();
    fixture.submit("next", route("quote", 0), 1, 60, Start + Milliseconds(21));
    for (const WorkCommand &command : fixture.scheduler.takeCommands()) {
        const auto *logEvent = std::get_if<LogEvent>(&command);
        if (logEvent != nullptr && logEvent->event == "job_accepted") {
            CHECK(logEvent->fields.back().value == "0");
        }
    }
}

// Guards against late jobs that take the reserve between two runs of other entries.
TEST_CASE("A late job leaves the late reserve free on a worker whose free capacity other runs keep taking")
{
    SchedulerFixture fixture;
    fixture.connectAgent("a", "north", 4000);
    fixture.submit("late", route("quote", 0), 1, 60, Start, 9000);
    MonotonicTime now = Start + Milliseconds(120);
    for (int i = 0; i < 10; ++i) {
        fixture.reportCapacity("a", i % 2 == 0 ? 10'000 : 4000, now);
        CHECK(fixture.takeOrders(now).empty());
        now += Milliseconds(45);
        CHECK(fixture.takeOrders(now).empty());
    }
}

// Guards against a task on a worker of the wrong kind: its order named no worker, and the agent had another one by
// then.
TEST_CASE("An order names the worker it was placed for, and one that comes back from its successor goes there again")
{
    SchedulerFixture fixture;
    const auto report = [&](int64_t bornMs, int64_t sentAtUs) {
        wire::AgentBatch batch = agentBatch("a", "north", 16'000);
        batch.worker.bornMs = bornMs;
        batch.sentAtUs = sentAtUs;
        if (const auto view = fixture.directory.views().find("a"); view != fixture.directory.views().end()) {
            batch.session = view->second.session;
            batch.acknowledged = view->second.instructions.newestSequenceNumber();
        }
        fixture.directory.handleBatch(1, batch, Start);
        fixture.directory.updateActivity(fixture.operatorState, Start);
    };
    report(7, 1);
    fixture.submit("job", route("quote", 0), 1, 60);
    const auto first = fixture.takeOrders(Start);
    REQUIRE(first.size() == 1);
    CHECK(first[0].second.worker == "w-a");
    CHECK(first[0].second.workerBornMs == 7);
    for (int64_t born = 8; born < 20; ++born) { // More often than runs may be lost and workers fail.
        report(born, born);
        fixture.endRun("a", first[0].second.runNumber + born - 8, wire::RunOutcome::NOT_STARTED, Start);
        const auto again = fixture.takeOrders(Start);
        REQUIRE(again.size() == 1);
        CHECK(again[0].second.workerBornMs == born);
    }
}
