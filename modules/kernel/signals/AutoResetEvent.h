#pragma once

#include "kernel/timers/TimerService.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace chestnut {

/** Wakes one waiting coroutine. A notification without a waiter is kept for the next wait. */
class AutoResetEvent {
public:
    explicit AutoResetEvent(asio::io_context&);

    void notify();

    /** Waits for a notification, at most for the given time. False when the time ran out first. */
    asio::awaitable<bool> waitFor(TimerService&, Duration);

private:
    asio::steady_timer m_gate; // never expires by itself; cancelling it wakes the waiter
    bool m_isNotified = false;
};

} // namespace chestnut
