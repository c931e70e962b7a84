#include "request/crash_log.h"

#include <catch2/catch.hpp>

using namespace marjoramferry;

namespace {

const MonotonicTime Start{std::chrono::hours(1)};

WorkerCrash crashOf(int64_t startTimeMs, MonotonicTime at)
{
    return WorkerCrash{{"worker", startTimeMs}, at, {CrashedRun{RunKey{"job", 1, 2, 3}, "quote", 12}}};
}

} // namespace

TEST_CASE("Crashes after a number are reported with their age")
{
    CrashLog log;
    CHECK(log.reportsAfter(0, Start).empty());
    log.add(crashOf(1, Start), Start);
    log.add(crashOf(2, Start + Milliseconds(500)), Start + Milliseconds(500));
    CHECK(log.lastNumber() == 2);
    CHECK(log.reportsAfter(2, Start + Milliseconds(600)).empty());
    REQUIRE(log.reportsAfter(0, Start + Milliseconds(600)).size() == 2);
    const wire::WorkerCrash second = log.reportsAfter(1, Start + Milliseconds(600)).at(0);
    CHECK(second.worker == "worker");
    CHECK(second.bornMs == 2);
    CHECK(second.agoMs == 100);
    REQUIRE(second.runs.size() == 1);
    CHECK(second.runs[0].jobId == "job");
    CHECK(second.runs[0].stepIndex == 1);
    CHECK(second.runs[0].taskIndex == 2);
    CHECK(second.runs[0].queue == "quote");
    CHECK(second.runs[0].ageMs == 12);
}

TEST_CASE("Crashes older than a minute are not reported, and the log is bounded")
{
    CrashLog log;
    for (int i = 1; i <= 100; ++i) {
        log.add(crashOf(i, Start + Milliseconds(i)), Start + Milliseconds(i));
    }
    CHECK(log.reportsAfter(0, Start + Milliseconds(100)).size() == 32);
    CHECK(log.reportsAfter(0, Start + Milliseconds(60'200)).empty());
}

// Guards against an entry that learns of a crash over a new connection after it was retracted.
TEST_CASE("A later report of a process replaces the earlier one")
{
    CrashLog log;
    log.add(crashOf(1, Start), Start);
    log.add(crashOf(2, Start + Milliseconds(500)), Start + Milliseconds(500));
    log.add(WorkerCrash{{"worker", 1}, Start, {}, wire::CrashStatus::RETRACTED}, Start + Milliseconds(600));
    CHECK(log.lastNumber() == 3);
    const auto reports = log.reportsAfter(0, Start + Milliseconds(600));
    REQUIRE(reports.size() == 2);
    CHECK(reports[1].bornMs == 1);
    CHECK(reports[1].agoMs == 600);
    CHECK(reports[1].status == wire::CrashStatus::RETRACTED);
}
