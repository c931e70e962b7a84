#pragma once

#include "core/time.h"
#include "request/job_run.h"

#include <deque>
#include <string>
#include <vector>

namespace marjoramferry {

/** The answer to a complete job whose outputs are gone; @p job names the tasks. */
wire::JobAnswer droppedAnswer(const wire::Job &job);

/**
 * The ended jobs of an owner, for the callers that bring them again.
 *
 * They are kept for a fixed time. Complete answers beyond a number of bytes lose their outputs,
 * oldest first; what is left of such a job says that every task ran.
 */
class AnswerCache
{
public:
    AnswerCache(Milliseconds kept, size_t maxBytes);

    /** Takes in a job that has just ended, and frees what only a running job needs. */
    void add(const JobRunPtr &run);

    /** Forgets the jobs of a shard. */
    void removeShard(int shard);

    /** Forgets the jobs that are too old, and returns their ids. */
    std::vector<std::string> expire(MonotonicTime now);

private:
    void dropOutputs();
    void forget(const JobRun &run);

    const Milliseconds kept_;
    const size_t maxBytes_;
    std::deque<JobRunPtr> ended_; ///< By time of ending.
    std::deque<JobRunPtr> whole_; ///< Complete ones whose outputs are held, by time of ending.
    size_t bytes_ = 0;
};

} // namespace marjoramferry
