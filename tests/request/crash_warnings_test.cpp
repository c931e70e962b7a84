#include "request/crash_warnings.h"

#include <catch2/catch.hpp>

using namespace marjoramferry;

namespace {

const MonotonicTime Start{std::chrono::hours(1)};

/** A crash with one run for each queue, in the order of their starts, 10 ms apart. */
wire::WorkerCrash crashOf(const std::vector<std::string> &queues)
{
    wire::WorkerCrash crash;
    crash.worker = "worker";
    for (size_t i = 0; i < queues.size(); ++i) {
        wire::CrashedRun run;
        run.jobId = "job-" + std::to_string(i);
        run.queue = queues[i];
        run.ageMs = static_cast<int>(10 * (queues.size() - i));
        crash.runs.push_back(run);
    }
    return crash;
}

/** A warnings that knows queues with 70%, 25% and 5% of the jobs. */
CrashWarnings withThreeQueues()
{
    CrashWarnings warnings;
    for (int i = 0; i < 100; ++i) {
        warnings.recordJob(i < 70 ? "many" : (i < 95 ? "some" : "few"), Start);
    }
    return warnings;
}

using Queues = std::set<std::string>;

} // namespace

TEST_CASE("A queue with few jobs of which one started last before a crash is under a warning at once")
{
    CrashWarnings warnings = withThreeQueues();
    warnings.recordCrash(crashOf({"many", "few", "some"}), false, Start);
    CHECK(warnings.queues() == Queues{"some"});
}

TEST_CASE("A queue with most of the jobs is under a warning only once workers crash again and again")
{
    CrashWarnings warnings = withThreeQueues();
    warnings.recordCrash(crashOf({"many"}), false, Start);
    CHECK(warnings.queues().empty());
    warnings.recordCrash(crashOf({"some", "many"}), false, Start + Milliseconds(300));
    warnings.recordCrash(crashOf({"many"}), false, Start + Milliseconds(600));
    CHECK(warnings.queues() == Queues{"many"});
}

TEST_CASE("Workers that crash together give the warning of one crash")
{
    CrashWarnings warnings = withThreeQueues();
    for (int i = 0; i < 5; ++i) {
        warnings.recordCrash(crashOf({"few", "many"}), false, Start + Milliseconds(10 * i));
    }
    CHECK(warnings.queues().empty());
}

TEST_CASE("A crash in the group of queues under a warning says nothing about the other queues, and the reverse")
{
    CrashWarnings warnings = withThreeQueues();
    warnings.recordCrash(crashOf({"many", "some"}), false, Start);
    REQUIRE(warnings.queues() == Queues{"some"});
    const double score = warnings.score("many", Start);
    warnings.recordCrash(crashOf({"some"}), true, Start + Milliseconds(200));
    CHECK(warnings.score("many", Start + Milliseconds(200)) >= score);

    // A second queue crashes workers as well: crashes elsewhere do not clear the first.
    for (int i = 0; i < 4; ++i) {
        warnings.recordCrash(crashOf({"many", "few"}), false, Start + Milliseconds(400 + 300 * i));
    }
    CHECK(warnings.queues() == Queues{"few", "some"});
}

TEST_CASE("A run of another queue beside one under a warning is not taken for the cause")
{
    CrashWarnings warnings = withThreeQueues();
    warnings.recordCrash(crashOf({"many", "some"}), false, Start);
    warnings.recordCrash(crashOf({"some", "few"}), true, Start + Milliseconds(200));
    CHECK(warnings.queues() == Queues{"some"});
}

TEST_CASE("A warning is cleared by a crash without any of its runs, and by time")
{
    CrashWarnings warnings = withThreeQueues();
    warnings.recordCrash(crashOf({"many", "some"}), false, Start);
    Milliseconds elapsed{1000};
    if (GENERATE(true, false)) {
        warnings.recordCrash(crashOf({"few"}), true, Start + Milliseconds(200));
    } else {
        elapsed = Milliseconds(20'000);
    }
    warnings.update(Start + elapsed);
    CHECK_FALSE(warnings.queues().contains("some"));
}

TEST_CASE("The only queue is never under a warning: there is none to protect")
{
    CrashWarnings warnings;
    warnings.recordJob("only", Start);
    for (int i = 0; i < 10; ++i) {
        warnings.recordCrash(crashOf({"only"}), false, Start + Milliseconds(300 * i));
    }
    CHECK(warnings.queues().empty());
}
