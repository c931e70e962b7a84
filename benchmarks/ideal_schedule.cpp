#include "benchmarks/ideal_schedule.h"

#include <algorithm>
#include <functional>
#include <queue>

namespace marjoramferry::bench {

std::vector<double> idealResponses(const std::vector<PlannedJob> &jobs, int slots)
{
    std::priority_queue<double, std::vector<double>, std::greater<>> freeAt;
    for (int slot = 0; slot < slots; ++slot) {
        freeAt.push(0);
    }
    std::vector<double> responses;
    for (const PlannedJob &job : jobs) {
        const double arrival = static_cast<double>(job.arrival.count()) / 1000;
        std::vector<PlannedTask> tasks = job.tasks;
        std::ranges::sort(tasks, std::ranges::greater{}, &PlannedTask::runMs);
        double end = arrival;
        for (const PlannedTask &task : tasks) {
            const double taskEnd = std::max(arrival, freeAt.top()) + task.runMs;
            freeAt.pop();
            freeAt.push(taskEnd);
            end = std::max(end, taskEnd);
        }
        responses.push_back(end - arrival);
    }
    return responses;
}

} // namespace marjoramferry::bench
