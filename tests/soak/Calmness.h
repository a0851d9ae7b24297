#pragma once

#include "kernel/timers/TimerService.h"

namespace chestnut::soak {

/** Tells since when nothing disturbs one part of the fleet. Disturbances may overlap. */
class Calmness {
public:
    explicit Calmness(TimerService& timers)
        : m_timers(timers)
        , m_calmSince(timers.now())
    {
    }

    void begin() { ++m_active; }
    void end()
    {
        --m_active;
        m_calmSince = m_timers.now();
    }

    /** Whether nothing has disturbed it from `since` on. */
    bool isCalmSince(TimePoint since) const { return m_active == 0 && m_calmSince <= since; }

private:
    TimerService& m_timers;
    TimePoint m_calmSince;
    int m_active = 0;
};

} // namespace chestnut::soak
