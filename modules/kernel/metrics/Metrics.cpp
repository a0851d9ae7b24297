#include "kernel/metrics/Metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace chestnut {

namespace {

    /** Upper bounds in seconds. 0.079 and 1.1 are the targets for the time between tokens and to the first token. */
    const prometheus::Histogram::BucketBoundaries secondsBuckets { 0.001, 0.005, 0.02, 0.079, 0.2, 0.5, 1.1, 2.5, 5, 10, 30, 120 };

} // namespace

struct Metrics::Registry {
    using Key = std::pair<std::string, MetricLabels>;

    // Caches the metrics, so that an update needs one lookup instead of building the metric's family by name.
    prometheus::Registry registry;
    std::map<Key, prometheus::Counter*> counters;
    std::map<Key, prometheus::Gauge*> gauges;
    std::map<Key, prometheus::Histogram*> histograms;
};

Metrics::Metrics()
    : m_registry(std::make_unique<Registry>())
{
}

Metrics::~Metrics() = default;

void Metrics::count(const std::string& name, const MetricLabels& labels, double amount)
{
    auto& counter = m_registry->counters[{ name, labels }];
    if (!counter)
        counter = &prometheus::BuildCounter().Name(name).Register(m_registry->registry).Add(labels);
    counter->Increment(amount);
}

void Metrics::setGauge(const std::string& name, double value, const MetricLabels& labels)
{
    auto& gauge = m_registry->gauges[{ name, labels }];
    if (!gauge)
        gauge = &prometheus::BuildGauge().Name(name).Register(m_registry->registry).Add(labels);
    gauge->Set(value);
}

void Metrics::removeGauge(const std::string& name, const MetricLabels& labels)
{
    auto gauge = m_registry->gauges.find({ name, labels });
    if (gauge == m_registry->gauges.end())
        return;
    prometheus::BuildGauge().Name(name).Register(m_registry->registry).Remove(gauge->second);
    m_registry->gauges.erase(gauge);
}

void Metrics::observeSeconds(const std::string& name, double seconds, const MetricLabels& labels)
{
    auto& histogram = m_registry->histograms[{ name, labels }];
    if (!histogram)
        histogram = &prometheus::BuildHistogram().Name(name).Register(m_registry->registry).Add(labels, secondsBuckets);
    histogram->Observe(seconds);
}

double Metrics::value(const std::string& name, const MetricLabels& labels) const
{
    if (auto counter = m_registry->counters.find({ name, labels }); counter != m_registry->counters.end())
        return counter->second->Value();
    if (auto gauge = m_registry->gauges.find({ name, labels }); gauge != m_registry->gauges.end())
        return gauge->second->Value();
    return 0;
}

std::string Metrics::expose() const
{
    return prometheus::TextSerializer().Serialize(m_registry->registry.Collect());
}

} // namespace chestnut
