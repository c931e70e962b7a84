#pragma once

#include "connection/link_loop.h"
#include "event/log_event.h"

#include <memory>
#include <string>

namespace marjoramferry {

/** Histograms per metric, tenant and task class. Thread-safe. */
class Metrics
{
public:
    Metrics();
    ~Metrics();

    void observe(const Observation &observation);

    /** Renders all histograms and the link traffic counters in Prometheus text format. */
    std::string render(const LinkTraffic &traffic) const;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace marjoramferry
