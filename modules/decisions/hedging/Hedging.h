#pragma once

#include "base/time/TimePoint.h"
#include "decisions/estimates/WorkEstimate.h"

#include <array>
#include <cstdint>
#include <optional>

namespace chestnut {

/** Latency relative to the expected time, counted in logarithmic buckets whose counts fade. */
struct LatencyQuantiles {
    static constexpr size_t bucketCount = 64;
    std::array<double, bucketCount> counts {};
    double total = 0;

    auto operator<=>(const LatencyQuantiles&) const = default;
};

void addSample(LatencyQuantiles&, double latencyRatio);

/** The ratio below which the given share of samples lies; nothing until there are enough samples. */
std::optional<double> quantile(const LatencyQuantiles&, double share);

/** Hedged work as a share of all work. */
struct HedgeBudget {
    double requests = 0;
    double hedges = 0;

    auto operator<=>(const HedgeBudget&) const = default;
};

struct HedgeQuery {
    bool isIdempotent = false;
    bool isLong = false;
    PriorityClass priorityClass = PriorityClass::Live;
    Duration expectedLatency {};
    bool hasFirstByte = false;
    uint32_t attempts = 1;
};

/** When to send a second attempt, counted from the first one; nothing when the request must not be hedged. */
std::optional<Duration> hedgeDelay(const HedgeQuery&, const LatencyQuantiles&, const HedgeBudget&);

} // namespace chestnut
