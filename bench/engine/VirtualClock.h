#pragma once

#include "base/time/TimePoint.h"

#include <cstdint>
#include <functional>
#include <queue>
#include <tuple>
#include <vector>

namespace chestnut::bench {

/** Event loop in virtual time. Runs callbacks in order of time; callbacks with equal times run in the order of scheduling. */
class VirtualClock {
public:
    TimePoint now() const { return m_now; }

    void at(TimePoint time, std::function<void()> callback)
    {
        m_events.push({ std::max(time, m_now), m_nextSequence++, std::move(callback) });
    }

    void after(Duration delay, std::function<void()> callback) { at(m_now + delay, std::move(callback)); }

    /** Runs the next event. Returns false if there is none. */
    bool runNext()
    {
        if (m_events.empty())
            return false;
        auto event = m_events.top();
        m_events.pop();
        m_now = event.time;
        event.callback();
        return true;
    }

private:
    struct Event {
        TimePoint time;
        uint64_t sequence = 0;
        std::function<void()> callback;

        bool operator<(const Event& other) const { return std::tie(other.time, other.sequence) < std::tie(time, sequence); }
    };

    TimePoint m_now;
    uint64_t m_nextSequence = 0;
    std::priority_queue<Event> m_events;
};

} // namespace chestnut::bench
