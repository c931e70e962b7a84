#include "owner/job_answer.h"

#include "owner/admission.h"

#include <utility>

namespace marjoramferry {

namespace {

constexpr int StatusOk = 200;
constexpr int StatusConflict = 409;

wire::Ran::type ranStateOf(TaskPhase phase)
{
    switch (phase) {
    case TaskPhase::Waiting:
        return wire::Ran::NO;
    case TaskPhase::Running:
    case TaskPhase::Succeeded:
    case TaskPhase::Failed:
        return wire::Ran::YES;
    default:
        return wire::Ran::UNKNOWN;
    }
}

} // namespace

wire::JobAnswer makeCompleteAnswer(JobRun &run)
{
    wire::JobAnswer answer;
    answer.jobId = run.job.jobId;
    answer.kind = wire::AnswerKind::COMPLETE;
    answer.tasks.reserve(run.tasks.size());
    for (size_t index = 0; index < run.tasks.size(); ++index) {
        wire::TaskResult result;
        result.taskId = run.job.tasks[index].taskId;
        result.ran = wire::Ran::YES;
        result.output = std::move(run.tasks[index].output);
        answer.tasks.push_back(std::move(result));
    }
    return answer;
}

wire::JobAnswer makeFailureAnswer(const std::string &jobId, const char *kind, const std::string &message)
{
    wire::JobAnswer answer;
    answer.jobId = jobId;
    answer.httpStatus = StatusOk;
    answer.errorKind = kind;
    answer.errorMessage = message;
    answer.retryAfterMs = FailedRetryAfterMs;
    return answer;
}

wire::JobAnswer makeConflictAnswer(const wire::Job &job)
{
    wire::JobAnswer answer = makeNotRunAnswer(
        job, StatusConflict, "other_body", "job_id: already used by a job with another body; use a new job_id", 0);
    // The other body may use the same task ids, so the answer must not state whether they ran.
    answer.tasks.clear();
    return answer;
}

wire::JobAnswer makeAbsentAnswer(const std::string &jobId, bool isClaimed)
{
    wire::JobAnswer answer;
    answer.jobId = jobId;
    answer.kind = isClaimed ? wire::AnswerKind::RUNNING : wire::AnswerKind::UNKNOWN_JOB;
    answer.errorKind = isClaimed ? "owner_lost" : "not_found";
    answer.errorMessage = isClaimed ? "the job's owner was lost; submit the same body again to get its answer"
                                    : "no job with this id is known; submit the job or correct the id";
    return answer;
}

std::vector<wire::TaskResult> makeTaskResults(const JobRun &run)
{
    std::vector<wire::TaskResult> results;
    for (size_t index = 0; index < run.tasks.size(); ++index) {
        wire::TaskResult result;
        result.taskId = run.job.tasks[index].taskId;
        result.ran = ranStateOf(run.tasks[index].phase);
        results.push_back(std::move(result));
    }
    return results;
}

void markNotRunAsUnknown(wire::JobAnswer &answer)
{
    for (wire::TaskResult &task : answer.tasks) {
        task.ran = task.ran == wire::Ran::NO ? wire::Ran::UNKNOWN : task.ran;
    }
}

} // namespace marjoramferry
