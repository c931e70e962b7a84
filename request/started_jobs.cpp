#include "request/started_jobs.h"

namespace marjoramferry {

namespace {

/** Callers seldom send a job again after a longer time. */
constexpr Milliseconds RetentionTime{60'000};
constexpr size_t MaxJobs = 4096;

} // namespace

void StartedJobs::add(const std::string &jobId, MonotonicTime now)
{
    forgetOld(now);
    byTime_.emplace_back(now, jobId);
    ids_.insert(jobId);
}

bool StartedJobs::contains(const std::string &jobId, MonotonicTime now)
{
    forgetOld(now);
    return ids_.contains(jobId);
}

void StartedJobs::forgetOld(MonotonicTime now)
{
    while (!byTime_.empty() && (byTime_.size() >= MaxJobs || now - byTime_.front().first > RetentionTime)) {
        ids_.erase(ids_.find(byTime_.front().second));
        byTime_.pop_front();
    }
}

} // namespace marjoramferry
