#include "request/worker_subset.h"

#include <algorithm>
#include <functional>
#include <map>
#include <set>

namespace marjoramferry {

size_t subsetSize(const WorkerSubsetOptions &options, size_t workers, size_t entries)
{
    const size_t divisor = std::max<size_t>(entries, 1);
    const size_t forAllWorkers = (options.entriesPerWorker * workers + divisor - 1) / divisor;
    return std::min(workers, std::max(options.minWorkers, forAllWorkers));
}

std::vector<std::string> selectSubset(std::vector<SubsetCandidate> candidates, size_t size)
{
    std::ranges::sort(candidates, [](const SubsetCandidate &a, const SubsetCandidate &b) {
        return a.weight != b.weight ? a.weight > b.weight : a.agent < b.agent;
    });
    std::set<std::string> domains;
    std::ranges::for_each(candidates, [&](const SubsetCandidate &each) { domains.insert(each.domain); });
    const size_t share = size / 2 / std::max<size_t>(domains.size(), 1);

    std::map<std::string, size_t> selectedByDomain;
    std::vector<bool> isSelected(candidates.size(), false);
    size_t selected = 0;
    for (size_t i = 0; i < candidates.size(); ++i) {
        size_t &count = selectedByDomain[candidates[i].domain];
        if (count < share) {
            ++count;
            ++selected;
            isSelected[i] = true;
        }
    }
    for (size_t i = 0; i < candidates.size() && selected < size; ++i) {
        if (!isSelected[i]) {
            isSelected[i] = true;
            ++selected;
        }
    }
    std::vector<std::string> agents;
    for (size_t i = 0; i < candidates.size(); ++i) {
        if (isSelected[i]) {
            agents.push_back(std::move(candidates[i].agent));
        }
    }
    return agents;
}

} // namespace marjoramferry
