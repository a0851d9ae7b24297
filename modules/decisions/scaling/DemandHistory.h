#pragma once

#include "base/time/TimePoint.h"

#include <optional>
#include <vector>

namespace chestnut {

/** The highest demand of one second, in replicas. */
struct DemandPeak {
    TimePoint begin;
    double replicas = 0;

    bool operator==(const DemandPeak&) const = default;
};

/** The recent course of a demand that fluctuates with periods of seconds. */
struct DemandHistory {
    double smoothed = 0;
    std::optional<TimePoint> firstSampleAt;
    TimePoint lastSampleAt;
    std::vector<DemandPeak> peaks; /**< oldest first */

    bool operator==(const DemandHistory&) const = default;
};

/** Time for which a peak counts, so that replicas are released only after the demand has been low for this long. */
constexpr Duration peakRetention = std::chrono::seconds(30);

void addSample(DemandHistory&, double replicas, TimePoint now);

/** The demand to provide for: the highest of the last peakRetention, or the present peak plus the growth that is expected in
    `leadTime`, whichever is higher. A rise counts as growth only if it exceeds the peaks of the time before, so that
    fluctuations are not extrapolated. */
double expectedPeak(const DemandHistory&, TimePoint now, Duration leadTime);

} // namespace chestnut
