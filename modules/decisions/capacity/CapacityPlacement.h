#pragma once

#include "decisions/placement/PromptPlacement.h"

namespace chestnut {

/** What a daemon cannot see of the load when it chooses a replica: the counts of other daemons are as old as their last messages. */
struct UnseenLoad {
    double replacedShare = 0; /**< of the counted requests of other daemons, those that have probably ended and been replaced by others */
    double draw = 0; /**< random number, at least 0 and below 1 */
};

/** Share of the requests that have ended and been replaced after this time, when each lasts for `occupancy` on average. */
double replacedShareAfter(Duration reportAge, Duration occupancy);

/** The replica for a request of a fleet whose daemons choose at the same time from old counts. The requests that other daemons have
    probably begun since their reports are assumed to fill the replicas up to a common level, in each zone by itself. A
    replica is chosen with a probability proportional to its share of them, so that the daemons together do what each of them
    assumes, instead of all choosing the same free replica. The own zone is preferred as by chooseLeastOccupied(), which chooses
    when there are no other daemons (`unseen` is absent). Nothing when all replicas are ejected or there is none. */
std::optional<size_t> chooseByFreeCapacity(std::span<const PlacementView>, const AvailabilityZone& ownZone, const std::optional<UnseenLoad>& unseen);

} // namespace chestnut
