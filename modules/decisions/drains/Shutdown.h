#pragma once

#include "base/time/TimePoint.h"

namespace chestnut {

/** Requests that arrive up to this long after a daemon began to leave are started whatever their time limit; later ones come
    from callers that ignore the list of daemons. The figure is the one that RULES.md (LOST) allows. */
constexpr Duration shutdownStartTime = std::chrono::seconds(3);

/** When a daemon began to leave and when its process ends. */
struct ShutdownPlan {
    TimePoint beganAt;
    TimePoint endsAt;

    bool operator==(const ShutdownPlan&) const = default;
};

/** Whether a request that arrives during a shutdown may be started. A late one must have its answer before the end. */
bool mayStart(const ShutdownPlan&, TimePoint arrival, TimePoint deadline);

} // namespace chestnut
