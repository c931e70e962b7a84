#include "benchmarks/load_run.h"

#include "connection/http_client.h"

#include <absl/synchronization/mutex.h>
#include <nlohmann/json.hpp>

#include <thread>

namespace marjoramferry::bench {

namespace {

constexpr long ConnectionsPerEntry = 2000;
constexpr Milliseconds AnswerMargin{5000};

std::string outcomeKindOf(const HttpResult &result)
{
    if (result.outcome != HttpOutcome::Answered) {
        return "no_answer";
    }
    const nlohmann::json body = nlohmann::json::parse(result.body, nullptr, false);
    if (!body.is_object()) {
        return "unreadable";
    }
    if (body.value("status", "") == "complete") {
        return "complete";
    }
    return body.contains("error") ? body["error"].value("kind", "unnamed") : "unnamed";
}

class LoadRun
{
public:
    LoadRun(const std::vector<PlannedJob> &jobs, const LoadShape &shape, const std::vector<std::string> &entries)
        : jobs_(jobs)
        , shape_(shape)
        , entries_(entries)
        , outcomes_(jobs.size())
        , client_(ConnectionsPerEntry)
        , startTime_(std::chrono::steady_clock::now())
    {
    }

    std::vector<JobOutcome> runOpenLoop()
    {
        for (size_t index = 0; index < jobs_.size(); ++index) {
            std::this_thread::sleep_until(startTime_ + jobs_[index].arrival);
            submit(index, startTime_ + jobs_[index].arrival);
        }
        return waitForAll();
    }

    std::vector<JobOutcome> runClosedLoop(int inFlight)
    {
        for (size_t index = 0; index < jobs_.size(); ++index) {
            waitForInFlightBelow(inFlight);
            submit(index, std::chrono::steady_clock::now());
        }
        return waitForAll();
    }

private:
    void submit(size_t index, MonotonicTime referenceTime)
    {
        HttpCall call;
        call.url = "http://" + entries_[index % entries_.size()] + "/v1/jobs";
        call.body = jobs_[index].toJson(shape_);
        call.timeout = Milliseconds(shape_.deadlineMs) + AnswerMargin;
        {
            absl::MutexLock lock(&mutex_);
            ++inFlight_;
        }
        client_.call(std::move(call), [this, index, referenceTime](const HttpResult &result) {
            const auto now = std::chrono::steady_clock::now();
            JobOutcome outcome;
            outcome.responseMs = std::chrono::duration<double, std::milli>(now - referenceTime).count();
            outcome.endTime = std::chrono::duration_cast<Microseconds>(now - startTime_);
            outcome.tasks = static_cast<int>(jobs_[index].tasks.size());
            outcome.kind = outcomeKindOf(result);
            absl::MutexLock lock(&mutex_);
            outcomes_[index] = outcome;
            --inFlight_;
        });
    }

    void waitForInFlightBelow(int limit)
    {
        absl::MutexLock lock(&mutex_);
        inFlightLimit_ = limit;
        mutex_.Await(absl::Condition(this, &LoadRun::isBelowLimit));
    }

    std::vector<JobOutcome> waitForAll()
    {
        waitForInFlightBelow(1);
        absl::MutexLock lock(&mutex_);
        return outcomes_;
    }

    bool isBelowLimit() const
    {
        return inFlight_ < inFlightLimit_;
    }

    const std::vector<PlannedJob> &jobs_;
    const LoadShape &shape_;
    const std::vector<std::string> &entries_;
    absl::Mutex mutex_;
    std::vector<JobOutcome> outcomes_;
    int inFlight_ = 0;
    int inFlightLimit_ = 0;
    HttpClient client_;
    const MonotonicTime startTime_;
};

} // namespace

std::vector<JobOutcome>
runOpenLoop(const std::vector<PlannedJob> &jobs, const LoadShape &shape, const std::vector<std::string> &entries)
{
    return LoadRun(jobs, shape, entries).runOpenLoop();
}

std::vector<JobOutcome> runClosedLoop(const std::vector<PlannedJob> &jobs,
                                      const LoadShape &shape,
                                      const std::vector<std::string> &entries,
                                      int inFlight)
{
    return LoadRun(jobs, shape, entries).runClosedLoop(inFlight);
}

} // namespace marjoramferry::bench
