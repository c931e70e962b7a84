#include "request/crash_suspicion.h"

#include <catch2/catch.hpp>

using namespace marjoramferry;

namespace {

const MonotonicTime Start{std::chrono::hours(1)};

/** A crash with one run of a new job for each queue, in the order of their starts, 10 ms apart. */
wire::WorkerCrash crashOf(const std::vector<std::string> &queues)
{
    static int lastJob = 0;
    wire::WorkerCrash crash;
    crash.worker = "worker";
    for (size_t i = 0; i < queues.size(); ++i) {
        wire::CrashedRun run;
        run.jobId = "job-" + std::to_string(++lastJob);
        run.queue = queues[i];
        run.ageMs = static_cast<int>(10 * (queues.size() - i));
        crash.runs.push_back(run);
    }
    return crash;
}

/** A suspicion that knows queues with 70%, 25% and 5% of the jobs. */
CrashSuspicion withThreeQueues()
{
    CrashSuspicion suspicion;
    for (int i = 0; i < 100; ++i) {
        suspicion.recordJob(
            i < 70 ? "many" : (i < 95 ? "some" : "few"), 100, Milliseconds(100), Start - Milliseconds(300));
    }
    return suspicion;
}

/** Crashes under the queue "some", which make it a suspect at the start. */
void suspectSome(CrashSuspicion &suspicion)
{
    suspicion.recordCrash(crashOf({"many", "some"}), false, Start - Milliseconds(300));
    suspicion.recordCrash(crashOf({"many", "some"}), false, Start);
}

using Suspects = std::set<std::string>;

} // namespace

// Guards against an isolation after one crash, which any queue with few jobs may meet by chance.
TEST_CASE("A queue with few jobs of which one started last before each crash is a suspect after the second, not before")
{
    CrashSuspicion suspicion = withThreeQueues();
    suspicion.recordCrash(crashOf({"many", "few", "some"}), false, Start);
    CHECK(suspicion.suspects().empty());
    suspicion.recordCrash(crashOf({"many", "some"}), false, Start + Milliseconds(300));
    CHECK(suspicion.suspects() == Suspects{"some"});
}

TEST_CASE("A queue with most of the jobs is a suspect only once workers crash again and again")
{
    CrashSuspicion suspicion = withThreeQueues();
    suspicion.recordCrash(crashOf({"many"}), false, Start);
    CHECK(suspicion.suspects().empty());
    suspicion.recordCrash(crashOf({"some", "many"}), false, Start + Milliseconds(300));
    suspicion.recordCrash(crashOf({"many"}), false, Start + Milliseconds(600));
    CHECK(suspicion.suspects() == Suspects{"many"});
}

TEST_CASE("Workers that crash together count as one crash")
{
    CrashSuspicion suspicion = withThreeQueues();
    for (int i = 0; i < 5; ++i) {
        suspicion.recordCrash(crashOf({"few", "many"}), false, Start + Milliseconds(10 * i));
    }
    CHECK(suspicion.suspects().empty());
}

TEST_CASE("A crash of a worker that only suspects use says nothing about the other queues, and the reverse")
{
    CrashSuspicion suspicion = withThreeQueues();
    suspectSome(suspicion);
    REQUIRE(suspicion.suspects() == Suspects{"some"});
    const double score = suspicion.score("many", Start + Milliseconds(200));
    suspicion.recordCrash(crashOf({"some"}), true, Start + Milliseconds(200));
    CHECK(suspicion.score("many", Start + Milliseconds(200)) >= score);

    // A second queue crashes workers as well: crashes elsewhere do not clear the first.
    for (int i = 0; i < 4; ++i) {
        suspicion.recordCrash(crashOf({"many", "few"}), false, Start + Milliseconds(400 + 300 * i));
    }
    CHECK(suspicion.suspects() == Suspects{"few", "some"});
}

TEST_CASE("A run of another queue beside one of a suspect is not taken for the cause")
{
    CrashSuspicion suspicion = withThreeQueues();
    suspectSome(suspicion);
    suspicion.recordCrash(crashOf({"some", "few"}), true, Start + Milliseconds(200));
    CHECK(suspicion.suspects() == Suspects{"some"});
}

TEST_CASE("A suspect is cleared by a crash without any of its runs, and by time")
{
    CrashSuspicion suspicion = withThreeQueues();
    suspectSome(suspicion);
    Milliseconds elapsed{1000};
    if (GENERATE(true, false)) {
        suspicion.recordCrash(crashOf({"few"}), true, Start + Milliseconds(200));
    } else {
        elapsed = Milliseconds(20'000);
    }
    suspicion.update(Start + elapsed);
    CHECK_FALSE(suspicion.suspects().contains("some"));
}

TEST_CASE("The only queue is never a suspect: there is none to protect")
{
    CrashSuspicion suspicion;
    suspicion.recordJob("only", 100, Milliseconds(100), Start);
    for (int i = 0; i < 10; ++i) {
        suspicion.recordCrash(crashOf({"only"}), false, Start + Milliseconds(300 * i));
    }
    CHECK(suspicion.suspects().empty());
}
