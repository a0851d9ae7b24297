#include "decisions/drains/Shutdown.h"

#include <algorithm>

namespace chestnut {

namespace {

    /** The first part of a shutdown in which requests are started; the rest is left for their responses. */
    constexpr int startFraction = 3;
    /** A request is expected to end within this multiple of the mean time. */
    constexpr int meanTimeMultiple = 2;

} // namespace

bool mayStart(const ShutdownPlan& plan, TimePoint arrival, TimePoint deadline, std::optional<Duration> meanTime)
{
    if (deadline <= plan.endsAt)
        return true;
    auto startTime = std::min(longestShutdownStartTime, (plan.endsAt - plan.beganAt) / startFraction);
    auto expectedTime = meanTime.value_or(Duration::zero()) * meanTimeMultiple;
    return arrival <= plan.beganAt + startTime && arrival + expectedTime <= plan.endsAt;
}

} // namespace chestnut
