#pragma once

#include "kernel/registry/Service.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace prometheus {
class Counter;
class Gauge;
class Histogram;
} // namespace prometheus

namespace chestnut {

using MetricLabels = std::map<std::string, std::string>;

/** The daemon's metrics, stored by prometheus-cpp and served as text by the operators' listener. */
class Metrics final : public Service {
public:
    static constexpr std::string_view serviceName = "metrics";
    std::string_view name() const override { return serviceName; }

    Metrics();
    ~Metrics() override;

    /** Adds to a counter. Metric names contain their unit, such as `chestnut_peer_bytes_total`. */
    void count(const std::string& name, const MetricLabels& = {}, double amount = 1);
    void setGauge(const std::string& name, double value, const MetricLabels& = {});
    /** Removes a gauge of an item that no longer exists, so that the number of series stays bounded. */
    void removeGauge(const std::string& name, const MetricLabels&);
    void observeSeconds(const std::string& name, double seconds, const MetricLabels& = {});

    /** The current value of a counter or gauge; zero if it was never set. */
    double value(const std::string& name, const MetricLabels& = {}) const;

    /** All metrics in the Prometheus text format. */
    std::string expose() const;

private:
    struct Registry;

    std::unique_ptr<Registry> m_registry;
};

} // namespace chestnut
