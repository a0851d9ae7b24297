#pragma once

#include <chrono>
#include <cstdint>

namespace chestnut {

using Duration = std::chrono::microseconds;

/** Tag for the steady time line of one process. It has no now(): the current time comes from TimerService. */
struct SteadyTimeLine {
    using duration = Duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<SteadyTimeLine>;
    static constexpr bool is_steady = true;
};

/** A point on the steady time line; not comparable between processes. */
using TimePoint = SteadyTimeLine::time_point;

/** Wall-clock seconds since 1970, comparable between processes within their clock error. */
using UnixSeconds = std::chrono::duration<int64_t>;

constexpr double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

constexpr Duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

} // namespace chestnut
