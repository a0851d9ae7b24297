#pragma once

#include "kernel/timers/TimerService.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace chestnut {

/** Wakes one waiting coroutine. A notification without a waiter is stored and ends the next wait immediately. */
class AutoResetEvent {
public:
    explicit AutoResetEvent(asio::io_context&);

    void notify();

    /** Waits for a notification. Returns false when none arrived within the given time. */
    asio::awaitable<bool> waitFor(TimerService&, Duration);

private:
    asio::steady_timer m_wakeUp; // never expires; cancelling it wakes the waiter
    bool m_isNotified = false;
};

} // namespace chestnut
