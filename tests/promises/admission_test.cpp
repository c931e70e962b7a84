#include "tests/support/queue_load.h"
#include "tests/support/work_simulation.h"

#include <absl/strings/str_join.h>
#include <catch2/catch.hpp>

#include <algorithm>
#include <cstdio>

using namespace marjoramferry;
using namespace marjoramferry::testing;

namespace {

constexpr Milliseconds WarmUp{500};
constexpr Milliseconds LoadDuration{9000};
constexpr Milliseconds SettlingTime{5000};
constexpr Milliseconds BurstFrom{2500};
constexpr Milliseconds BurstTo{7000};
constexpr double BurstFactor = 2.4;
constexpr double NormalLoad = 0.8;
constexpr int WorkerCpuMillis = 64'000;
constexpr int WorkersPerEntry = 4;
/** A rejection within this time after the arrival is immediate. */
constexpr Milliseconds ImmediateTime{50};

struct Rejections
{
    int all = 0;
    int immediate = 0;
    int besideFreeWorker = 0; ///< While a worker had had room for a task of the job for WorkerIdleTime.
};

SimulationOptions deployment(int entries, bool hasAdmission, uint64_t seed)
{
    SimulationOptions options;
    options.entries = entries;
    options.agents = entries * WorkersPerEntry;
    options.domains = 3;
    options.capacityCpuMillis = WorkerCpuMillis;
    options.speedFactors = {0.8, 1, 1.25, 1};
    options.admission = hasAdmission;
    options.seed = seed;
    return options;
}

/** The load of all queues, with a burst of the lowest priority. */
std::vector<QueueLoad> loadWithBurst(int workers)
{
    std::vector<QueueLoad> loads = steadyLoad(workers * WorkerCpuMillis / 1000.0, NormalLoad, LoadDuration);
    QueueLoad burst = loads.back();
    burst.jobsPerSecond *= BurstFactor - 1;
    burst.from = BurstFrom;
    burst.to = BurstTo;
    loads.push_back(burst);
    return loads;
}

/** Demand of the runs on each worker, in thousandths of a core, by the millisecond since @p begin. */
std::vector<std::vector<int>> usageByMillisecond(WorkSimulation &simulation, int workers, MonotonicTime begin)
{
    std::map<std::string, int> demands;
    for (const CallRecord &call : simulation.calls()) {
        demands[call.job.id] = call.job.cpuMillis;
    }
    const auto length = static_cast<size_t>(millisecondsBetween(begin, simulation.now())) + 1;
    std::vector<std::vector<int>> usage(static_cast<size_t>(workers), std::vector<int>(length));
    for (int worker = 0; worker < workers; ++worker) {
        std::vector<int> &each = usage.at(static_cast<size_t>(worker));
        for (const RunInterval &run : simulation.worker(worker).history()) {
            each.at(static_cast<size_t>(millisecondsBetween(begin, run.from))) += demands.at(run.key.jobId);
            each.at(static_cast<size_t>(millisecondsBetween(begin, run.to))) -= demands.at(run.key.jobId);
        }
        std::partial_sum(each.begin(), each.end(), each.begin());
    }
    return usage;
}

Rejections countRejections(WorkSimulation &simulation, int workers, MonotonicTime begin)
{
    const std::vector<std::vector<int>> usage = usageByMillisecond(simulation, workers, begin);
    Rejections result;
    for (const CallRecord &call : simulation.calls()) {
        if (!call.response || call.response->status != ResponseStatus::Rejected) {
            continue;
        }
        const int at = millisecondsBetween(begin, call.respondedAt);
        const int idleMs = static_cast<int>(WorkerIdleTime.count());
        const bool isFree = at > idleMs && std::ranges::any_of(usage, [&](const std::vector<int> &each) {
                                const int used = *std::max_element(each.begin() + at - idleMs, each.begin() + at);
                                return used + call.job.cpuMillis <= WorkerCpuMillis;
                            });
        ++result.all;
        result.immediate += call.respondedAt - call.sentAt <= ImmediateTime ? 1 : 0;
        result.besideFreeWorker += isFree ? 1 : 0;
    }
    return result;
}

} // namespace

TEST_CASE("Figures of admission control", "[.admission-figures]")
{
    for (const int entries : {3, 9}) {
        for (const bool hasAdmission : {false, true}) {
            for (const uint64_t seed : {1, 2, 3}) {
                const SimulationOptions options = deployment(entries, hasAdmission, seed);
                WorkSimulation simulation(options);
                simulation.runFor(WarmUp);
                const MonotonicTime begin = simulation.now();
                submitLoad(simulation, loadWithBurst(options.agents), seed);
                simulation.runFor(LoadDuration + SettlingTime);
                CHECK(absl::StrJoin(simulation.violations(), "\n").empty());
                const Rejections rejections = countRejections(simulation, options.agents, begin);
                const auto share = [&](const std::string &queue) {
                    return simulation.onTimeShare(queue, begin + BurstFrom, begin + BurstTo);
                };
                std::map<std::string, std::pair<int, int>> rejectedBy;
                std::vector<int> delays;
                double value = 0;
                int inBurst = 0;
                for (const CallRecord &call : simulation.calls()) {
                    if (call.sentAt < begin + BurstFrom || call.sentAt > begin + BurstTo) {
                        continue;
                    }
                    ++inBurst;
                    auto &[rejected, other] = rejectedBy[call.job.queue];
                    if (!call.response || call.response->status != ResponseStatus::Complete) {
                        if (call.response && call.response->status == ResponseStatus::Rejected) {
                            ++rejected;
                            delays.push_back(millisecondsBetween(call.sentAt, call.respondedAt));
                        } else {
                            ++other;
                        }
                        continue;
                    }
                    const double objective = call.job.runMs * StretchFactor + 60;
                    const int took = millisecondsBetween(call.sentAt, call.respondedAt);
                    value += took <= objective ? 1 : took <= 3 * objective ? 0.2 : 0;
                }
                std::ranges::sort(delays);
                const auto delayAt = [&](double part) {
                    return delays.empty() ? 0 : delays.at(static_cast<size_t>(part * (delays.size() - 1)));
                };
                std::printf(
                    "%d entries, admission %d, seed %d: quote %.3f status %.3f survey %.3f, value %.3f, rejected %d, "
                    "immediate %.3f, beside free %d; rejected (other) q %d (%d) st %d (%d) su %d (%d); delay median %d "
                    "p90 %d max %d\n",
                    entries,
                    hasAdmission,
                    static_cast<int>(seed),
                    share("quote"),
                    share("status"),
                    share("survey"),
                    value / inBurst,
                    rejections.all,
                    static_cast<double>(rejections.immediate) / std::max(1, rejections.all),
                    rejections.besideFreeWorker,
                    rejectedBy["quote"].first,
                    rejectedBy["quote"].second,
                    rejectedBy["status"].first,
                    rejectedBy["status"].second,
                    rejectedBy["survey"].first,
                    rejectedBy["survey"].second,
                    delayAt(0.5),
                    delayAt(0.9),
                    delayAt(1));
                std::fflush(stdout);
            }
        }
    }
}
