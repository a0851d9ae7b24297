#pragma once

#include <chrono>
#include <cstdint>

namespace chestnut {

using Duration = std::chrono::microseconds;

/** Clock type of TimePoint. It has no now(): the current time comes from TimerService, which tests replace. */
struct MonotonicClock {
    using duration = Duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<MonotonicClock>;
    static constexpr bool is_steady = true;
};

/** A point in the monotonic time of one process; not comparable between processes. */
using TimePoint = MonotonicClock::time_point;

/** Wall-clock seconds since 1970; comparable between processes within the error of their clocks. */
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
