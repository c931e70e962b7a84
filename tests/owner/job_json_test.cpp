#include "owner/job_json.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

using namespace marjoramferry;

namespace {

std::string subjectOf(const std::string &body)
{
    try {
        parseJob(body, JobLimits());
    } catch (const Error &error) {
        return error.subject();
    }
    return "";
}

std::string jobWithTasks(const std::string &tasks)
{
    return absl::StrCat(R"({"job_id":"j","tenant":"t","service":"s","tasks":)", tasks, "}");
}

} // namespace

TEST_CASE("A job is parsed with default values and its fingerprint ignores white space")
{
    const wire::Job job = parseJob(jobWithTasks(R"([{"task_id":"a","payload":{"x":1}}])"), JobLimits());
    CHECK(job.jobId == "j");
    CHECK(job.tasks.at(0).payload == R"({"x":1})");
    CHECK(job.deadlineMs > 0);
    const wire::Job spaced = parseJob(jobWithTasks(R"([ {"payload": {"x":1}, "task_id":"a"} ])"), JobLimits());
    CHECK(spaced.fingerprint == job.fingerprint);
    const wire::Job other = parseJob(jobWithTasks(R"([{"task_id":"a","payload":{"x":2}}])"), JobLimits());
    CHECK(other.fingerprint != job.fingerprint);
}

TEST_CASE("The error for a malformed job names the invalid field")
{
    CHECK(subjectOf("{") == "body");
    CHECK(subjectOf("[1]") == "body");
    CHECK(subjectOf("{}") == "job_id");
    CHECK(subjectOf(R"({"job_id":7})") == "job_id");
    CHECK(subjectOf(R"({"job_id":"j","colour":1})") == "colour");
    CHECK(subjectOf(jobWithTasks("[]")) == "tasks");
    CHECK(subjectOf(jobWithTasks("{}")) == "tasks");
    CHECK(subjectOf(jobWithTasks("[{}]")) == "tasks[0].task_id");
    CHECK(subjectOf(jobWithTasks(R"([{"task_id":"a"},{"task_id":"a"}])")) == "tasks[1].task_id");
    CHECK(subjectOf(jobWithTasks(R"([{"task_id":"a","expected_ms":-1}])")) == "tasks[0].expected_ms");
    CHECK(subjectOf(jobWithTasks(R"([{"task_id":"a","expected_ms":99999999999999999999}])")) == "tasks[0].expected_ms");
    CHECK(subjectOf(jobWithTasks(R"([{"task_id":"a","needs":{"cpus":"two"}}])")) == "tasks[0].needs.cpus");
    CHECK(subjectOf(jobWithTasks(R"([{"task_id":"a","idempotent":1}])")) == "tasks[0].idempotent");
}

TEST_CASE("A job that exceeds a limit is rejected as too large")
{
    std::string tasks = "[";
    for (int index = 0; index < 271; ++index) {
        absl::StrAppend(&tasks, index == 0 ? "" : ",", R"({"task_id":"t)", index, "\"}");
    }
    try {
        parseJob(jobWithTasks(tasks + "]"), JobLimits());
        FAIL("the job was accepted");
    } catch (const Error &error) {
        CHECK(error.kind() == ErrorKind::TooLarge);
    }
    JobLimits limits;
    limits.maxBodyBytes = 10;
    CHECK_THROWS_AS(parseJob(jobWithTasks("[]"), limits), Error);
}
