#include "request/crash_tracker.h"

#include <catch2/catch.hpp>

using namespace marjoramferry;

namespace {

const MonotonicTime Start{std::chrono::hours(1)};

wire::WorkerCrash crashOf(const std::string &worker, const std::vector<int> &tasks)
{
    wire::WorkerCrash crash;
    crash.worker = worker;
    for (const int task : tasks) {
        wire::CrashedRun run;
        run.jobId = "job";
        run.taskIndex = task;
        crash.runs.push_back(run);
    }
    return crash;
}

} // namespace

TEST_CASE("Each crashed process counts once for a task, however often it is reported")
{
    CrashTracker tracker;
    CHECK(tracker.record(crashOf("a", {0, 1}), Start));
    CHECK_FALSE(tracker.record(crashOf("a", {0, 1}), Start + Milliseconds(5)));
    CHECK(tracker.record(crashOf("b", {1}), Start + Milliseconds(300)));
    wire::WorkerCrash restarted = crashOf("b", {1});
    restarted.bornMs = 9;
    CHECK(tracker.record(restarted, Start + Milliseconds(900)));
    CHECK(tracker.countCrashes("job", 0, 0) == 1);
    CHECK(tracker.countCrashes("job", 0, 1) == 3);
    CHECK(tracker.countCrashes("job", 0, 2) == 0);
    CHECK(tracker.countCrashes("other", 0, 1) == 0);
    CHECK(tracker.mostCrashes("job") == 3);
    CHECK(tracker.mostCrashes("other") == 0);
    CHECK(tracker.mostCrashes("a") == 0);
}

TEST_CASE("Crashes are forgotten after a minute")
{
    CrashTracker tracker;
    tracker.record(crashOf("a", {0}), Start);
    tracker.record(crashOf("b", {0}), Start + Milliseconds(30'000));
    tracker.record(crashOf("c", {7}), Start + Milliseconds(61'000));
    CHECK(tracker.countCrashes("job", 0, 0) == 1);
}
