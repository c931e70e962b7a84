#include "request/queue_isolation.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

#include <algorithm>

using namespace marjoramferry;

namespace {

const MonotonicTime Start{std::chrono::hours(1)};
constexpr int CapacityMillis = 32'000;

wire::WorkerCrash crashOfLastStarted(const std::string &queue)
{
    wire::WorkerCrash crash;
    crash.worker = "w";
    for (const auto &[name, ageMs] : {std::pair<std::string, int>{"status", 80}, {queue, 10}}) {
        wire::CrashedRun run;
        run.jobId = name;
        run.queue = name;
        run.ageMs = ageMs;
        crash.runs.push_back(run);
    }
    return crash;
}

/** Eleven workers in three failure domains, of which a share is used. */
struct LoadedWorkers
{
    WorkerDirectory directory{"entry", "entry-1", WorkerDirectoryOptions{}};
    OperatorStateCache operatorState;
    QueueIsolation isolation{"orders"};
    MonotonicTime now = Start;
    LinkId lastLink = 0;
    double usedShare = 0.6;
    std::set<std::string> down;

    explicit LoadedWorkers(int workers = 11)
    {
        for (int i = 0; i < workers; ++i) {
            report(absl::StrCat("agent-", i), i);
        }
        directory.updateActivity(operatorState, now);
        for (int i = 0; i < 100; ++i) {
            isolation.recordJob(i < 75 ? "status" : "quote", 100, Milliseconds(100), now);
        }
        advance(Milliseconds(10'000), workers);
    }

    void report(const std::string &agent, int index)
    {
        wire::AgentBatch batch;
        batch.agent = agent;
        batch.incarnation = agent + "-1";
        batch.sentAtUs = std::chrono::duration_cast<Microseconds>(now.time_since_epoch()).count();
        wire::WorkerState state;
        state.worker = "w-" + agent;
        state.serviceName = "orders";
        state.domain = absl::StrCat("domain-", index % 3);
        state.capacity.cpuMillis = CapacityMillis;
        batch.__set_worker(state);
        batch.room.unclaimed.cpuMillis = static_cast<int>(CapacityMillis * (1 - usedShare));
        batch.room.takesRuns = !down.contains(agent);
        const auto found = directory.views().find(agent);
        directory.handleBatch(found == directory.views().end() ? ++lastLink : found->second.link, batch, now);
    }

    void advance(Milliseconds duration, int workers = 11)
    {
        for (const MonotonicTime end = now + duration; now < end;) {
            now += Milliseconds(100);
            for (int i = 0; i < workers; ++i) {
                report(absl::StrCat("agent-", i), i);
            }
            isolation.update(directory, operatorState, now);
        }
    }

    /** Two crashes, since one alone isolates no queue. */
    void crash(const std::string &agent = "agent-0")
    {
        for (const int agoMs : {250, 0}) {
            wire::WorkerCrash crash = crashOfLastStarted("quote");
            crash.agoMs = agoMs;
            isolation.recordCrash(
                agent, crash, [](const std::string &) { return true; }, now);
        }
    }
};

} // namespace

TEST_CASE("Without crashes every queue may use every worker")
{
    const LoadedWorkers fixture;
    CHECK(fixture.isolation.group().empty());
    CHECK(fixture.isolation.mayUse("quote", "agent-3"));
    CHECK(fixture.isolation.mayUse("unknown", "agent-3"));
}

TEST_CASE("A queue that crashes workers uses a group of them, which no other queue uses")
{
    LoadedWorkers fixture;
    fixture.crash();
    fixture.advance(Milliseconds(100));
    const std::vector<std::string> group = fixture.isolation.group();
    REQUIRE_FALSE(group.empty());
    CHECK(fixture.isolation.isIsolated("quote"));
    for (int i = 0; i < 11; ++i) {
        const std::string agent = absl::StrCat("agent-", i);
        const bool isInGroup = std::ranges::find(group, agent) != group.end();
        CHECK(fixture.isolation.mayUse("quote", agent) == isInGroup);
        CHECK(fixture.isolation.mayUse("status", agent) == !isInGroup);
    }
}

TEST_CASE("The workers outside of the group can carry the load of the other queues, also if some of them are down")
{
    LoadedWorkers fixture;
    fixture.usedShare = GENERATE(0.3, 0.6, 0.8);
    if (GENERATE(false, true)) {
        fixture.down = {"agent-1", "agent-4"};
    }
    fixture.advance(Milliseconds(10'000));
    fixture.crash();
    fixture.advance(Milliseconds(100));
    const std::vector<std::string> group = fixture.isolation.group();
    int usable = 0;
    for (int i = 0; i < 11; ++i) {
        const std::string agent = absl::StrCat("agent-", i);
        usable += std::ranges::find(group, agent) == group.end() && !fixture.down.contains(agent) ? 1 : 0;
    }
    // Three quarters of the work belong to the other queues. The smallest group is one worker or the queue's own load.
    const double otherLoad = fixture.usedShare * 0.75 * (11 - static_cast<double>(fixture.down.size()));
    CHECK((usable >= otherLoad || group.size() <= 3));
    CHECK(group.size() <= 5);
}

TEST_CASE("Entries with different loads select groups of which one contains the other")
{
    LoadedWorkers busy;
    LoadedWorkers idle;
    idle.usedShare = 0.2;
    idle.advance(Milliseconds(10'000));
    for (LoadedWorkers *each : {&busy, &idle}) {
        each->crash();
        each->advance(Milliseconds(100));
    }
    const std::vector<std::string> &smaller = busy.isolation.group();
    const std::vector<std::string> &larger = idle.isolation.group();
    REQUIRE(smaller.size() <= larger.size());
    CHECK(std::equal(smaller.begin(), smaller.end(), larger.begin()));
}

TEST_CASE("The group holds no worker of a domain that operators took out")
{
    LoadedWorkers fixture;
    wire::OperatorState state;
    state.position = 1;
    state.configurationVersion = 1;
    state.evacuatedDomains = {"domain-0", "domain-1"};
    fixture.operatorState.updateIfNewer(state);
    fixture.crash();
    fixture.advance(Milliseconds(100));
    REQUIRE_FALSE(fixture.isolation.group().empty());
    for (const std::string &agent : fixture.isolation.group()) {
        CHECK(fixture.directory.views().at(agent).state.domain == "domain-2");
    }
}

TEST_CASE("An entry that starts gives isolated queues no worker before it knows the workers")
{
    LoadedWorkers fixture(1);
    fixture.crash();
    fixture.advance(Milliseconds(100), 11); // Ten more agents connect.
    CHECK(fixture.isolation.isIsolated("quote"));
    CHECK(fixture.isolation.group().empty());
    CHECK_FALSE(fixture.isolation.mayUse("quote", "agent-0"));
    CHECK(fixture.isolation.mayUse("status", "agent-0"));
    fixture.advance(Milliseconds(300));
    CHECK_FALSE(fixture.isolation.group().empty());
}

TEST_CASE("Isolation ends some seconds after the last crash")
{
    LoadedWorkers fixture;
    for (int i = 0; i < 10; ++i) {
        fixture.crash();
        fixture.advance(Milliseconds(300));
    }
    CHECK(fixture.isolation.isCautious(fixture.now));
    fixture.advance(Milliseconds(6000));
    CHECK_FALSE(fixture.isolation.isCautious(fixture.now));
    fixture.advance(Milliseconds(10'000));
    CHECK_FALSE(fixture.isolation.isIsolated("quote"));
    CHECK(fixture.isolation.mayUse("quote", "agent-3"));
}
