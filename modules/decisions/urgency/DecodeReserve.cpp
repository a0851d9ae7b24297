#include "decisions/urgency/DecodeReserve.h"

#include <algorithm>
#include <cmath>

namespace chestnut {

namespace {

    /** Largest share of the slots that is kept free. */
    constexpr double mostKeptShare = 0.3;

} // namespace

UrgentDemand withObservation(const UrgentDemand& demand, double inFlight, TimePoint now)
{
    auto age = std::max(now - demand.observedAt, Duration::zero());
    auto peak = demand.recentPeak * std::exp2(-toSeconds(age) / toSeconds(urgentPeakHalfLife));
    return { inFlight, std::max(peak, inFlight), now };
}

uint32_t slotsKeptFree(const UrgentDemand& demand, uint32_t slots)
{
    auto expected = std::max(demand.recentPeak - demand.inFlight, 0.0) + std::sqrt(demand.recentPeak);
    auto kept = std::max(std::ceil(expected), 1.0);
    return static_cast<uint32_t>(std::min(kept, std::floor(slots * mostKeptShare)));
}

} // namespace chestnut
