#include "request/crash_tracker.h"

#include <absl/strings/str_cat.h>
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
    CHECK(tracker.countsOf("job", 0, 0).all == 1);
    CHECK(tracker.countsOf("job", 0, 1).all == 3);
    CHECK(tracker.countsOf("job", 0, 2).all == 0);
    CHECK(tracker.countsOf("other", 0, 1).all == 0);
    CHECK(tracker.highestCountsOf("job").all == 3);
    CHECK(tracker.highestCountsOf("other").all == 0);
    CHECK(tracker.highestCountsOf("a").all == 0);
}

TEST_CASE("Crashes are forgotten after a minute")
{
    CrashTracker tracker;
    tracker.record(crashOf("a", {0}), Start);
    tracker.record(crashOf("b", {0}), Start + Milliseconds(30'000));
    tracker.record(crashOf("c", {7}), Start + Milliseconds(61'000));
    CHECK(tracker.countsOf("job", 0, 0).all == 1);
}

// Guards against a verdict on tasks that had run for long, or after which another job's task started.
TEST_CASE("Only the job that started last, shortly before the crash, is a likely cause of it")
{
    const auto crash = [](const std::string &worker, int ageMs, int otherAgeMs) {
        wire::WorkerCrash result = crashOf(worker, {0, 1});
        result.runs[0].ageMs = ageMs;
        result.runs[1].ageMs = otherAgeMs;
        result.runs[1].jobId = "other";
        return result;
    };
    CrashTracker tracker;
    tracker.record(crash("a", 15, 90), Start);
    tracker.record(crash("b", 16, 15), Start + Milliseconds(300));
    tracker.record(crash("c", 400, 900), Start + Milliseconds(600));
    CHECK(tracker.countsOf("job", 0, 0).all == 3);
    CHECK(tracker.countsOf("job", 0, 0).likelyCaused == 1);
    CHECK(tracker.countsOf("other", 0, 1).likelyCaused == 1);
}

// Guards against jobs shown as failed after two crashes of many workers at once, which no task has caused.
TEST_CASE("Of workers that crash at the same moment, the tasks that started last are not the likely causes")
{
    CrashTracker tracker;
    for (int round = 0; round < 2; ++round) {
        const MonotonicTime at = Start + Milliseconds(700) * round;
        for (int worker = 0; worker < 8; ++worker) {
            wire::WorkerCrash crash = crashOf(absl::StrCat("w-", worker, "-", round), {0});
            crash.runs[0].jobId = absl::StrCat("job-", worker);
            crash.runs[0].ageMs = 40;
            tracker.record(crash, at);
        }
    }
    CHECK(tracker.countsOf("job-0", 0, 0).likelyCaused < 2);
}

// Guards against verdicts on tasks of crashes that did not happen.
TEST_CASE("A suspected crash has no likely cause, and a retracted one leaves no trace")
{
    CrashTracker tracker;
    wire::WorkerCrash crash = crashOf("a", {0});
    const auto reportAs = [&](wire::CrashStatus::type status, int64_t ms) {
        crash.status = status;
        crash.agoMs = static_cast<int>(ms);
        return tracker.record(crash, Start + Milliseconds(ms));
    };
    REQUIRE(reportAs(wire::CrashStatus::SUSPECTED, 0));
    CHECK(tracker.countsOf("job", 0, 0) == CrashCounts{1, 0, 0});
    REQUIRE(reportAs(wire::CrashStatus::DETECTED, 100));
    CHECK_FALSE(reportAs(wire::CrashStatus::SUSPECTED, 150));
    CHECK(tracker.countsOf("job", 0, 0) == CrashCounts{1, 1, 1});
    // The tasks of a simultaneous crash are no likely causes only as long as that crash is not disproved.
    REQUIRE(tracker.record(crashOf("b", {1}), Start + Milliseconds(10)));
    CHECK(tracker.countsOf("job", 0, 1) == CrashCounts{1, 1, 0});
    REQUIRE(reportAs(wire::CrashStatus::RETRACTED, 200));
    CHECK_FALSE(reportAs(wire::CrashStatus::RETRACTED, 210));
    CHECK(tracker.countsOf("job", 0, 0) == CrashCounts());
    CHECK(tracker.countsOf("job", 0, 1) == CrashCounts{1, 1, 1});
    REQUIRE(reportAs(wire::CrashStatus::DETECTED, 5000));
    CHECK(tracker.countsOf("job", 0, 0).all == 1);
}
