#pragma once

#include "connection/link_loop.h"
#include "request/log_event.h"

#include <memory>
#include <string>

namespace marjoramferry {

/** Histograms per metric, tenant and class. Any thread may use it. */
class Metrics
{
public:
    Metrics();
    ~Metrics();

    void observe(const Observation &observation);

    /** All histograms in Prometheus' text format, and the traffic of the links. */
    std::string render(const LinkTraffic &traffic) const;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace marjoramferry
