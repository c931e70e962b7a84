#pragma once

#include "connection/link_loop.h"
#include "event/log_event.h"

#include <memory>
#include <string>
#include <vector>

namespace marjoramferry {

/** Use of one listener of the process. */
struct ListenerReport
{
    std::string listener;
    ListenerUsage usage;

    auto operator<=>(const ListenerReport &) const = default;
};

/** Histograms per metric, tenant and task class. Thread-safe. */
class Metrics
{
public:
    Metrics();
    ~Metrics();

    void observe(const Observation &observation);

    /** Renders all histograms, the link traffic counters and the use of the listeners in Prometheus text format. */
    std::string render(const LinkTraffic &traffic, const std::vector<ListenerReport> &listeners) const;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace marjoramferry
