#include "request/crash_warnings.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <set>

namespace marjoramferry {

namespace {

constexpr Milliseconds JobsHalfLife{10'000};
constexpr Milliseconds ScoreHalfLife{3000};
/** Workers that crash within this time of each other count as one crash. */
constexpr Milliseconds SimultaneousTime{100};
/** Probability that no further job starts on the worker between a task that crashes it and the crash. */
constexpr double LastStartProbability = 0.5;
/** Crashes that follow each other within this time hardly happen by chance: some queue is the cause. */
constexpr Milliseconds RepetitionTime{2000};
/** Change of the score of the likeliest queue at a crash that follows another. */
constexpr double RepetitionScore = 1;
/** Bounds the evidence of one crash: any queue with few jobs has one of them start last at times. */
constexpr double MaxChange = 1;
/** Change of the score if a worker crashes without a run of the queue. */
constexpr double AbsenceScore = -2;
/** The same if a queue under a warning had a run there: both may crash workers. */
constexpr double ExplainedAbsenceScore = -0.5;
/** A queue is under a warning from the first score, and cleared below the second. */
constexpr double WarningScore = 0.5;
constexpr double ClearedScore = 0.35;
constexpr double MaxScore = 3;
constexpr double MinScore = -2;
/** Lower bound of a queue's share of all jobs, so that its likelihood is defined. */
constexpr double MinShare = 0.01;

/** Number of distinct jobs that started on the worker after the youngest run of the queue; -1 if it had no run. */
int countLaterJobs(const wire::WorkerCrash &crash, const std::string &queue)
{
    int youngestMs = std::numeric_limits<int>::max();
    for (const wire::CrashedRun &run : crash.runs) {
        youngestMs = run.queue == queue ? std::min(youngestMs, run.ageMs) : youngestMs;
    }
    if (youngestMs == std::numeric_limits<int>::max()) {
        return -1;
    }
    std::set<std::string> laterJobs;
    for (const wire::CrashedRun &run : crash.runs) {
        if (run.ageMs < youngestMs && run.queue != queue) {
            laterJobs.insert(run.jobId);
        }
    }
    return static_cast<int>(laterJobs.size());
}

/**
 * Logarithm of the likelihood that a run of a queue with this share of all jobs was the cause, relative to that it was
 * a bystander. The number of later jobs is geometric under either hypothesis. Later jobs never speak for the cause.
 */
double logLikelihood(int laterJobs, double share)
{
    const double ifLast = std::min(std::log(LastStartProbability / share), MaxChange);
    const double perLaterJob = std::log((1 - LastStartProbability) / (1 - std::min(share, LastStartProbability)));
    return ifLast + laterJobs * perLaterJob;
}

} // namespace

CrashWarnings::CrashWarnings()
    : scores_(QueueScoreLimits{ScoreHalfLife, WarningScore, ClearedScore, MinScore, MaxScore})
{
}

void CrashWarnings::recordJob(const std::string &queue, MonotonicTime now)
{
    jobs_.try_emplace(queue, JobsHalfLife).first->second.add(1, now);
}

double CrashWarnings::shareOfJobs(const std::string &queue, MonotonicTime now) const
{
    double all = 0;
    for (const auto &[name, jobs] : jobs_) {
        all += jobs.at(now);
    }
    const auto found = jobs_.find(queue);
    const double share = found == jobs_.end() || all <= 0 ? 0 : found->second.at(now) / all;
    return std::clamp(share, MinShare, 1.0);
}

void CrashWarnings::recordCrash(const wire::WorkerCrash &crash, bool isForWarned, MonotonicTime now)
{
    const MonotonicTime crashedAt = now - Milliseconds(crash.agoMs);
    const bool isSimultaneous
        = crashedAt - lastCrashAt_ < SimultaneousTime && lastCrashAt_ - crashedAt < SimultaneousTime;
    const bool isRepeated = crashedAt - lastCrashAt_ < RepetitionTime;
    lastCrashAt_ = std::max(lastCrashAt_, crashedAt);
    if (isSimultaneous) {
        return;
    }
    std::set<std::string> candidates;
    std::ranges::for_each(jobs_, [&](const auto &each) { candidates.insert(each.first); });
    std::ranges::for_each(crash.runs, [&](const wire::CrashedRun &run) { candidates.insert(run.queue); });
    const bool isExplained
        = std::ranges::any_of(crash.runs, [this](const wire::CrashedRun &run) { return queues().contains(run.queue); });
    std::map<std::string, double> changes;
    for (const std::string &queue : candidates) {
        const int laterJobs = countLaterJobs(crash, queue);
        const bool isWarned = queues().contains(queue);
        if (laterJobs < 0 && isWarned != isForWarned) {
            continue; // The queue does not use this worker, so the crash says nothing about it.
        }
        if (laterJobs >= 0 && isExplained && !isWarned) {
            continue; // A task of a queue under a warning is the more likely cause.
        }
        const double absence = isExplained ? ExplainedAbsenceScore : AbsenceScore;
        changes[queue] = laterJobs < 0 ? absence : logLikelihood(laterJobs, shareOfJobs(queue, now));
    }
    const auto changedScore = [&](const auto &each) { return scores_.at(each.first, crashedAt) + each.second; };
    if (isRepeated && !changes.empty()) {
        std::ranges::max_element(changes, {}, changedScore)->second += RepetitionScore;
    }
    for (const auto &each : changes) {
        scores_.set(each.first, changedScore(each), crashedAt);
    }
    scores_.markHighest(jobs_.size(), now);
}

void CrashWarnings::update(MonotonicTime now)
{
    scores_.update(now);
}

} // namespace marjoramferry
