#pragma once

#include "base/ids/StrongId.h"
#include "base/time/TimePoint.h"

#include <cstdint>
#include <map>

namespace chestnut {

/** Configured limits and prices of a service whose replicas can be ordered and released. */
struct ScalingProfile {
    uint32_t minimumPerZone = 0; /**< reclaimable and regular replicas together */
    uint32_t maximumPerZone = 0;
    Duration bootTime {}; /**< from the order of a replica until it serves */
    double reclaimablePriceFactor = 1; /**< price of a reclaimable replica as a share of a regular one */
    std::map<AvailabilityZone, double> zonePrices; /**< of a regular replica, for each second */

    bool operator==(const ScalingProfile&) const = default;
};

} // namespace chestnut
