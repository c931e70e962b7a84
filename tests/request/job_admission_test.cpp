#include "request/job_admission.h"
#include "tests/support/scheduler_fixture.h"

#include <catch2/catch.hpp>

using namespace marjoramferry;
using marjoramferry::testing::Start;

namespace {

constexpr int StepMs = 10;
constexpr double Capacity = 1000; ///< Work per millisecond.

/** Arrived at @p now, with an objective of 380 ms and a timeout of 2 s. */
JobNeeds statusJob(MonotonicTime now, double work = 400)
{
    constexpr double StartMargin = 0.25;
    return makeNeeds(testing::route("status", 1), 2, work, Milliseconds(200), Milliseconds(2000), StartMargin, now);
}

/** Dispatches work at the capacity for @p durationMs while jobs wait. */
MonotonicTime measureCapacity(JobAdmission &admission, int durationMs)
{
    for (int at = 0; at < durationMs; at += StepMs) {
        admission.shares().recordDispatched("status", Capacity * StepMs, Start + Milliseconds(at));
        admission.shares().endPass(true, Start + Milliseconds(at));
    }
    return Start + Milliseconds(durationMs);
}

JobProspect classify(JobAdmission &admission, double waitMs, MonotonicTime now)
{
    return admission.classify(
        statusJob(now), [&](JobProspect) { return waitMs * Capacity; }, now);
}

} // namespace

// Guards against jobs that wait for seconds until they are rejected.
TEST_CASE("An arriving job is classified by the time at which its last task would end")
{
    JobAdmission admission;
    const MonotonicTime now = measureCapacity(admission, 2000);
    CHECK(classify(admission, 0, now) == JobProspect::InTime);
    CHECK(classify(admission, 100, now) == JobProspect::InTime);
    CHECK(classify(admission, 300, now) == JobProspect::Late);
    CHECK(classify(admission, 1500, now) == JobProspect::Leftover);
    CHECK(classify(admission, 3000, now) == JobProspect::Hopeless);
}

// Guards against a prediction for the first task of a job that is complete with its last one.
TEST_CASE("The job's own tasks count as ahead of its last one")
{
    JobAdmission admission;
    const MonotonicTime now = measureCapacity(admission, 2000);
    const auto prospectOf = [&](double work) {
        return admission.classify(
            statusJob(now, work), [](JobProspect) { return 50 * Capacity; }, now);
    };
    CHECK(prospectOf(400) == JobProspect::InTime);
    CHECK(prospectOf(400 * Capacity) == JobProspect::Late);
}

// Guards against late jobs that are admitted although the jobs in time take all capacity.
TEST_CASE("Work that arrives later and is served before a late job prolongs its wait")
{
    JobAdmission admission;
    const MonotonicTime now = measureCapacity(admission, 5000);
    REQUIRE(classify(admission, 500, now) == JobProspect::Late);
    const auto urgentJob = [&](int agoMs) {
        JobNeeds job = statusJob(now - Milliseconds(agoMs), Capacity * StepMs);
        job.queue = "quote";
        job.priority = 0;
        admission.classify(
            job, [](JobProspect) { return 0; }, now - Milliseconds(agoMs));
    };
    for (int ago = 3000; ago > 0; ago -= StepMs) {
        urgentJob(ago);
    }
    CHECK(classify(admission, 500, now) == JobProspect::Hopeless);
}

// Guards against rejections by an entry that has just started.
TEST_CASE("Everything is admitted before there is a second of measurements")
{
    JobAdmission admission;
    const MonotonicTime now = measureCapacity(admission, 900);
    CHECK(classify(admission, 100'000, now) == JobProspect::InTime);
    CHECK_FALSE(admission.isHopeless(statusJob(now), JobProspect::InTime, 100'000 * Capacity, now));
}

// Guards against admitted jobs that wait for their caller's timeout.
TEST_CASE("An admitted job is hopeless once even an early end is after its caller's timeout")
{
    JobAdmission admission;
    const MonotonicTime now = measureCapacity(admission, 2000);
    const JobNeeds job = statusJob(now);
    CHECK_FALSE(admission.isHopeless(job, JobProspect::Late, 1500 * Capacity, now));
    CHECK(admission.isHopeless(job, JobProspect::Late, 2500 * Capacity, now));
    CHECK(admission.isHopeless(job, JobProspect::Late, 0, now + Milliseconds(1850)));
}

// Guards against callers that were rejected in a burst and all return in the same second.
TEST_CASE("Rejected callers are told to return over several seconds, urgent and small jobs first")
{
    JobAdmission admission;
    const MonotonicTime now = measureCapacity(admission, 2000);
    const auto returnDelay = [&](int priority, double work) {
        JobNeeds job = statusJob(now, work);
        job.priority = priority;
        return admission.reserveReturn(job, 0, now);
    };
    const Milliseconds first = returnDelay(2, 200 * Capacity);
    CHECK(first == Milliseconds(1000));
    std::set<Milliseconds> bulk;
    for (int i = 0; i < 8; ++i) {
        bulk.insert(returnDelay(2, 200 * Capacity));
    }
    CHECK(bulk.size() >= 3);
    CHECK(returnDelay(0, 20 * Capacity) == Milliseconds(1000));
    CHECK(*bulk.rbegin() <= Milliseconds(10'000));
}
