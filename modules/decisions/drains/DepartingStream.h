#pragma once

#include "base/time/TimePoint.h"

#include <optional>

namespace chestnut {

/** A stream at a replica that announced how soon it leaves. */
struct DepartingStream {
    Duration timeLeft {}; /**< until the replica leaves */
    Duration elapsed {}; /**< since the call */
    std::optional<Duration> expectedTime; /**< of a whole call; absent while unknown */
    double position = 0; /**< of the stream among all of the replica, 0 to 1 */

    bool operator==(const DepartingStream&) const = default;
};

/** Whether the stream is to be continued at another replica now. For a reclaim, which takes all replicas of a zone away at once
    and would break their streams at the same moment: those that are expected to end in time stay, the others are moved
    one after the other, so that the engines that take them do not get all of them at once, and the last ones early
    enough for their next event. */
bool shouldContinueElsewhere(const DepartingStream&);

} // namespace chestnut
