#pragma once

#include "base/time/TimePoint.h"

#include <optional>

namespace chestnut {

/** The time since the start of 1970 in UTC that a step of the time of day does not move: a monotonic clock that includes
    suspension, plus an offset. */
struct UsageClock {
    std::optional<Duration> offset; /**< absent before the first reading */
    Duration otherOffset {}; /**< that the time of day implies */
    std::optional<TimePoint> differsSince; /**< since when the time of day implies this other offset */

    bool operator==(const UsageClock&) const = default;
};

/** Returns the time at a reading of both clocks. The offset follows the time of day only when the same other offset has held for a
    minute: an administrator or a faulty time service steps the time of day and reverts it within seconds, whereas a correction
    lasts. */
Duration readUsageClock(UsageClock&, TimePoint monotonic, Duration timeOfDay);

} // namespace chestnut
