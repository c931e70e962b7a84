#include "request/work_scheduler.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

#include <algorithm>

using namespace marjoramferry;

namespace {

const MonotonicTime Start{std::chrono::hours(1)};

wire::Route route(const std::string &name, int priority)
{
    wire::Route result;
    result.name = name;
    result.serviceName = "orders";
    result.priority = priority;
    result.maxAttempts = 2;
    result.stretch = 1.6;
    result.targetLatencyMs = 60;
    return result;
}

wire::AgentBatch agentBatch(const std::string &agent, const std::string &domain, int freeMillis)
{
    wire::AgentBatch batch;
    batch.agent = agent;
    batch.incarnation = agent + "-1";
    batch.entryIncarnation = "entry-1";
    batch.sentAtUs = 1;
    batch.cleared = true;
    wire::WorkerState worker;
    worker.worker = "w-" + agent;
    worker.serviceName = "orders";
    worker.domain = domain;
    worker.capacity.cpuMillis = 16'000;
    worker.capacity.memoryMb = 100'000;
    batch.__set_worker(worker);
    batch.room.unclaimed.cpuMillis = freeMillis;
    batch.room.unclaimed.memoryMb = 100'000;
    batch.room.takesRuns = true;
    return batch;
}

/** A desk with agents that report what the test says. */
struct Desk
{
    WorkerDirectory directory{"entry", "entry-1", DirectoryTimes{}};
    WorkDesk desk{DeskOptions{}, directory};
    OperatorStateCache operators;
    std::map<std::string, int64_t> sessions;
    LinkId lastLink = 0;
    uint64_t lastToken = 0;

    void meet(const std::string &agent, const std::string &domain, int freeMillis, MonotonicTime now = Start)
    {
        directory.take(++lastLink, agentBatch(agent, domain, freeMillis), now);
        sessions[agent] = directory.views().at(agent).session;
    }

    /** The agent has had everything so far, and has room. */
    void report(const std::string &agent, int freeMillis, MonotonicTime now)
    {
        const WorkerView &view = directory.views().at(agent);
        wire::AgentBatch batch = agentBatch(agent, view.state.domain, freeMillis);
        batch.sentAtUs = view.heardUs + 1;
        batch.session = view.session;
        batch.acknowledged = view.instructions.newestSequenceNumber();
        directory.take(view.link, batch, now);
    }

    uint64_t submit(const std::string &job,
                    const wire::Route &queue,
                    int tasks,
                    int runMs,
                    MonotonicTime now = Start,
                    int cpuMillis = 8000)
    {
        SubmitWork call;
        call.address.token = ++lastToken;
        call.timeout = Milliseconds(2500);
        WorkStep step;
        step.count = tasks;
        step.demand = {cpuMillis, 64, 0};
        step.estimate = Milliseconds(runMs);
        call.job.steps = {step};
        desk.submit(call, queue, job, now);
        return lastToken;
    }

    /** Orders sent since the last call, as job ids by agent. */
    std::vector<std::pair<std::string, wire::RunOrder>> orders(MonotonicTime now)
    {
        desk.advance(operators, now);
        std::vector<std::pair<std::string, wire::RunOrder>> sent;
        for (auto &[agent, view] : directory.views()) {
            for (const wire::RunInstruction &each : view.instructions.takeUnsent()) {
                if (each.__isset.order) {
                    sent.emplace_back(agent, each.order);
                }
            }
        }
        return sent;
    }

    /** Whether any run was called overdue since the last call. */
    bool overdueLogged()
    {
        return std::ranges::any_of(desk.takeCommands(), [](const EntryCommand &each) {
            const auto *line = std::get_if<LogEvent>(&each);
            return line != nullptr && line->event == "run_overdue";
        });
    }

    void end(const std::string &agent, int64_t run, wire::RunOutcome::type outcome, MonotonicTime now, int ranMs = 60)
    {
        wire::RunEnd end;
        end.runNumber = run;
        end.outcome = outcome;
        end.ranMs = ranMs;
        desk.noteEnd(agent, end, now);
    }
};

} // namespace

TEST_CASE("Burst: of the jobs that wait the most urgent goes first, a step of priority counts as urgency")
{
    Desk desk;
    desk.meet("a", "north", 0);
    desk.submit("slow", route("slow", 2), 1, 900);
    desk.submit("quick", route("quick", 0), 1, 60);
    desk.submit("middle", route("middle", 1), 1, 200);
    CHECK(desk.orders(Start).empty());
    std::vector<std::string> begun;
    for (int i = 1; i <= 3; ++i) {
        desk.report("a", 8000, Start + Milliseconds(i));
        const auto sent = desk.orders(Start + Milliseconds(i));
        REQUIRE(sent.size() == 1);
        begun.push_back(sent[0].second.jobId);
    }
    CHECK(begun == std::vector<std::string>{"quick", "middle", "slow"});
}

