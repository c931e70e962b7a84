#include "benchmarks/load_plan.h"

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <numeric>
#include <random>

namespace marjoramferry::bench {

namespace {

class LoadGenerator
{
public:
    explicit LoadGenerator(const LoadShape &shape)
        : shape_(shape)
        , random_(shape.seed)
    {
    }

    PlannedTask nextTask()
    {
        PlannedTask task;
        if (shape_.longestMs == 0) {
            return task;
        }
        const double logMin = std::log(std::max(1, shape_.shortestMs));
        const double logMax = std::log(std::max(1, shape_.longestMs));
        const double runMs
            = std::exp(std::uniform_real_distribution<double>(logMin, std::max(logMin, logMax))(random_));
        constexpr double LongTaskFactor = 4;
        const bool isLong = std::bernoulli_distribution(shape_.longShare)(random_);
        task.runMs = static_cast<int>(isLong ? shape_.longestMs * LongTaskFactor : runMs);
        const double logError = std::log(std::max(1.0, shape_.declaredError));
        const double factor = std::exp(std::uniform_real_distribution<double>(-logError, logError)(random_));
        task.declaredMs = static_cast<int>(task.runMs * factor);
        return task;
    }

    int nextTaskCount()
    {
        return std::uniform_int_distribution<int>(shape_.fewestTasks, shape_.mostTasks)(random_);
    }

    Microseconds nextInterval()
    {
        if (std::bernoulli_distribution(shape_.burstShare)(random_)) {
            return Microseconds(0);
        }
        const double rate = shape_.jobsPerSecond * (1 - shape_.burstShare);
        const double seconds = std::exponential_distribution<double>(rate)(random_);
        return Microseconds(static_cast<int64_t>(seconds * 1e6));
    }

private:
    const LoadShape &shape_;
    std::mt19937_64 random_;
};

} // namespace

std::string PlannedJob::toJson(const LoadShape &shape) const
{
    nlohmann::json body = {{"job_id", id},
                           {"tenant", shape.tenant},
                           {"service", shape.service},
                           {"deadline_ms", shape.deadlineMs},
                           {"tasks", nlohmann::json::array()}};
    for (size_t index = 0; index < tasks.size(); ++index) {
        body["tasks"].push_back({{"task_id", absl::StrCat("t", index)},
                                 {"expected_ms", tasks[index].declaredMs},
                                 {"payload", {{"sleep_ms", tasks[index].runMs}, {"echo", index}}}});
    }
    return body.dump();
}

std::vector<PlannedJob> planLoad(const LoadShape &shape)
{
    LoadGenerator generator(shape);
    std::vector<PlannedJob> jobs;
    Microseconds now{0};
    while (now < std::chrono::seconds(shape.seconds)) {
        PlannedJob job;
        job.id = absl::StrCat(shape.prefix, "-", shape.seed, "-", jobs.size());
        job.arrival = now;
        job.tasks.resize(static_cast<size_t>(generator.nextTaskCount()));
        std::ranges::generate(job.tasks, [&] { return generator.nextTask(); });
        jobs.push_back(std::move(job));
        now += generator.nextInterval();
    }
    return jobs;
}

double meanTaskMs(const LoadShape &shape)
{
    constexpr int SampleSize = 100'000;
    LoadGenerator generator(shape);
    double sum = 0;
    for (int sample = 0; sample < SampleSize; ++sample) {
        sum += generator.nextTask().runMs;
    }
    return sum / SampleSize;
}

} // namespace marjoramferry::bench
