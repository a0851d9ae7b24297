#include "decisions/usage/UsageClock.h"

namespace chestnut {

namespace {

    constexpr Duration correctionTime = std::chrono::minutes(1);
    /** Differences of this size move few requests to another window. A time service corrects them by slewing. */
    constexpr Duration tolerance = std::chrono::milliseconds(20);

    bool isClose(Duration left, Duration right)
    {
        return std::chrono::abs(left - right) <= tolerance;
    }

} // namespace

Duration readUsageClock(UsageClock& clock, TimePoint monotonic, Duration timeOfDay)
{
    auto implied = timeOfDay - monotonic.time_since_epoch();
    if (!clock.offset)
        clock.offset = implied;
    if (isClose(implied, *clock.offset))
        clock.differsSince.reset();
    else if (!clock.differsSince || !isClose(implied, clock.otherOffset)) {
        clock.otherOffset = implied;
        clock.differsSince = monotonic;
    } else if (monotonic - *clock.differsSince >= correctionTime) {
        clock.offset = implied;
        clock.differsSince.reset();
    }
    return monotonic.time_since_epoch() + *clock.offset;
}

} // namespace chestnut
