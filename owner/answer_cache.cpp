#include "owner/answer_cache.h"

#include "owner/admission.h"

#include <algorithm>
#include <ranges>

namespace marjoramferry {

namespace {

/** Approximate memory size of an answer. */
size_t bytesOf(const wire::JobAnswer &answer)
{
    size_t bytes = 0;
    for (const wire::TaskResult &task : answer.tasks) {
        bytes += sizeof(wire::TaskResult) + task.taskId.size() + task.output.size();
    }
    return bytes;
}

void releaseMemory(JobRun &run)
{
    // Assigning {} would keep the capacity.
    run.waiters = std::vector<Waiter>();
    if (std::ranges::any_of(run.tasks, &TaskRun::occupiesSlot)) {
        // The owner still has to count the end of these tasks, so only payloads are freed.
        std::ranges::for_each(run.job.tasks, [](wire::Task &task) { task.payload = std::string(); });
        return;
    }
    run.tasks = std::vector<TaskRun>();
    run.job.tasks = std::vector<wire::Task>();
}

} // namespace

wire::JobAnswer makeOutputDroppedAnswer(const wire::Job &job)
{
    wire::JobAnswer answer;
    answer.jobId = job.jobId;
    answer.errorKind = "output_dropped";
    answer.errorMessage = "every task ran, but the outputs are no longer stored; do not submit the job again";
    answer.tasks = makeUniformResults(job, wire::Ran::YES);
    return answer;
}

AnswerCache::AnswerCache(Milliseconds retention, size_t maxBytes)
    : retention_(retention)
    , maxBytes_(maxBytes)
{
}

void AnswerCache::add(const JobRunPtr &run)
{
    releaseMemory(*run);
    ended_.push_back(run);
    if (run->answer.kind == wire::AnswerKind::COMPLETE) {
        withOutputs_.push_back(run);
    }
    bytes_ += bytesOf(run->answer);
    evictOutputs();
}

void AnswerCache::removeShard(int shard)
{
    const auto isInShard = [&](const JobRunPtr &run) { return run->shard == shard; };
    for (const JobRunPtr &run : ended_ | std::views::filter(isInShard)) {
        subtractBytes(*run);
    }
    std::erase_if(ended_, isInShard);
    std::erase_if(withOutputs_, isInShard);
}

std::vector<std::string> AnswerCache::expire(MonotonicTime now)
{
    std::vector<std::string> ids;
    while (!ended_.empty() && ended_.front()->endedAt + retention_ < now) {
        const JobRunPtr run = ended_.front();
        ended_.pop_front();
        if (!withOutputs_.empty() && withOutputs_.front() == run) {
            withOutputs_.pop_front();
        }
        subtractBytes(*run);
        ids.push_back(run->job.jobId);
    }
    return ids;
}

void AnswerCache::evictOutputs()
{
    while (bytes_ > maxBytes_ && !withOutputs_.empty()) {
        const JobRunPtr run = withOutputs_.front();
        withOutputs_.pop_front();
        subtractBytes(*run);
        run->answer = wire::JobAnswer();
        run->outputsDropped = true;
    }
}

void AnswerCache::subtractBytes(const JobRun &run)
{
    bytes_ -= bytesOf(run.answer);
}

} // namespace marjoramferry
