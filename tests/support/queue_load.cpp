#include "tests/support/queue_load.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cmath>
#include <random>

namespace marjoramferry::testing {

namespace {

/** Log-normal sigma of task counts, run times and estimation errors. */
constexpr double Sigma = 0.4;
constexpr int CpuMillis = 6200;
constexpr double CpuSigma = 0.2;
constexpr int MaxTasks = 32;
constexpr Milliseconds MinDeadline{2100};
constexpr Milliseconds MaxDeadline{3300};

/** Job mix of the three queues; jobsPerSecond is the fraction of all arrivals. */
const std::vector<QueueLoad> JobMix{
    {"quote", 0.2446, {}, {}, 8, 60},
    {"status", 0.7110, {}, {}, 2, 200},
    {"survey", 0.0444, {}, {}, 4, 900},
};

double coreSecondsPerJob(const QueueLoad &load)
{
    return load.tasks * load.runMs / 1000.0 * CpuMillis / 1000.0;
}

} // namespace

std::vector<QueueLoad> steadyLoad(double cores, double utilization, Milliseconds duration)
{
    double coreSecondsPerArrival = 0;
    for (const QueueLoad &load : JobMix) {
        coreSecondsPerArrival += load.jobsPerSecond * coreSecondsPerJob(load);
    }
    std::vector<QueueLoad> loads = JobMix;
    for (QueueLoad &load : loads) {
        load.jobsPerSecond *= cores * utilization / coreSecondsPerArrival;
        load.to = duration;
    }
    return loads;
}

void submitLoad(WorkSimulation &simulation, const std::vector<QueueLoad> &loads, uint64_t seed)
{
    std::mt19937_64 random(seed);
    // The busiest entry receives about twice as many jobs as the least busy one.
    std::vector<double> entryWeights(static_cast<size_t>(simulation.entryCount()));
    std::ranges::generate(entryWeights,
                          [&, i = 0.0]() mutable { return 2 - i++ / static_cast<double>(entryWeights.size()); });
    std::discrete_distribution<int> entryOf(entryWeights.begin(), entryWeights.end());
    std::uniform_int_distribution<int64_t> deadline(MinDeadline.count(), MaxDeadline.count());
    // A log-normal distribution with mu = -sigma^2 / 2 has a mean of 1.
    std::lognormal_distribution<double> factor(-Sigma * Sigma / 2, Sigma);
    std::lognormal_distribution<double> cpuFactor(-CpuSigma * CpuSigma / 2, CpuSigma);
    int number = 0;
    for (const QueueLoad &load : loads) {
        std::exponential_distribution<double> interarrival(load.jobsPerSecond / 1000);
        for (double at = static_cast<double>(load.from.count()) + interarrival(random);
             at < static_cast<double>(load.to.count());
             at += interarrival(random)) {
            SimulatedJob job;
            job.id = absl::StrCat(load.queue, "-", ++number);
            job.queue = load.queue;
            job.tasks = std::clamp(static_cast<int>(std::lround(load.tasks * factor(random))), 1, MaxTasks);
            job.runMs = std::clamp(static_cast<int>(std::lround(load.runMs * factor(random))), 1, load.runMs * 9 / 5);
            job.estimateMs = std::max(1, static_cast<int>(std::lround(job.runMs * factor(random))));
            if (load.crashingShare > 0 && std::bernoulli_distribution(load.crashingShare)(random)) {
                job.crashingTask = std::uniform_int_distribution<int>(0, job.tasks - 1)(random);
            }
            job.cpuMillis = std::min(static_cast<int>(CpuMillis * cpuFactor(random)), CpuMillis * 3 / 2);
            const int entry = entryOf(random);
            // A deadline shorter than the run time on a slow worker would fail whatever the dispatcher does.
            const Milliseconds timeout(std::max<int64_t>(deadline(random), int64_t{2} * job.runMs));
            simulation.schedule(Milliseconds(std::lround(at)),
                                [=, &simulation] { simulation.submit(job, entry, timeout); });
        }
    }
}

} // namespace marjoramferry::testing
