#pragma once

#include "base/time/TimePoint.h"

namespace chestnut {

/** Requests that arrive up to this long after the start of a shutdown are started whatever their deadline; later ones come
    from callers that ignore the list of daemons. RULES.md (LOST) allows this time. */
constexpr Duration shutdownStartTime = std::chrono::seconds(3);

/** When the shutdown of a daemon began and when its process ends. */
struct ShutdownPlan {
    TimePoint beganAt;
    TimePoint endsAt;

    bool operator==(const ShutdownPlan&) const = default;
};

/** Whether a request that arrives during a shutdown may be started. A late one must be answered before the end. */
bool mayStart(const ShutdownPlan&, TimePoint arrival, TimePoint deadline);

} // namespace chestnut
