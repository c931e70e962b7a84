#include "request/crash_suspicion.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <random>

using namespace marjoramferry;

namespace {

constexpr int WorkerCount = 12;
constexpr int DomainCount = 3;
constexpr int GroupSize = 4;
constexpr int DayMs = 30'000;
constexpr int FaultsFromMs = 5000;
constexpr int WorkerDowntimeMs = 800;
constexpr int LeaseMs = 740;
constexpr int SeriesIntervalMs = 700;
constexpr int SingleCrashIntervalMs = 250; ///< On average.
constexpr int Seeds = 20;

struct Queue
{
    double jobsPerSecond;
    int tasks;
    double runTimeMs;
};

/** One queue with most of the jobs, one with many short tasks, one with long runs and few jobs. */
const std::map<std::string, Queue> Queues{{"status", {100, 2, 200}}, {"quote", {34, 8, 60}}, {"report", {6, 4, 800}}};

enum class Crashes {
    None,
    Random, ///< A third of the workers at a time.
    Domain,
    Rack, ///< Three neighbours.
    Single, ///< At random times.
    Burst, ///< Random ones while one queue has three times its jobs.
};

struct Run
{
    std::string job;
    std::string queue;
    int task;
    int startMs;
    int endMs;
    int crashMs; ///< When the run crashes its worker.
    int lostRuns = 0;
};

struct DayResult
{
    int crashes = 0;
    int isolations = 0; ///< Of queues that crash nothing.
    int isolatedMs = 0; ///< Of these queues.
    int crashesUntilFound = 0; ///< Until the guilty queue is isolated.
    bool isFound = false;

    void add(const DayResult &other)
    {
        crashes += other.crashes;
        isolations += other.isolations;
        isolatedMs += other.isolatedMs;
        crashesUntilFound += other.crashesUntilFound;
    }
};

/** A day of jobs on a dozen workers in virtual time, as the entry that has all jobs sees it. */
class Day
{
public:
    Day(unsigned seed, Crashes crashes, std::string guilty, double guiltyShare)
        : random_(seed)
        , crashes_(crashes)
        , guilty_(std::move(guilty))
        , guiltyShare_(guiltyShare)
    {
    }

    DayResult play()
    {
        for (nowMs_ = 0; nowMs_ < DayMs; ++nowMs_) {
            submitJobs();
            startWaiting();
            endRuns();
            if (nowMs_ >= FaultsFromMs) {
                crashWorkers();
            }
            if (nowMs_ % 100 == 0) {
                suspicion_.update(now());
            }
            measure();
        }
        return result_;
    }

private:
    MonotonicTime now() const
    {
        return MonotonicTime(std::chrono::hours(1)) + Milliseconds(nowMs_);
    }

    double uniform()
    {
        return std::uniform_real_distribution<>(0, 1)(random_);
    }

    int pick(int count)
    {
        return std::uniform_int_distribution<>(0, count - 1)(random_);
    }

    void submitJobs()
    {
        const bool isBurst = crashes_ == Crashes::Burst && nowMs_ % 10'000 > 6000;
        for (const auto &[name, queue] : Queues) {
            const double rate = queue.jobsPerSecond * (isBurst && name == "status" ? 3 : 1);
            if (uniform() >= rate / 1000) {
                continue;
            }
            recordJob(name, queue);
            const bool isDeadly = nowMs_ >= FaultsFromMs && name == guilty_ && uniform() < guiltyShare_;
            const std::string job = "job-" + std::to_string(++lastJob_);
            const int deadlyTask = isDeadly ? pick(queue.tasks) : -1;
            for (int task = 0; task < queue.tasks; ++task) {
                const int crashAfterMs = task == deadlyTask ? 2 + pick(14) : DayMs;
                waiting_.emplace(nowMs_, Run{job, name, task, 0, 0, crashAfterMs});
            }
        }
    }

    void recordJob(const std::string &name, const Queue &queue)
    {
        const Milliseconds runTime(static_cast<int>(queue.runTimeMs));
        suspicion_.recordJob(name, queue.tasks * queue.runTimeMs, runTime, now());
    }

