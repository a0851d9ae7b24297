#pragma once

#include "kernel/timers/TimerService.h"

#include <boost/asio/io_context.hpp>
#include <map>

namespace chestnut {

/** Virtual time for tests: it moves only through advance(). */
class VirtualTimerService final : public TimerService {
public:
    explicit VirtualTimerService(asio::io_context&, UnixSeconds wallClockAtStart = UnixSeconds(1'700'000'000));

    TimePoint now() const override { return m_now; }
    UnixSeconds wallClock() const override;
    TimerSubscription every(Duration period, std::function<void()> callback) override;
    TimerSubscription once(Duration delay, std::function<void()> callback) override;
    asio::awaitable<void> sleep(Duration) override;

    /** Moves time forward, fires what falls due in order, and polls the io_context until it is idle each time. */
    void advance(Duration);

    /** Runs all handlers that are ready without moving time. */
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
