#include "request/answer_cache.h"

#include "request/admission.h"

#include <algorithm>
#include <ranges>

namespace marjoramferry {

namespace {

/** What an answer takes in memory, near enough to bound it. */
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
    // An empty braced list would keep the capacity.
    run.waiters = std::vector<Waiter>();
    if (std::ranges::any_of(run.tasks, &TaskRun::occupiesSlot)) {
        // Their ends are still to be counted.
        std::ranges::for_each(run.job.tasks, [](wire::Task &task) { task.payload = std::string(); });
        return;
    }
    run.tasks = std::vector<TaskRun>();
    run.job.tasks = std::vector<wire::Task>();
}

} // namespace

wire::JobAnswer droppedAnswer(const wire::Job &job)
{
    wire::JobAnswer answer;
    answer.jobId = job.jobId;
    answer.errorKind = "output_dropped";
    answer.errorMessage = "every task ran, but outputs are no longer held; don't submit the work again";
    answer.tasks = uniformResults(job, wire::Ran::YES);
    return answer;
}

AnswerCache::AnswerCache(Milliseconds kept, size_t maxBytes)
    : kept_(kept)
    , maxBytes_(maxBytes)
{
}

void AnswerCache::add(const JobRunPtr &run)
{
    releaseMemory(*run);
    ended_.push_back(run);
    if (run->answer.kind == wire::AnswerKind::COMPLETE) {
        whole_.push_back(run);
    }
    bytes_ += bytesOf(run->answer);
    dropOutputs();
}

void AnswerCache::removeShard(int shard)
{
    const auto isGone = [&](const JobRunPtr &run) { return run->shard == shard; };
    for (const JobRunPtr &run : ended_ | std::views::filter(isGone)) {
        forget(*run);
    }
    std::erase_if(ended_, isGone);
    std::erase_if(whole_, isGone);
}

std::vector<std::string> AnswerCache::expire(MonotonicTime now)
{
    std::vector<std::string> ids;
    while (!ended_.empty() && ended_.front()->endedAt + kept_ < now) {
        const JobRunPtr run = ended_.front();
        ended_.pop_front();
        if (!whole_.empty() && whole_.front() == run) {
            whole_.pop_front();
        }
        forget(*run);
        ids.push_back(run->job.jobId);
    }
    return ids;
}

void AnswerCache::dropOutputs()
{
    while (bytes_ > maxBytes_ && !whole_.empty()) {
        const JobRunPtr run = whole_.front();
        whole_.pop_front();
        forget(*run);
        run->answer = wire::JobAnswer();
        run->answerDropped = true;
    }
}

void AnswerCache::forget(const JobRun &run)
{
    bytes_ -= bytesOf(run.answer);
}

} // namespace marjoramferry
