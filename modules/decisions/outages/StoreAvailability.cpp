#include "decisions/outages/StoreAvailability.h"

#include <algorithm>

namespace chestnut {

namespace {

    /** Entries that expired during an outage of the store, or that a restore has lost, are written again about two seconds after
        its end. */
    constexpr Duration expiryGrace = std::chrono::milliseconds(2500);

} // namespace

void recordFailure(StoreAvailability& availability, ErrorKind kind, TimePoint sentAt)
{
    auto isLost = kind != ErrorKind::PlatformUnavailable;
    if (isLost && ++availability.lostResponses == 1 && !availability.isUnavailable) {
        availability.lastUnreachableAt = std::max(availability.lastUnreachableAt, availability.lastResponseAt);
        return;
    }
    availability.isUnavailable = true;
    availability.lastUnreachableAt = sentAt;
}

bool recordResponse(StoreAvailability& availability, TimePoint now)
{
    auto endsOutage = availability.isUnavailable;
    availability.lostResponses = 0;
    availability.isUnavailable = false;
    availability.lastResponseAt = now;
    return endsOutage;
}

std::optional<TimePoint> lastUnreachable(const StoreAvailability& availability, TimePoint now)
{
    auto isFailing = availability.isUnavailable || availability.lostResponses > 0;
    return isFailing ? now : availability.lastUnreachableAt;
}

Duration expiryGraceAt(TimePoint now, const std::optional<TimePoint>& unreachableAt)
{
    return unreachableAt ? std::max(Duration::zero(), *unreachableAt + expiryGrace - now) : Duration::zero();
}

} // namespace chestnut
