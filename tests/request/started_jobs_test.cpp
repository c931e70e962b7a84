#include "request/started_jobs.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

using namespace marjoramferry;

TEST_CASE("Started jobs are remembered for a minute, and at most 4096 of them")
{
    const MonotonicTime start{std::chrono::hours(1)};
    StartedJobs jobs;
    jobs.add("a", start);
    CHECK(jobs.contains("a", start + Milliseconds(60'000)));
    CHECK_FALSE(jobs.contains("b", start));
    CHECK_FALSE(jobs.contains("a", start + Milliseconds(60'001)));
    jobs.add("a", start);
    jobs.add("a", start + Milliseconds(1));
    CHECK(jobs.contains("a", start + Milliseconds(60'001)));
    for (int i = 0; i < 5000; ++i) {
        jobs.add(absl::StrCat("job-", i), start + Milliseconds(2));
    }
    CHECK_FALSE(jobs.contains("a", start + Milliseconds(2)));
    CHECK(jobs.contains("job-4999", start + Milliseconds(2)));
}
