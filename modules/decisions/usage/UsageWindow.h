#pragma once

#include "base/time/TimePoint.h"

#include <cstdint>

namespace chestnut {

/** The number of a window, counted from the start of 1970 in UTC. */
using UsageWindow = uint64_t;

/** The windows for which the requests of each account are reported. */
struct UsageWindows {
    Duration length = std::chrono::seconds(5);
    Duration dueAfter = std::chrono::seconds(10); /**< after the end of a window, its report is late */

    bool operator==(const UsageWindows&) const = default;
};

/** `time` is since the start of 1970 in UTC. */
constexpr UsageWindow windowAt(const UsageWindows& windows, Duration time)
{
    return time < Duration::zero() ? 0 : static_cast<UsageWindow>(time / windows.length);
}

constexpr Duration endOf(const UsageWindows& windows, UsageWindow window)
{
    return windows.length * static_cast<int64_t>(window + 1);
}

constexpr Duration dueTimeOf(const UsageWindows& windows, UsageWindow window)
{
    return endOf(windows, window) + windows.dueAfter;
}

} // namespace chestnut
