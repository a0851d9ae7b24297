#pragma once

#include "kernel/timers/TimerService.h"

#include <boost/asio/io_context.hpp>
#include <map>

namespace chestnut {

/** Virtual time for tests, which passes only in advance(). */
class VirtualTimerService final : public TimerService {
public:
    explicit VirtualTimerService(asio::io_context&, UnixSeconds wallClockAtStart = UnixSeconds(1'700'000'000));

    TimePoint now() const override { return m_now; }
    UnixSeconds wallClock() const override;
    Duration timeOfDay() const override { return m_wallClockAtStart + m_now.time_since_epoch(); }
    TimerSubscription every(Duration period, std::function<void()> callback) override;
    TimerSubscription once(Duration delay, std::function<void()> callback) override;
    asio::awaitable<void> sleep(Duration) override;

    /** Moves time forward and calls the callbacks that fall due, in order. Polls the io_context after each of them. */
    void advance(Duration);

    /** Runs the ready handlers of the io_context without moving time. */
    void runReady();

private:
    struct Registration;

    TimerSubscription subscribe(Duration delay, Duration period, std::function<void()> callback);

    asio::io_context& m_context;
    UnixSeconds m_wallClockAtStart;
    TimePoint m_now { Duration::zero() };
    std::multimap<TimePoint, std::weak_ptr<Registration>> m_due;
};

} // namespace chestnut
