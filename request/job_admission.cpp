#include "request/job_admission.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cmath>
#include <numbers>

namespace marjoramferry {

namespace {

/** A response should reach its caller this long before the caller's timeout. */
constexpr Milliseconds ResponseMargin{20};
/** An answer after this many times the objective is worth nothing to its caller. */
constexpr int UsefulObjectives = 3;
/** Share of the expected run time by which a job may end early; estimates are off by 40%, their means by less. */
constexpr double RunTimeError = 0.25;
/** Standard errors of the capacity that count in favour of an arriving job, and of one that was admitted before. */
constexpr double ArrivalErrors = 1;
/** The same for an arriving job of a queue that offers more than its share: the queue bears the cost of errors. */
constexpr double BurstErrors = 0.3;
constexpr double AdmittedErrors = 2;
/** Upper bound of an expected wait, far above any timeout. */
constexpr double MaxWaitMs = 3'600'000;
/** Share of the capacity that is left for returning callers in any case. */
constexpr double MinReturnShare = 0.1;

MonotonicTime earliestEnd(const JobNeeds &job, Milliseconds wait, MonotonicTime now)
{
    return now + wait + std::chrono::duration_cast<Milliseconds>(job.runTime * (1 - RunTimeError));
}

/** Whether a job that waits so long has the prospect. */
bool isInTimeFor(JobProspect prospect, const JobNeeds &job, Milliseconds wait, MonotonicTime now)
{
    switch (prospect) {
    case JobProspect::InTime:
    case JobProspect::InBurst:
    case JobProspect::BeyondShare:
        return now + wait <= job.latestStartAt;
    case JobProspect::Late:
        return earliestEnd(job, wait, now) <= std::min(job.usefulUntil, job.answerBy);
    case JobProspect::Leftover:
        return earliestEnd(job, wait, now) <= job.answerBy;
    case JobProspect::Hopeless:
        return true;
    }
    return true;
}

} // namespace

const char *jobProspectName(JobProspect prospect)
{
    switch (prospect) {
    case JobProspect::InTime:
        return "in_time";
    case JobProspect::Late:
        return "late";
    case JobProspect::InBurst:
        return "in_burst";
    case JobProspect::BeyondShare:
        return "beyond_share";
    case JobProspect::Leftover:
        return "leftover";
    case JobProspect::Hopeless:
        return "hopeless";
    }
    return "";
}

JobNeeds makeNeeds(const wire::Route &route,
                   int tasks,
                   double work,
                   Milliseconds runTime,
                   Milliseconds timeout,
                   double startMargin,
                   MonotonicTime now)
{
    const auto objective
        = std::chrono::duration_cast<Milliseconds>(runTime * route.stretch) + Milliseconds(route.targetLatencyMs);
    JobNeeds needs;
    needs.queue = route.name;
    needs.priority = route.priority;
    needs.tasks = tasks;
    needs.work = work;
    needs.runTime = runTime;
    needs.latestStartAt = now + objective - std::chrono::duration_cast<Milliseconds>(runTime * (1 + startMargin));
    needs.usefulUntil = now + objective * UsefulObjectives;
    needs.answerBy = now + timeout - ResponseMargin;
    needs.worthlessAt = needs.usefulUntil - runTime;
    return needs;
}

JobProspect prospectAt(JobProspect onArrival, const JobNeeds &job, MonotonicTime now)
{
    if (now <= job.latestStartAt) {
        return onArrival;
    }
    const bool isUseful = onArrival <= JobProspect::Late && now < job.worthlessAt;
    return isUseful ? JobProspect::Late : JobProspect::Leftover;
}

JobProspect JobAdmission::classify(const JobNeeds &job, const WorkAhead &workAhead, MonotonicTime now)
{
    shares_.recordOffered(job.queue, job.priority, job.work, now);
    const bool isBurst = shares_.isBeyondShare(job.queue, now);
    const bool isWithinShare = shares_.takeShare(job.queue, job.work, now);
    if (!shares_.isMeasured(now)) {
        recordAdmitted(job, JobProspect::InTime, now);
        return JobProspect::InTime;
    }
    std::vector<JobProspect> prospects{JobProspect::InTime, JobProspect::Late, JobProspect::Leftover};
    if (isBurst) {
        prospects = {isWithinShare ? JobProspect::InBurst : JobProspect::BeyondShare, JobProspect::Leftover};
    }
    Milliseconds wait{0};
    const auto found = std::ranges::find_if(prospects, [&](JobProspect prospect) {
        wait = expectedWait(job, prospect, workAhead(prospect), isBurst ? BurstErrors : ArrivalErrors, now);
        return isInTimeFor(prospect, job, wait, now);
    });
    const JobProspect prospect = found == prospects.end() ? JobProspect::Hopeless : *found;
    if (prospect != JobProspect::Hopeless) {
        recordAdmitted(job, prospect, now);
    }
    if (prospect != JobProspect::InTime) {
        const CapacityEstimate &capacity = shares_.capacity();
        out_.log(LogEvent::Level::Info,
                 "job_classified",
                 {{"job", job.job},
                  {"queue", job.queue},
                  {"prospect", jobProspectName(prospect)},
                  {"wait_ms", absl::StrCat(wait.count())},
                  {"capacity_cpu_millis", absl::StrCat(std::llround(capacity.rate()))},
                  {"capacity_error", absl::StrCat(std::llround(capacity.relativeError() * 100), "%")},
                  {"capacity_age_ms", absl::StrCat(millisecondsBetween(capacity.measuredAt(), now))},
                  {"share_cpu_millis", absl::StrCat(std::llround(shares_.shareOf(job.queue, now)))},
                  {"offered_cpu_millis", absl::StrCat(std::llround(shares_.offeredRate(job.queue, now)))}});
    }
    return prospect;
}

void JobAdmission::recordAdmitted(const JobNeeds &job, JobProspect prospect, MonotonicTime now)
{
    arrivals_.try_emplace({prospect, job.priority}, ArrivalHalfLife).first->second.add(job.work, now);
}

bool JobAdmission::isHopeless(const JobNeeds &job, JobProspect prospect, double workAhead, MonotonicTime now) const
{
    const Milliseconds wait
        = shares_.isMeasured(now) ? expectedWait(job, prospect, workAhead, AdmittedErrors, now) : Milliseconds(0);
    return earliestEnd(job, wait, now) > job.answerBy;
}

Milliseconds JobAdmission::expectedWait(
    const JobNeeds &job, JobProspect prospect, double workAhead, double errors, MonotonicTime now) const
{
    if (workAhead <= 0) {
        return Milliseconds(0);
    }
    const CapacityEstimate &capacity = shares_.capacity();
    const double left = std::max(0.0, capacity.rate() - precedingRate(prospect, job.priority, now))
        + errors * capacity.relativeError() * capacity.rate();
    const double workBeforeLastTask = job.work * (job.tasks - 1) / std::max(1, job.tasks);
    return Milliseconds(std::llround(std::min(MaxWaitMs, (workAhead + workBeforeLastTask) / left)));
}

/** Rate at which work arrives that is served before a waiting job with this prospect. */
double JobAdmission::precedingRate(JobProspect prospect, int priority, MonotonicTime now) const
{
    double work = 0;
    for (const auto &[key, arrived] : arrivals_) {
        const bool isMoreUrgent = key.first == prospect && prospect == JobProspect::InTime && key.second < priority;
        work += key.first < prospect || isMoreUrgent ? arrived.at(now) : 0;
    }
    return work * std::numbers::ln2 / static_cast<double>(ArrivalHalfLife.count());
}

Milliseconds JobAdmission::reserveReturn(const JobNeeds &job, double waitingWork, MonotonicTime now)
{
    const double rate = std::max(1.0, shares_.capacity().rate());
    const double left = std::max(rate * MinReturnShare, rate - shares_.normalRate(now));
    const Milliseconds earliest(std::llround(std::min(MaxWaitMs, waitingWork / rate)));
    const ReturnSchedule::Return found = returns_.reserve(job.priority, job.work, earliest, left, now);
    out_.log(LogEvent::Level::Info,
             "return_reserved",
             {{"job", job.job},
              {"queue", job.queue},
              {"delay_ms", absl::StrCat(found.delay.count())},
              {"waiting_ms", absl::StrCat(earliest.count())},
              {"reserved_ms", absl::StrCat(std::llround(std::min(MaxWaitMs, found.reservedWork / left)))}});
    return found.delay;
}

} // namespace marjoramferry
