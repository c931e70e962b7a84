#include "benchmarks/ideal_schedule.h"

#include <algorithm>
#include <functional>
#include <queue>

namespace marjoramferry::bench {

std::vector<double> idealResponseTimes(const std::vector<PlannedJob> &jobs, int slots)
{
    std::priority_queue<double, std::vector<double>, std::greater<>> slotFreeTimes;
    for (int slot = 0; slot < slots; ++slot) {
        slotFreeTimes.push(0);
    }
    std::vector<double> responseTimes;
    for (const PlannedJob &job : jobs) {
        const double arrival = static_cast<double>(job.arrival.count()) / 1000;
        std::vector<PlannedTask> tasks = job.tasks;
        std::ranges::sort(tasks, std::ranges::greater{}, &PlannedTask::runMs);
        double end = arrival;
        for (const PlannedTask &task : tasks) {
            const double taskEnd = std::max(arrival, slotFreeTimes.top()) + task.runMs;
            slotFreeTimes.pop();
            slotFreeTimes.push(taskEnd);
            end = std::max(end, taskEnd);
        }
        responseTimes.push_back(end - arrival);
    }
    return responseTimes;
}

} // namespace marjoramferry::bench
