#include "owner/run_time_model.h"

#include <algorithm>

namespace marjoramferry {

namespace {

constexpr int MinSamples = 20;
constexpr int SampleWindow = 200;

} // namespace

void RunTimeModel::addSample(const std::string &service, int runMs)
{
    Average &average = averages_[service];
    average.samples = std::min(average.samples + 1, SampleWindow);
    average.meanMs += (runMs - average.meanMs) / average.samples;
}

double RunTimeModel::meanMs(const std::string &service) const
{
    const auto found = averages_.find(service);
    return found == averages_.end() || found->second.samples < MinSamples ? 0 : found->second.meanMs;
}

} // namespace marjoramferry
