#include "request/crash_suspicion.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace marjoramferry {

namespace {

constexpr Milliseconds ScoreHalfLife{8000};
/** Workers that crash within this time of each other hardly do so for their tasks. */
constexpr Milliseconds SimultaneousTime{100};
/** Likelihood ratio of a further worker that crashes in the same instant. */
constexpr double SimultaneousRatio = 0.9;
/** Share of the crashes that have another cause although the queue crashes workers. */
constexpr double OtherCauseShare = 0.15;
/** Age at the crash of a run that crashes its worker: a mixture of a gamma and an exponential distribution. */
constexpr double EarlyCrashShare = 0.85;
constexpr double EarlyCrashMs = 5;
constexpr double LaterCrashMs = 100;
/** Bounds the evidence of the crashes of one instant. */
constexpr double MaxChange = 2.5;
/** Change of a suspect's score if a worker that it does not use crashes, or one under another suspect's run. */
constexpr double OtherWorkerScore = -0.7;
/** Likelihood ratio of a crash of one of the workers that only suspects use, at most half of all. */
constexpr double GroupRatio = 2;
/** A queue becomes a suspect at the first score, and is cleared below the second. */
constexpr double SuspectScore = 2.4;
constexpr double ClearedScore = 1.8;
constexpr double MaxScore = 5;
constexpr double MinScore = -1;
/** Lower bound of a queue's share of the running work, so that its likelihood is defined. */
constexpr double MinShare = 0.02;
/** A worker has been up for as long as its oldest run, or for this long. */
constexpr double MinUptimeMs = 100;
/** Of a queue that this entry does not know. */
constexpr double AssumedRunTimeMs = 100;

/** Share of the crashing tasks that have crashed a worker before. */
constexpr double RepeatedShare = 0.4;
/** Bound of the share of runs that were on a crashed worker before, and the weight of a run in its average. */
constexpr double MinLostShare = 0.05;
constexpr double LostWeight = 0.02;
constexpr size_t MaxLostTasks = 4096;

std::tuple<std::string, int, int> taskOf(const wire::CrashedRun &run)
{
    return {run.jobId, run.stepIndex, run.taskIndex};
}

/** Probability density of the age of a run, in 1/ms, when it crashes its worker. */
double crashDensity(double ageMs)
{
    return EarlyCrashShare * ageMs / EarlyCrashMs / EarlyCrashMs * std::exp(-ageMs / EarlyCrashMs)
        + (1 - EarlyCrashShare) / LaterCrashMs * std::exp(-ageMs / LaterCrashMs);
}

} // namespace

CrashSuspicion::CrashSuspicion()
    : scores_(QueueScoreLimits{ScoreHalfLife, SuspectScore, ClearedScore, MinScore, MaxScore})
{
}

void CrashSuspicion::recordJob(const std::string &queue, double work, Milliseconds runTime, MonotonicTime now)
{
    Load &load = loads_[queue];
    load.jobs.add(1, now);
    load.work.add(work, now);
    load.runTimeMs.add(static_cast<double>(runTime.count()), now);
}

double CrashSuspicion::shareOfWork(const std::string &queue, bool isAmongSuspects, MonotonicTime now) const
{
    double all = 0;
    for (const auto &[name, load] : loads_) {
        all += !isAmongSuspects || suspects().contains(name) ? load.work.at(now) : 0;
    }
    const auto found = loads_.find(queue);
    const double share = found == loads_.end() || all <= 0 ? 0 : found->second.work.at(now) / all;
    return std::clamp(share, MinShare, 1.0);
}

double CrashSuspicion::meanRunTimeMs(const std::string &queue, MonotonicTime now) const
{
    const auto found = loads_.find(queue);
    const double jobs = found == loads_.end() ? 0 : found->second.jobs.at(now);
    return jobs > 0 ? std::max(1.0, found->second.runTimeMs.at(now) / jobs) : AssumedRunTimeMs;
}

/**
 * Likelihood of the runs on the worker if one of the queue crashed it, relative to a crash without a cause among them.
 *
 * Without a cause, each of n runs is one of the queue with its share s of the running work, and has any age up to its
 * run time R. As a cause, one of them is of the queue and its age has the density g. The ratio is the sum of
 * g(age) R / (n s) over the queue's runs. Its mean over crashes without a cause is 1 at most.
 */