TEST_CASE("Burst: a job that can't be in time any more waits behind one that can")
{
    Desk desk;
    desk.meet("a", "north", 0);
    desk.submit("late", route("q", 0), 1, 60);
    const MonotonicTime later = Start + Milliseconds(200);
    desk.submit("fresh", route("q", 0), 1, 60, later);
    CHECK(desk.orders(later).empty());
    desk.report("a", 8000, later);
    const auto sent = desk.orders(later);
    REQUIRE(sent.size() == 1);
    CHECK(sent[0].second.jobId == "fresh");
}

TEST_CASE("Overload: a job that found no room is rejected before its caller's time is over, one that began is not")
{
    Desk desk;
    desk.meet("a", "north", 8000);
    const uint64_t begun = desk.submit("begun", route("q", 0), 2, 60);
    CHECK(desk.orders(Start).size() == 1);
    const uint64_t waits = desk.submit("waits", route("q", 0), 1, 60);
    const MonotonicTime later = Start + Milliseconds(900);
    desk.report("a", 0, later);
    desk.orders(later);
    const auto answers = desk.desk.takeAnswers();
    REQUIRE(answers.size() == 1);
    CHECK(answers[0].token == waits);
    CHECK(answers[0].status == ResponseStatus::Rejected);
    CHECK(answers[0].retryAfter >= Milliseconds(1000));
    CHECK(desk.desk.knows("begun"));
    CHECK(begun != waits);
}