    void startWaiting()
    {
        while (!waiting_.empty() && waiting_.begin()->first <= nowMs_) {
            Run run = waiting_.begin()->second;
            waiting_.erase(waiting_.begin());
            const bool isSuspect = suspicion_.suspects().contains(run.queue);
            std::vector<int> usable;
            for (int worker = 0; worker < WorkerCount; ++worker) {
                const bool isOpen = suspicion_.suspects().empty() || isSuspect == (worker < GroupSize);
                if (isOpen && downUntilMs_[worker] <= nowMs_) {
                    usable.push_back(worker);
                }
            }
            if (usable.empty()) {
                continue;
            }
            const double spread = std::lognormal_distribution<>(-0.08, 0.4)(random_);
            run.startMs = nowMs_;
            run.endMs = nowMs_ + static_cast<int>(Queues.at(run.queue).runTimeMs * spread) + 1;
            const int crashAfterMs = run.crashMs;
            run.crashMs = crashAfterMs < DayMs ? nowMs_ + crashAfterMs : 2 * DayMs;
            runs_[usable[static_cast<size_t>(pick(static_cast<int>(usable.size())))]].push_back(run);
        }
    }

    void endRuns()
    {
        for (int worker = 0; worker < WorkerCount; ++worker) {
            const bool isCrash
                = std::ranges::any_of(runs_[worker], [this](const Run &run) { return run.crashMs <= nowMs_; });
            if (isCrash) {
                crash(worker);
            }
            std::erase_if(runs_[worker], [this](const Run &run) { return run.endMs <= nowMs_; });
        }
    }

    void crashWorkers()
    {
        const int sinceMs = nowMs_ - FaultsFromMs;
        const bool isDue
            = crashes_ == Crashes::Single ? uniform() < 1.0 / SingleCrashIntervalMs : sinceMs % SeriesIntervalMs == 0;
        if (crashes_ == Crashes::None || !isDue) {
            return;
        }
        const int domain = pick(DomainCount);
        const int rack = pick(WorkerCount / 3);
        const int single = pick(WorkerCount);
        for (int worker = 0; worker < WorkerCount; ++worker) {
            const bool isHit = crashes_ == Crashes::Domain ? worker % DomainCount == domain
                : crashes_ == Crashes::Rack                ? worker / 3 == rack
                : crashes_ == Crashes::Single              ? worker == single
                                                           : uniform() < 0.33;
            if (isHit && downUntilMs_[worker] <= nowMs_) {
                crash(worker);
            }
        }
    }

    void crash(int worker)
    {
        std::vector<Run> lost = std::move(runs_[worker]);
        runs_[worker].clear();
        downUntilMs_[worker] = nowMs_ + WorkerDowntimeMs;
        if (lost.empty()) {
            return; // Agents report no crash without runs.
        }
        wire::WorkerCrash crash;
        crash.worker = "w-" + std::to_string(worker);
        for (const Run &run : lost) {
            wire::CrashedRun crashed;
            crashed.jobId = run.job;
            crashed.taskIndex = run.task;
            crashed.queue = run.queue;
            crashed.ageMs = nowMs_ - run.startMs;
            crash.runs.push_back(crashed);
            const bool isDeadly = run.crashMs < 2 * DayMs;
            if (isDeadly && run.lostRuns > 0) {
                continue; // Given up.
            }
            Run again = run;
            ++again.lostRuns;
            again.crashMs = isDeadly ? run.crashMs - run.startMs : DayMs;
            waiting_.emplace(nowMs_ + LeaseMs, again);
        }
        const bool isForSuspects = !suspicion_.suspects().empty() && worker < GroupSize;
        suspicion_.recordCrash(crash, isForSuspects, now());
        ++result_.crashes;
        result_.crashesUntilFound += result_.isFound ? 0 : 1;
    }

