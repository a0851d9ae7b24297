#pragma once

#include "base/time/TimePoint.h"

namespace chestnut {

/** The windows for which the requests of each account are reported. Windows are numbered from the start of 1970 in UTC. */
struct UsageWindows {
    Duration length = std::chrono::seconds(5);
    Duration dueAfter = std::chrono::seconds(10); /**< after the end of a window, its report is late */

    bool operator==(const UsageWindows&) const = default;
};

} // namespace chestnut
