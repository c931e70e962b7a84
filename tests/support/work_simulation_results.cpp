#include "tests/support/work_simulation.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <algorithm>

namespace marjoramferry::testing {

int WorkSimulation::completeCalls() const
{
    return static_cast<int>(std::ranges::count_if(
        calls_, [](const auto &call) { return call.response && call.response->status == ResponseStatus::Complete; }));
}

double WorkSimulation::onTimeShare(const std::string &queue) const
{
    return onTimeShare(queue, MonotonicTime::min(), MonotonicTime::max());
}

double WorkSimulation::onTimeShare(const std::string &queue, MonotonicTime from, MonotonicTime to) const
{
    int total = 0;
    int onTime = 0;
    for (const CallRecord &call : calls_) {
        const bool isSelected = queue.empty() || call.job.queue == queue;
        if (!isSelected || call.sentAt < from || call.sentAt > to) {
            continue;
        }
        ++total;
        const auto objective
            = std::chrono::duration_cast<Milliseconds>(Milliseconds(call.job.runMs) * StretchFactor) + TargetLatency;
        const bool isComplete = call.response && call.response->status == ResponseStatus::Complete;
        onTime += isComplete && call.respondedAt - call.sentAt <= objective ? 1 : 0;
    }
    return static_cast<double>(onTime) / std::max(1, total);
}

void WorkSimulation::recordDispatch(const LogEvent &event)
{
    const auto valueOf = [&](const std::string &key) {
        const auto field = std::ranges::find_if(event.fields, [&](const LogField &each) { return each.key == key; });
        return field == event.fields.end() ? std::string() : field->value;
    };
    if (event.event == "run_dispatched") {
        ++dispatches_;
        dispatchedTasks_ += valueOf("task").ends_with("/1") ? 1 : 0; // The first attempt.
    } else if (event.event == "run_not_completed" && valueOf("outcome") == "NOT_STARTED") {
        ++returnedDispatches_[valueOf("reason")];
    }
    if (event.event == "run_not_completed") {
        const std::vector<std::string> parts = absl::StrSplit(valueOf("task"), '/');
        const RunKey key{valueOf("job"), std::stoi(parts.at(0)), std::stoi(parts.at(1)), std::stoi(parts.at(2))};
        checkEnd(key, valueOf("worker"));
    }
}

/** Checks that no run of the task is on the worker that its agent has seen there; it ended the run @p key. */
void WorkSimulation::checkEnd(const RunKey &key, const std::string &worker)
{
    for (const UnsentRun &run : unsentRuns_) {
        const auto &process = workers_.at(static_cast<size_t>(run.agent));
        const bool isPresent = process && process->identity().startTimeMs == run.startTimeMs;
        const bool isSeen = run.seenAt <= now_ - NodeLatency; // Otherwise the agent has sent the end before.
        if (!run.key.isSameTask(key) || !isPresent || process->identity().id != worker || !isSeen) {
            continue;
        }
        process->advance(now_);
        const auto interval = std::ranges::find_if(
            process->history(), [&](const RunInterval &each) { return each.key == run.key && each.from == run.from; });
        if (interval->to > now_) {
            prematureEnds_.push_back(absl::StrCat(key.jobId,
                                                  "/",
                                                  key.task,
                                                  " was reported as ended on ",
                                                  worker,
                                                  " at ",
                                                  millisecondsBetween(MonotonicTime(), now_),
                                                  ", which had another run of it, seen at ",
                                                  millisecondsBetween(MonotonicTime(), run.seenAt)));
        }
    }
}

bool WorkSimulation::isUnsent(const RunInterval &run) const
{
    return std::ranges::any_of(unsentRuns_,
                               [&](const UnsentRun &each) { return each.key == run.key && each.from == run.from; });
}

Milliseconds WorkSimulation::longestRejectionDelay() const
{
    Milliseconds longest{0};
    for (const CallRecord &call : calls_) {
        if (call.response && call.response->status == ResponseStatus::Rejected) {
            longest = std::max(longest, std::chrono::duration_cast<Milliseconds>(call.respondedAt - call.sentAt));
        }
    }
    return longest;
}

std::vector<std::string> WorkSimulation::violations() const
{
    std::vector<std::string> failures = prematureEnds_;
    std::map<std::tuple<std::string, int, int>, std::vector<RunInterval>> tasks;
    const auto checkWorker = [&](const WorkerModel &model, int capacityCpuMillis) {
        if (model.peakCpuMillis() > capacityCpuMillis) {
            failures.push_back(absl::StrCat(model.identity().id,
                                            " exceeded its capacity: ",
                                            model.peakCpuMillis(),
                                            " thousandths of a core in use"));
        }
        for (const RunInterval &run : model.history()) {
            tasks[{run.key.jobId, run.key.step, run.key.task}].push_back(run);
        }
    };
    for (size_t i = 0; i < workers_.size(); ++i) {
        if (workers_[i]) {
            checkWorker(*workers_[i], capacityOf(static_cast<int>(i)));
        }
    }
    for (const auto &[agent, model] : deadWorkers_) {
        checkWorker(*model, capacityOf(agent));
    }
    std::map<std::string, MonotonicTime> firstStart;
    std::map<std::string, int> finishedTasks;
    for (auto &[task, runs] : tasks) {
        std::ranges::sort(runs, {}, &RunInterval::from);
        const std::string &job = std::get<0>(task);
        for (size_t i = 0; i < runs.size(); ++i) {
            const bool isTolerated
                = options_.toleratesUnsentRuns && i > 0 && (isUnsent(runs[i - 1]) || isUnsent(runs[i]));
            if (i > 0 && runs[i].from < runs[i - 1].to && !isTolerated) {
                failures.push_back(absl::StrCat(job,
                                                "/",
                                                std::get<2>(task),
                                                " ran twice at the same time, on ",
                                                runs[i - 1].worker,
                                                " from ",
                                                millisecondsBetween(MonotonicTime(), runs[i - 1].from),
                                                " and on ",
                                                runs[i].worker,
                                                " from ",
                                                millisecondsBetween(MonotonicTime(), runs[i].from)));
            }
        }
        finishedTasks[job] += std::ranges::any_of(runs, &RunInterval::hasSucceeded) ? 1 : 0;
        const bool isSent = std::ranges::any_of(runs, [&](const RunInterval &run) { return !isUnsent(run); });
        if (isSent || !options_.toleratesUnsentRuns) {
            const auto first = firstStart.try_emplace(job, runs.front().from);
            first.first->second = std::min(first.first->second, runs.front().from);
        }
    }
    for (const CallRecord &call : calls_) {
        const bool isUnanswered = !call.response && !call.isConnectionLost && !call.isAbandoned;
        if (isUnanswered) {
            failures.push_back(call.job.id + " received no response");
        }
        if (call.response && call.response->status == ResponseStatus::Complete
            && finishedTasks[call.job.id] < call.job.tasks) {
            failures.push_back(call.job.id + " was reported complete, but not all of its tasks finished");
        }
        const bool isRejected = call.response && call.response->status == ResponseStatus::Rejected;
        const auto started = firstStart.find(call.job.id);
        const bool isOnlyCall
            = std::ranges::count(calls_, call.job.id, [](const auto &each) { return each.job.id; }) == 1;
        if (isRejected && isOnlyCall && started != firstStart.end()) {
            failures.push_back(call.job.id + " was rejected, but one of its tasks had started");
        }
    }
    return failures;
}

} // namespace marjoramferry::testing
