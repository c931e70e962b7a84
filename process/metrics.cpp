#include "process/metrics.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_replace.h>
#include <absl/synchronization/mutex.h>
#include <boost/histogram/axis/variable.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>

#include <array>
#include <map>
#include <utility>
#include <vector>

namespace marjoramferry {

namespace {

using Axis = boost::histogram::axis::variable<double>;
using Histogram = decltype(boost::histogram::make_histogram(Axis({0.0, 1.0})));

const std::vector<double> &bucketBounds()
{
    static const std::vector<double> values
        = {0, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.35, 0.5, 0.75, 1, 1.5, 2, 3, 5, 10, 20, 30, 60};
    return values;
}

struct SeriesKey
{
    std::string metric;
    std::string tenant;
    std::string classLabel;

    auto operator<=>(const SeriesKey &) const = default;
};

struct Series
{
    Histogram histogram = boost::histogram::make_histogram(Axis(bucketBounds()));
    double sum = 0;
};

std::string escapeLabelValue(const std::string &value)
{
    return absl::StrReplaceAll(value, {{"\\", "\\\\"}, {"\"", "\\\""}, {"\n", "\\n"}});
}

void renderSeries(std::string &text, const SeriesKey &key, const Series &series)
{
    const std::string name = "marjoramferry_" + key.metric;
    const std::string labels = absl::StrCat(
        "tenant=\"", escapeLabelValue(key.tenant), "\",class=\"", escapeLabelValue(key.classLabel), "\"");
    double cumulativeCount = series.histogram.at(-1);
    const auto &axis = series.histogram.axis();
    for (int bin = 0; bin < axis.size(); ++bin) {
        cumulativeCount += series.histogram.at(bin);
        absl::StrAppend(
            &text, name, "_bucket{", labels, ",le=\"", axis.bin(bin).upper(), "\"} ", cumulativeCount, "\n");
    }
    cumulativeCount += series.histogram.at(axis.size());
    absl::StrAppend(&text, name, "_bucket{", labels, ",le=\"+Inf\"} ", cumulativeCount, "\n");
    absl::StrAppend(&text, name, "_sum{", labels, "} ", series.sum, "\n");
    absl::StrAppend(&text, name, "_count{", labels, "} ", cumulativeCount, "\n");
}

void renderCounter(std::string &text, const char *name, uint64_t value)
{
    absl::StrAppend(&text, "# TYPE marjoramferry_", name, " counter\nmarjoramferry_", name, " ", value, "\n");
}

/** Renders one value for each listener, under one name. */
template<typename Value>
void renderListeners(std::string &text,
                     const std::string &name,
                     const char *type,
                     const std::vector<ListenerReport> &listeners,
                     Value ListenerUsage::*value)
{
    absl::StrAppend(&text, "# TYPE marjoramferry_", name, " ", type, "\n");
    for (const ListenerReport &each : listeners) {
        absl::StrAppend(&text, "marjoramferry_", name, "{listener=\"", each.listener, "\"} ", each.usage.*value, "\n");
    }
}

constexpr std::array Gauges = {std::pair("client_connections", &ListenerUsage::connections),
                               std::pair("client_request_bytes", &ListenerUsage::requestBytes),
                               std::pair("client_pending_calls", &ListenerUsage::pendingCalls)};
constexpr std::array Counters = {std::pair("client_connections_refused_total", &ListenerUsage::refusedConnections),
                                 std::pair("client_requests_refused_total", &ListenerUsage::refusedRequests),
                                 std::pair("client_requests_too_large_total", &ListenerUsage::tooLargeRequests),
                                 std::pair("client_connections_evicted_total", &ListenerUsage::evictedConnections),
                                 std::pair("client_connections_expired_total", &ListenerUsage::expiredConnections)};

/** Beyond these, the values of further tenants and classes are counted together: callers choose the tenant. */
constexpr size_t MaxSeries = 2000;
constexpr const char *OtherTenants = "other";

} // namespace

class Metrics::Impl
{
public:
    void observe(const Observation &observation)
    {
        absl::MutexLock lock(&mutex_);
        SeriesKey key{observation.metric, observation.tenant, observation.classLabel};
        if (series_.size() >= MaxSeries && !series_.contains(key)) {
            key.tenant = OtherTenants;
        }
        Series &series = series_[key];
        series.histogram(observation.seconds);
        series.sum += observation.seconds;
    }

    std::string render() const
    {
        absl::MutexLock lock(&mutex_);
        std::string text;
        std::string previousMetric;
        for (const auto &[key, series] : series_) {
            if (key.metric != previousMetric) {
                absl::StrAppend(&text, "# TYPE marjoramferry_", key.metric, " histogram\n");
                previousMetric = key.metric;
            }
            renderSeries(text, key, series);
        }
        return text;
    }

private:
    mutable absl::Mutex mutex_;
    std::map<SeriesKey, Series> series_ ABSL_GUARDED_BY(mutex_);
};

Metrics::Metrics()
    : impl_(std::make_unique<Impl>())
{
}

Metrics::~Metrics() = default;

void Metrics::observe(const Observation &observation)
{
    impl_->observe(observation);
}

std::string Metrics::render(const LinkTraffic &traffic, const std::vector<ListenerReport> &listeners) const
{
    std::string text = impl_->render();
    renderCounter(text, "link_messages_in_total", traffic.messagesIn);
    renderCounter(text, "link_messages_out_total", traffic.messagesOut);
    renderCounter(text, "link_bytes_in_total", traffic.bytesIn);
    renderCounter(text, "link_bytes_out_total", traffic.bytesOut);
    for (const auto &[name, value] : Gauges) {
        renderListeners(text, name, "gauge", listeners, value);
    }
    for (const auto &[name, value] : Counters) {
        renderListeners(text, name, "counter", listeners, value);
    }
    return text;
}

} // namespace marjoramferry