double CrashSuspicion::likelihoodRatio(const wire::WorkerCrash &crash,
                                       const std::string &queue,
                                       bool isForSuspects,
                                       MonotonicTime now) const
{
    if (crash.runs.empty()) {
        return OtherCauseShare;
    }
    const int oldestMs = std::ranges::max(crash.runs, {}, &wire::CrashedRun::ageMs).ageMs;
    const double runTimeMs = std::min(meanRunTimeMs(queue, now), std::max(MinUptimeMs, static_cast<double>(oldestMs)));
    double sum = 0;
    for (const wire::CrashedRun &run : crash.runs) {
        if (run.queue == queue) {
            const double weight = lostTasks_.contains(taskOf(run)) ? RepeatedShare / shareOfLost_
                                                                   : (1 - RepeatedShare) / (1 - shareOfLost_);
            sum += weight * crashDensity(std::max(run.ageMs, 0)) * runTimeMs;
        }
    }
    const auto runs = static_cast<double>(crash.runs.size());
    return (1 - OtherCauseShare) * sum / runs / shareOfWork(queue, isForSuspects, now) + OtherCauseShare;
}

void CrashSuspicion::recordCrash(const wire::WorkerCrash &crash, bool isForSuspects, MonotonicTime now)
{
    const MonotonicTime crashedAt = now - Milliseconds(crash.agoMs);
    const bool isSimultaneous
        = crashedAt - lastCrashAt_ < SimultaneousTime && lastCrashAt_ - crashedAt < SimultaneousTime;
    lastCrashAt_ = std::max(lastCrashAt_, crashedAt);
    std::set<std::string> queues;
    std::ranges::for_each(loads_, [&](const auto &each) { queues.insert(each.first); });
    std::ranges::for_each(crash.runs, [&](const wire::CrashedRun &run) { queues.insert(run.queue); });
    const auto hasRun = [&](const std::string &queue) {
        return std::ranges::any_of(crash.runs, [&](const wire::CrashedRun &run) { return run.queue == queue; });
    };
    const bool isExplained = std::ranges::any_of(suspects(), hasRun);
    for (const std::string &queue : queues) {
        const bool isSuspect = suspects().contains(queue);
        if (!hasRun(queue) && !isSuspect && isForSuspects) {
            continue; // The queue does not use this worker, so the crash says nothing about it.
        }
        if (hasRun(queue) && isExplained && !isSuspect) {
            continue; // A suspect's task is the more likely cause.
        }
        double change = std::log(likelihoodRatio(crash, queue, isForSuspects, now));
        if (!hasRun(queue) && isSuspect && (isExplained || !isForSuspects)) {
            change = OtherWorkerScore;
        } else if (!hasRun(queue) && isSuspect) {
            change = -MaxChange;
        } else if (hasRun(queue) && isSuspect && isForSuspects) {
            change += std::log(GroupRatio);
        }
        change += isSimultaneous ? std::log(SimultaneousRatio) : 0;
        double &before = scoresBefore_.try_emplace(queue, 0).first->second;
        before = isSimultaneous ? before : score(queue, crashedAt);
        const double changed = std::min(score(queue, crashedAt) + change, before + MaxChange);
        scores_.set(queue, changed, crashedAt);
    }
    for (const wire::CrashedRun &run : crash.runs) {
        const double isLost = lostTasks_.contains(taskOf(run)) ? 1 : 0;
        shareOfLost_ = std::clamp(shareOfLost_ + (isLost - shareOfLost_) * LostWeight, MinLostShare, 1 - MinLostShare);
    }
    if (lostTasks_.size() > MaxLostTasks) {
        lostTasks_.clear();
    }
    for (const wire::CrashedRun &run : crash.runs) {
        lostTasks_.insert(taskOf(run));
    }
    scores_.markHighest(loads_.size(), now);
}

void CrashSuspicion::update(MonotonicTime now)
{
    scores_.update(now);
}

} // namespace marjoramferry
