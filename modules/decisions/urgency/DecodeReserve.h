#pragma once

#include "base/time/TimePoint.h"

#include <cstdint>

namespace chestnut {

/** Requests in flight at the engines of one service that are more urgent than a given priority. */
struct UrgentDemand {
    double inFlight = 0;
    double recentPeak = 0; /**< decays with urgentPeakHalfLife */
    TimePoint observedAt {};

    bool operator==(const UrgentDemand&) const = default;
};

/** A peak of urgent requests counts half after this time. It covers a few periods of demand that changes within seconds. */
constexpr Duration urgentPeakHalfLife = std::chrono::seconds(10);

/** The demand after a further observation. */
UrgentDemand withObservation(const UrgentDemand&, double inFlight, TimePoint now);

/** Slots of a service that less urgent requests leave free. For rare urgent requests among bursts of less urgent ones: the
    urgent ones of the next moment are expected to be as many as recently, plus their usual deviation (the square root, as
    for independent arrivals). Where more urgent requests are possible at all, one slot is kept; never more than a share of all, so
    that the less urgent ones are not starved. */
uint32_t slotsKeptFree(const UrgentDemand&, uint32_t slots);

} // namespace chestnut
