#include "benchmarks/load_run.h"

#include "connection/http_client.h"

#include <absl/synchronization/mutex.h>
#include <nlohmann/json.hpp>

#include <thread>

namespace marjoramferry::bench {

namespace {

constexpr long ConnectionsPerEntry = 2000;
constexpr Milliseconds AnswerGrace{5000};

std::string kindOf(const HttpResult &result)
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

class Run
{
public:
    Run(const std::vector<PlannedJob> &jobs, const LoadShape &shape, const std::vector<std::string> &entries)
        : jobs_(jobs)
        , shape_(shape)
        , entries_(entries)
        , outcomes_(jobs.size())
        , client_(ConnectionsPerEntry)
        , startedAt_(std::chrono::steady_clock::now())
    {
    }

    std::vector<JobOutcome> openLoop()
    {
        for (size_t index = 0; index < jobs_.size(); ++index) {
            std::this_thread::sleep_until(startedAt_ + jobs_[index].arrival);
            submit(index, startedAt_ + jobs_[index].arrival);
        }
        return waitForAll();
    }

    std::vector<JobOutcome> closedLoop(int inFlight)
    {
        for (size_t index = 0; index < jobs_.size(); ++index) {
            waitUntilBelow(inFlight);
            submit(index, std::chrono::steady_clock::now());
        }
        return waitForAll();
    }

private:
    void submit(size_t index, MonotonicTime since)
    {
        HttpCall call;
        call.url = "http://" + entries_[index % entries_.size()] + "/v1/jobs";
        call.body = jobs_[index].body(shape_);
        call.timeout = Milliseconds(shape_.deadlineMs) + AnswerGrace;
        {
            absl::MutexLock lock(&mutex_);
            ++open_;
        }
        client_.call(std::move(call), [this, index, since](const HttpResult &result) {
            const auto now = std::chrono::steady_clock::now();
            JobOutcome outcome;
            outcome.responseMs = std::chrono::duration<double, std::milli>(now - since).count();
            outcome.endedAt = std::chrono::duration_cast<Microseconds>(now - startedAt_);
            outcome.tasks = static_cast<int>(jobs_[index].tasks.size());
            outcome.kind = kindOf(result);
            absl::MutexLock lock(&mutex_);
            outcomes_[index] = outcome;
            --open_;
        });
    }

    void waitUntilBelow(int limit)
    {
        absl::MutexLock lock(&mutex_);
        limit_ = limit;
        mutex_.Await(absl::Condition(this, &Run::isBelowLimit));
    }

    std::vector<JobOutcome> waitForAll()
    {
        waitUntilBelow(1);
        absl::MutexLock lock(&mutex_);
        return outcomes_;
    }

    bool isBelowLimit() const
    {
        return open_ < limit_;
    }

    const std::vector<PlannedJob> &jobs_;
    const LoadShape &shape_;
    const std::vector<std::string> &entries_;
    absl::Mutex mutex_;
    std::vector<JobOutcome> outcomes_;
    int open_ = 0;
    int limit_ = 0;
    HttpClient client_;
    const MonotonicTime startedAt_;
};

} // namespace

std::vector<JobOutcome>
runOpenLoop(const std::vector<PlannedJob> &jobs, const LoadShape &shape, const std::vector<std::string> &entries)
{
    return Run(jobs, shape, entries).openLoop();
}

std::vector<JobOutcome> runClosedLoop(const std::vector<PlannedJob> &jobs,
                                      const LoadShape &shape,
                                      const std::vector<std::string> &entries,
                                      int inFlight)
{
    return Run(jobs, shape, entries).closedLoop(inFlight);
}

} // namespace marjoramferry::bench