    void measure()
    {
        for (const std::string &queue : suspicion_.suspects()) {
            if (queue == guilty_) {
                result_.isFound = true;
                continue;
            }
            result_.isolations += isolated_.contains(queue) ? 0 : 1;
            ++result_.isolatedMs;
        }
        isolated_ = suspicion_.suspects();
    }

    std::mt19937 random_;
    const Crashes crashes_;
    const std::string guilty_;
    const double guiltyShare_;
    CrashSuspicion suspicion_;
    int nowMs_ = 0;
    int lastJob_ = 0;
    std::multimap<int, Run> waiting_; ///< By the time of the start.
    std::map<int, std::vector<Run>> runs_; ///< By worker.
    std::map<int, int> downUntilMs_; ///< By worker.
    std::set<std::string> isolated_;
    DayResult result_;
};

} // namespace

// Guards against queues that lose their workers because crashes come in series for reasons of the machines.
TEST_CASE("Innocent crashes in series seldom isolate a queue, and briefly")
{
    const auto [name, crashes] = GENERATE(table<std::string, Crashes>({{"random", Crashes::Random},
                                                                       {"domain", Crashes::Domain},
                                                                       {"rack", Crashes::Rack},
                                                                       {"single", Crashes::Single},
                                                                       {"burst", Crashes::Burst}}));
    constexpr double MaxIsolationsPerThousand = 10;
    constexpr int MaxIsolatedMs = 2000;
    DayResult sum;
    for (unsigned seed = 1; seed <= Seeds; ++seed) {
        sum.add(Day(seed, crashes, "", 0).play());
    }
    const double perThousand = 1000.0 * sum.isolations / sum.crashes;
    const int meanMs = sum.isolatedMs / std::max(sum.isolations, 1);
    CAPTURE(name, sum.crashes, sum.isolations, perThousand, meanMs);
    CHECK(perThousand <= MaxIsolationsPerThousand);
    CHECK(meanMs <= MaxIsolatedMs);
}

namespace {

struct GuiltyDays
{
    DayResult sum;
    int found = 0;
    int withManyCrashes = 0;
};

constexpr double MaxMeanCrashes = 4;

/** Days on which a share of the queue's jobs crash their workers. */
GuiltyDays playGuiltyDays(const std::string &guilty, double share)
{
    GuiltyDays days;
    for (unsigned seed = 1; seed <= Seeds; ++seed) {
        const DayResult day = Day(seed, Crashes::None, guilty, share).play();
        days.found += day.isFound ? 1 : 0;
        days.withManyCrashes += day.crashes >= 3 * MaxMeanCrashes ? 1 : 0;
        days.sum.add(day);
    }
    return days;
}

} // namespace

// Guards against a queue that crashes one worker after the other, and against blaming those beside it.
TEST_CASE("A queue that crashes its workers is isolated and those beside it seldom are")
{
    const std::string guilty = GENERATE("status", "quote", "report");
    const double share = GENERATE(0.02, 0.1);
    constexpr double MaxIsolationsPerThousand = 10;
    const GuiltyDays days = playGuiltyDays(guilty, share);
    const double perThousand = 1000.0 * days.sum.isolations / std::max(days.sum.crashes, 1);
    CAPTURE(guilty, share, days.sum.crashes, days.found, days.withManyCrashes, days.sum.isolations, perThousand);
    CHECK(days.found >= days.withManyCrashes);
    CHECK(perThousand <= MaxIsolationsPerThousand);
}

// Guards against a queue that crashes many workers before it is isolated.
TEST_CASE("A queue that crashes its workers is isolated after four crashes on average")
{
    const std::string guilty = GENERATE("status", "quote", "report");
    const double share = GENERATE(0.02, 0.1);
    const GuiltyDays days = playGuiltyDays(guilty, share);
    const double meanCrashes = static_cast<double>(days.sum.crashesUntilFound) / Seeds;
    CAPTURE(guilty, share, days.sum.crashes, meanCrashes);
    CHECK(meanCrashes <= MaxMeanCrashes);
}
