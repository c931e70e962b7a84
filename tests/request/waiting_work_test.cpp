#include "request/waiting_work.h"

#include "tests/support/scheduler_fixture.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

using namespace marjoramferry;
using namespace marjoramferry::testing;

namespace {

WorkSchedulerOptions schedulerOptions(bool offers)
{
    WorkSchedulerOptions options;
    options.selector.offers = offers;
    return options;
}

/** A scheduler with the setting `offers`. */
struct OffersFixture : SchedulerFixture
{
    WorkScheduler offering;

    explicit OffersFixture(bool offers = true)
        : offering(schedulerOptions(offers), directory)
    {
        wire::OperatorState state;
        state.position = 1;
        state.routes = {route("quote", 0), route("status", 1)};
        operatorState.updateIfNewer(state);
    }

    void submit(const std::string &job, int priority, int tasks, MonotonicTime now)
    {
        SubmitWork call;
        call.address.token = ++lastToken;
        call.timeout = Milliseconds(2500);
        WorkStep step;
        step.count = tasks;
        step.demand = {4000, 64, 0};
        step.estimate = Milliseconds(100);
        call.job.steps = {step};
        offering.submit(call, route(priority == 0 ? "quote" : "status", priority), job, now);
    }

    /** Schedules, and returns the messages sent. */
    std::vector<wire::EntryBatch> takeBatches(MonotonicTime now)
    {
        offering.schedule(operatorState, now);
        directory.sendBatches(operatorState, false, false, now);
        std::vector<wire::EntryBatch> sent;
        for (const WorkCommand &command : directory.takeCommands()) {
            if (const auto *message = std::get_if<SendToLink>(&command)) {
                sent.push_back(std::get<wire::EntryBatch>(message->message));
            }
        }
        return sent;
    }

    /** The number of runs ordered now. */
    size_t countOrders(MonotonicTime now)
    {
        size_t count = 0;
        for (const wire::EntryBatch &batch : takeBatches(now)) {
            count += batch.instructions.size();
        }
        return count;
    }

    void forecast(const std::string &agent, int inMs, MonotonicTime now)
    {
        wire::AgentBatch batch = agentBatch(agent, "x", 0);
        batch.sentAtUs = directory.views().at(agent).lastAgentTimeUs + 1;
        wire::CapacityStep step;
        step.inMs = inMs;
        step.cpuMillis = 4000;
        batch.room.forecast = {step};
        directory.handleBatch(directory.views().at(agent).link, batch, now);
    }
};

} // namespace

// Guards against offers of capacity that the entry can't use.
TEST_CASE("Waiting work for a worker is that of its service and labels which fits in its capacity")
{
    WaitingWork work;
    WorkStep step;
    step.demand = {4000, 64, 0};
    step.requiredLabel = "gpu";
    work.add("orders", step, 1, Start + Milliseconds(10));
    step.requiredLabel = "";
    work.add("other", step, 1, Start + Milliseconds(20));
    step.demand.cpuMillis = 20'000;
    work.add("orders", step, 1, Start + Milliseconds(30));
    step.demand.cpuMillis = 3000;
    work.add("orders", step, 2, Start + Milliseconds(40));
    work.add("orders", step, 3, Start + Milliseconds(90));
    work.add("orders", step, 0, Start);
    wire::WorkerState worker = agentBatch("a", "x", 0).worker;
    auto waiting = work.forWorker(worker, Start + Milliseconds(5));
    REQUIRE(waiting);
    CHECK(waiting->rank == 35);
    CHECK(waiting->demand.cpuMillis == 3000);
    CHECK(waiting->tasks == 5);
    worker.labels = {"gpu"};
    CHECK(work.forWorker(worker, Start)->rank == 10);
    worker.serviceName = "idle";
    CHECK_FALSE(work.forWorker(worker, Start));
}

TEST_CASE("Messages to agents say what waits of the jobs that can still be in time, if the setting is on")
{
    const bool offers = GENERATE(false, true);
    OffersFixture entry(offers);
    entry.connectAgent("a", "x", 0);
    entry.submit("late", 1, 1, Start);
    entry.takeBatches(Start);
    const MonotonicTime later = Start + Milliseconds(160); // The heartbeat is due, and "late" can't be in time.
    entry.submit("urgent", 1, 3, later);
    const auto sent = entry.takeBatches(later);
    REQUIRE(sent.size() == 1);
    CHECK(sent.front().__isset.waiting == offers);
    CHECK(sent.front().waiting.tasks == (offers ? 3 : 0));
}

// Guards against messages in proportion to the number of workers.
TEST_CASE("Work that became more urgent is reported with one extra message per 20 ms")
{
    OffersFixture entry;
    for (const char *agent : {"a", "b", "c"}) {
        entry.connectAgent(agent, "x", 0);
    }
    entry.takeBatches(Start);
    entry.submit("job", 1, 1, Start + Milliseconds(30));
    CHECK(entry.takeBatches(Start + Milliseconds(30)).size() == 1);
    CHECK(entry.takeBatches(Start + Milliseconds(49)).empty());
    CHECK(entry.takeBatches(Start + Milliseconds(50)).size() == 1);
    CHECK(entry.takeBatches(Start + Milliseconds(70)).size() == 1);
    CHECK(entry.takeBatches(Start + Milliseconds(90)).empty()); // All agents know of it.
}

TEST_CASE("A run is ordered from a full worker only if the forecast frees capacity within the queue timeout")
{
    const int inMs = GENERATE(25, 26);
    OffersFixture entry;
    entry.connectAgent("a", "x", 0);
    entry.forecast("a", inMs, Start);
    entry.submit("job", 0, 1, Start);
    CHECK(entry.countOrders(Start) == (inMs == 25 ? 1 : 0));
}

// Guards against orders that wait at full workers in vain, and come back again and again.
TEST_CASE("Orders to full workers that come back are limited to a share of all dispatches; others are not")
{
    const auto outcome = GENERATE(wire::RunOutcome::NOT_STARTED, wire::RunOutcome::DONE);
    OffersFixture entry;
    entry.connectAgent("a", "x", 0);
    constexpr int Jobs = 100;
    size_t orders = 0;
    for (int i = 0; i < Jobs; ++i) {
        const MonotonicTime now = Start + Milliseconds(i);
        entry.submit(absl::StrCat("job-", i), 0, 1, now);
        for (const wire::EntryBatch &batch : entry.takeBatches(now)) {
            wire::AgentBatch reply = agentBatch("a", "x", 0);
            reply.sentAtUs = i + 2;
            reply.session = batch.session;
            reply.acknowledged = batch.firstSequence + static_cast<int64_t>(batch.instructions.size()) - 1;
            reply.firstSequence = static_cast<int64_t>(orders) + 1;
            for (const wire::RunInstruction &each : batch.instructions) {
                wire::RunEnd end;
                end.runNumber = each.order.runNumber;
                end.outcome = outcome;
                end.ranMs = 100;
                reply.ends.push_back(end);
                ++orders;
            }
            const auto update = entry.directory.handleBatch(entry.directory.views().at("a").link, reply, now);
            for (const wire::RunEnd &end : update->ends) {
                entry.offering.handleRunEnd("a", end, now);
            }
        }
    }
    const auto units = static_cast<size_t>(OvercommitBudget::MaxUnits);
    CHECK((outcome == wire::RunOutcome::DONE ? orders == Jobs : orders <= units + 1));
}
