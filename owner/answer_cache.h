#pragma once

#include "core/time.h"
#include "owner/job_run.h"

#include <deque>
#include <string>
#include <vector>

namespace marjoramferry {

/** Makes the answer for a completed job whose outputs were dropped; @p job lists the tasks. */
wire::JobAnswer makeOutputDroppedAnswer(const wire::Job &job);

/**
 * Keeps the ended jobs of an owner, so that resubmitted jobs get the same answer.
 *
 * Jobs expire after a fixed time. Above a total size, outputs of complete answers are evicted, oldest
 * first; the remaining answer states that every task ran.
 */
class AnswerCache
{
public:
    AnswerCache(Milliseconds retention, size_t maxBytes);

    /** Adds a job that has just ended and frees the memory that only running jobs need. */
    void add(const JobRunPtr &run);

    /** Removes the jobs of a shard. */
    void removeShard(int shard);

    /** Removes expired jobs and returns their ids. */
    std::vector<std::string> expire(MonotonicTime now);

private:
    void evictOutputs();
    void subtractBytes(const JobRun &run);

    const Milliseconds retention_;
    const size_t maxBytes_;
    std::deque<JobRunPtr> ended_; ///< In order of endedAt.
    std::deque<JobRunPtr> withOutputs_; ///< Complete jobs with outputs, in order of endedAt.
    size_t bytes_ = 0;
};

} // namespace marjoramferry