TEST_CASE("Failing worker: a task goes elsewhere, and after three failures nothing but a probe goes there")
{
    Desk desk;
    desk.meet("bad", "north", 16'000);
    MonotonicTime now = Start;
    for (int i = 0; i < 3; ++i) {
        desk.submit("job-" + std::to_string(i), route("q", 0), 1, 60, now);
        const auto sent = desk.orders(now);
        REQUIRE(sent.size() == 1);
        desk.end("bad", sent[0].second.runNumber, wire::RunOutcome::FAILED, now);
        CHECK(desk.orders(now).empty());
        desk.report("bad", 16'000, now);
    }
    desk.submit("next", route("q", 0), 1, 60, now);
    CHECK(desk.orders(now).empty());
    desk.meet("good", "north", 16'000, now);
    CHECK(desk.orders(now).size() == 2);
    now += Milliseconds(900);
    desk.report("bad", 16'000, now);
    desk.report("good", 0, now);
    desk.submit("probe", route("q", 0), 2, 60, now);
    const auto probes = desk.orders(now);
    REQUIRE(probes.size() == 1);
    CHECK(probes[0].first == "bad");
}

TEST_CASE("Failing task: a job whose task failed as often as its queue allows has failed")
{
    Desk desk;
    desk.meet("a", "north", 16'000);
    desk.meet("b", "north", 16'000);
    desk.submit("poison", route("q", 0), 1, 60);
    for (int i = 0; i < 2; ++i) {
        const auto sent = desk.orders(Start);
        REQUIRE(sent.size() == 1);
        desk.end(sent[0].first, sent[0].second.runNumber, wire::RunOutcome::FAILED, Start);
    }
    const auto answers = desk.desk.takeAnswers();
    REQUIRE(answers.size() == 1);
    CHECK(answers[0].status == ResponseStatus::Failed);
}

TEST_CASE("Stalled worker: an overdue task is stopped, and begins elsewhere only after its end")
{
    Desk desk;
    desk.meet("a", "north", 8000);
    desk.submit("job", route("q", 0), 1, 60);
    const auto first = desk.orders(Start);
    REQUIRE(first.size() == 1);
    const MonotonicTime later = Start + Milliseconds(250);
    desk.meet("b", "north", 8000, later);
    desk.report("a", 0, later);
    CHECK(desk.orders(later).empty());
    desk.end("a", first[0].second.runNumber, wire::RunOutcome::GONE, later);
    const auto second = desk.orders(later);
    REQUIRE(second.size() == 1);
    CHECK(second[0].first == "b");
    CHECK(second[0].second.attempt == 2);
}

TEST_CASE("Long tasks: the end of a sibling raises what is expected, so that the others are left alone")
{
    Desk desk;
    desk.meet("a", "north", 16'000);
    desk.submit("job", route("q", 0), 2, 60);
    const auto sent = desk.orders(Start);
    REQUIRE(sent.size() == 2);
    const MonotonicTime later = Start + Milliseconds(200);
    desk.end("a", sent[0].second.runNumber, wire::RunOutcome::DONE, later, 200);
    const MonotonicTime evenLater = Start + Milliseconds(400);
    desk.report("a", 8000, evenLater);
    desk.desk.advance(desk.operators, evenLater);
    CHECK_FALSE(desk.directory.views().at("a").instructions.hasUnsent());
}

TEST_CASE("Mixed queue: a task that runs as long as declared is left alone, whatever the queue's mean is")
{
    Desk desk;
    desk.meet("a", "north", 16'000);
    const wire::Route queue = route("orders", 0);
    MonotonicTime now = Start;
    for (int i = 0; i < 20; ++i) {
        desk.submit(absl::StrCat("short-", i), queue, 1, 20, now);
        const auto sent = desk.orders(now);
        REQUIRE(sent.size() == 1);
        now += Milliseconds(20);
        desk.end("a", sent[0].second.runNumber, wire::RunOutcome::DONE, now, 20);
        desk.report("a", 16'000, now);
    }
    desk.submit("long", queue, 1, 900, now);
    REQUIRE(desk.orders(now).size() == 1);
    desk.desk.advance(desk.operators, now + Milliseconds(950));
    CHECK_FALSE(desk.overdueLogged());
}

TEST_CASE("Long tasks: one far longer than expected is left alone while its worker ends others")
{
    Desk desk;
    desk.meet("a", "north", 16'000);
    desk.submit("long", route("q", 0), 1, 300);
    REQUIRE(desk.orders(Start).size() == 1);
    desk.submit("other", route("q", 0), 1, 300, Start + Milliseconds(1));
    const auto other = desk.orders(Start + Milliseconds(1));
    REQUIRE(other.size() == 1);
    const bool isWorkerAlive = GENERATE(true, false);
    if (isWorkerAlive) {
        desk.end("a", other[0].second.runNumber, wire::RunOutcome::DONE, Start + Milliseconds(500), 300);
    }
    desk.desk.advance(desk.operators, Start + Milliseconds(1000));
    CHECK(desk.overdueLogged() == !isWorkerAlive);
    desk.desk.advance(desk.operators, Start + Milliseconds(1900));
    CHECK(desk.overdueLogged() == isWorkerAlive);
}

TEST_CASE("Burst at one entry of many: a job that can't be in time leaves a part of each worker to others")
{
    Desk desk;
    desk.meet("a", "north", 16'000);
    const wire::Route queue = route("q", 0);
    desk.submit("late", queue, 1, 60);
    const MonotonicTime later = Start + Milliseconds(200); // Too late to be in time.
    desk.report("a", 10'000, later);
    CHECK(desk.orders(later).empty());
    desk.report("a", 12'000, later);
    CHECK(desk.orders(later).size() == 1);
}

TEST_CASE("Large task: one that needs nearly all of a worker begins there though its job is late")
{
    Desk desk;
    desk.meet("a", "north", 16'000);
    desk.submit("large", route("q", 0), 1, 60, Start, 15'000);
    const MonotonicTime later = Start + Milliseconds(200); // Too late to be in time.
    desk.report("a", 16'000, later);
    CHECK(desk.orders(later).size() == 1);
}

TEST_CASE("Evacuation: an evacuated domain gets nothing, the others do")
{
    Desk desk;
    wire::OperatorState word;
    word.position = 1;
    word.configurationVersion = 1;
    word.evacuatedDomains = {"north"};
    desk.operators.updateIfNewer(word);
    desk.meet("a", "north", 16'000);
    desk.submit("job", route("q", 0), 1, 60);
    CHECK(desk.orders(Start).empty());
    desk.meet("b", "south", 16'000);
    const auto sent = desk.orders(Start);
    REQUIRE(sent.size() == 1);
    CHECK(sent[0].first == "b");
}

TEST_CASE("Give-ups: a job whose caller has gone is stopped, and comes again only after its runs' ends")
{
    Desk desk;
    desk.meet("a", "north", 16'000);
    const uint64_t token = desk.submit("job", route("q", 0), 1, 60);
    const auto first = desk.orders(Start);
    REQUIRE(first.size() == 1);
    desk.desk.abandon(token, Start);
    CHECK(desk.directory.views().at("a").instructions.hasUnsent());
    desk.submit("job", route("q", 0), 1, 60);
    desk.report("a", 8000, Start);
    CHECK(desk.orders(Start).empty());
    desk.end("a", first[0].second.runNumber, wire::RunOutcome::GONE, Start);
    CHECK(desk.orders(Start).size() == 1);
}

TEST_CASE("A lost agent: its tasks begin elsewhere only once nothing can be left of them")
{
    Desk desk;
    desk.meet("a", "north", 8000);
    desk.submit("job", route("q", 0), 1, 60);
    CHECK(desk.orders(Start).size() == 1);
    const MonotonicTime silent = Start + Milliseconds(1800);
    desk.meet("b", "north", 8000, silent);
    CHECK(desk.directory.giveUpSilent(silent).empty());
    CHECK(desk.orders(silent).empty());
    const MonotonicTime over = Start + Milliseconds(1860);
    const auto givenUp = desk.directory.giveUpSilent(over);
    REQUIRE(givenUp.size() == 1);
    desk.desk.loseRuns(givenUp[0].agent, givenUp[0].clearedBelow, over);
    const auto sent = desk.orders(over);
    REQUIRE(sent.size() == 1);
    CHECK(sent[0].first == "b");
}
