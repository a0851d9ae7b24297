#pragma once

#include "base/time/TimePoint.h"

#include <optional>

namespace chestnut {

/** Requests that arrive up to this long after the start of a shutdown may be started although their deadline lies after its end;
    later ones come from callers that ignore the list of daemons. Callers may rely on 3 s from the signal, which a busy daemon
    handles late. */
constexpr Duration longestShutdownStartTime = std::chrono::milliseconds(2800);

/** When the shutdown of a daemon began and when its process ends. */
struct ShutdownPlan {
    TimePoint beganAt;
    TimePoint endsAt;

    bool operator==(const ShutdownPlan&) const = default;
};

/** Whether a request that arrives during a shutdown may be started: it must be answered before the end, by its deadline or, if
    it comes early enough, by the mean time that such requests take, which may be unknown. */
bool mayStart(const ShutdownPlan&, TimePoint arrival, TimePoint deadline, std::optional<Duration> meanTime);

} // namespace chestnut
