#include "owner/job_json.h"

#include "core/shard.h"
#include "version/json_fields.h"

#include <absl/container/flat_hash_set.h>
#include <absl/strings/str_cat.h>

#include <limits>

namespace marjoramferry {

using nlohmann::json;

namespace {

constexpr size_t MaxIdBytes = 128;
constexpr int MaxCpus = 4096;
constexpr int MaxAccelerators = 1024;
constexpr int DefaultDeadlineMs = 30'000;
constexpr int DefaultExpectedMs = 100;

wire::Needs parseNeeds(const json &task, const std::string &path)
{
    wire::Needs needs;
    const auto found = task.find("needs");
    if (found == task.end()) {
        return needs;
    }
    const std::string needsPath = path + ".needs";
    requireOnlyFields(*found, needsPath, {"cpus", "memory_mb", "accelerators"});
    needs.cpus = optionalInteger(*found, needsPath, "cpus", 0, 0, MaxCpus);
    needs.memoryMb = optionalInteger(*found, needsPath, "memory_mb", 0, 0, std::numeric_limits<int>::max() - 1);
    needs.accelerators = optionalInteger(*found, needsPath, "accelerators", 0, 0, MaxAccelerators);
    return needs;
}

wire::Task parseTask(const json &entry, const std::string &path, const JobLimits &limits)
{
    requireOnlyFields(entry, path, {"task_id", "payload", "idempotent", "expected_ms", "needs"});
    wire::Task task;
    task.taskId = requireString(entry, path, "task_id", MaxIdBytes);
    task.payload = entry.contains("payload") ? entry["payload"].dump() : "null";
    task.idempotent = optionalBool(entry, path, "idempotent", false);
    task.expectedMs = optionalInteger(entry, path, "expected_ms", DefaultExpectedMs, 0, limits.maxDeadlineMs);
    task.needs = parseNeeds(entry, path);
    return task;
}

std::vector<wire::Task> parseTasks(const json &body, const JobLimits &limits)
{
    const auto found = body.find("tasks");
    if (found == body.end() || !found->is_array() || found->empty()) {
        throw Error(ErrorKind::Malformed, "tasks", "is missing or empty", "provide an array of at least one task");
    }
    if (found->size() > limits.maxTasks) {
        throw Error(ErrorKind::TooLarge,
                    "tasks",
                    absl::StrCat("contains ", found->size(), " tasks"),
                    absl::StrCat("split the job; at most ", limits.maxTasks, " tasks are allowed"));
    }
    std::vector<wire::Task> tasks;
    absl::flat_hash_set<std::string> seen;
    for (const json &entry : *found) {
        const std::string path = absl::StrCat("tasks[", tasks.size(), "]");
        tasks.push_back(parseTask(entry, path, limits));
        if (!seen.insert(tasks.back().taskId).second) {
            throw Error(ErrorKind::Malformed, path + ".task_id", "is not unique", "give each task its own id");
        }
    }
    return tasks;
}

const char *ranName(wire::Ran::type ran)
{
    switch (ran) {
    case wire::Ran::NO:
        return "no";
    case wire::Ran::YES:
        return "yes";
    default:
        return "unknown";
    }
}

json renderTask(const wire::TaskResult &task, bool complete)
{
    if (!complete) {
        return {{"task_id", task.taskId}, {"ran", ranName(task.ran)}};
    }
    return {{"task_id", task.taskId}, {"output", json::parse(task.output, nullptr, false)}};
}

const char *statusName(wire::AnswerKind::type kind)
{
    switch (kind) {
    case wire::AnswerKind::COMPLETE:
        return "complete";
    case wire::AnswerKind::RUNNING:
        return "running";
    case wire::AnswerKind::UNKNOWN_JOB:
        return "unknown";
    default:
        return "failed";
    }
}

} // namespace

wire::Job parseJob(const std::string &body, const JobLimits &limits)
{
    if (body.size() > limits.maxBodyBytes) {
        throw Error(ErrorKind::TooLarge,
                    "body",
                    absl::StrCat("exceeds ", limits.maxBodyBytes, " bytes"),
                    "split the job or shorten its payloads");
    }
    const json parsed = parseJson(body, "body");
    requireOnlyFields(parsed, "", {"job_id", "tenant", "service", "deadline_ms", "tasks"});
    wire::Job job;
    job.jobId = requireString(parsed, "", "job_id", MaxIdBytes);
    job.tenant = requireString(parsed, "", "tenant", MaxIdBytes);
    job.serviceName = requireString(parsed, "", "service", MaxIdBytes);
    job.deadlineMs = optionalInteger(parsed, "", "deadline_ms", DefaultDeadlineMs, 1, limits.maxDeadlineMs);
    job.tasks = parseTasks(parsed, limits);
    job.fingerprint = fingerprintOf(parsed.dump());
    return job;
}

std::string renderAnswer(const wire::JobAnswer &answer)
{
    const bool complete = answer.kind == wire::AnswerKind::COMPLETE;
    json body = {{"job_id", answer.jobId}, {"status", statusName(answer.kind)}};
    if (!answer.errorKind.empty()) {
        body["error"]
            = {{"kind", answer.errorKind}, {"message", answer.errorMessage}, {"retry_after_ms", answer.retryAfterMs}};
    }
    if (!answer.tasks.empty()) {
        json tasks = json::array();
        for (const wire::TaskResult &task : answer.tasks) {
            tasks.push_back(renderTask(task, complete));
        }
        body["tasks"] = std::move(tasks);
    }
    return body.dump();
}

} // namespace marjoramferry
