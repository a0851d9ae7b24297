#pragma once

#include "kernel/timers/TimerService.h"

namespace chestnut::soak {

/** Tracks the disturbances of one part of the fleet, which may overlap, and the time when the last one ended. */
class DisturbanceTracker {
public:
    explicit DisturbanceTracker(TimerService& timers)
        : m_timers(timers)
        , m_undisturbedSince(timers.now())
    {
    }

    void begin() { ++m_active; }
    void end()
    {
        --m_active;
        m_undisturbedSince = m_timers.now();
    }

    /** Whether there has been no disturbance from `since` until now. */
    bool isUndisturbedSince(TimePoint since) const { return m_active == 0 && m_undisturbedSince <= since; }

private:
    TimerService& m_timers;
    TimePoint m_undisturbedSince;
    int m_active = 0;
};

} // namespace chestnut::soak
