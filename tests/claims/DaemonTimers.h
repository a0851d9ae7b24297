#pragma once

#include "kernel/timers/TimerService.h"

namespace chestnut {

/** One daemon's view of the virtual time: its wall clock can deviate, and no timer fires while it is paused. */
class DaemonTimers final : public TimerService {
public:
    static constexpr std::chrono::milliseconds pausePollPeriod { 20 };

    explicit DaemonTimers(TimerService& base)
        : m_base(base)
    {
    }

    bool isPaused = false;
    UnixSeconds clockError { 0 };

    TimePoint now() const override { return m_base.now(); }
    UnixSeconds wallClock() const override { return m_base.wallClock() + clockError; }

    TimerSubscription every(Duration period, std::function<void()> callback) override
    {
        return m_base.every(period, [this, callback = std::move(callback)] {
            if (!isPaused)
                callback();
        });
    }

    TimerSubscription once(Duration delay, std::function<void()> callback) override
    {
        auto deferred = std::make_shared<Deferred>(Deferred { std::move(callback), {} });
        schedule(deferred, delay);
        return TimerSubscription(deferred);
    }

    asio::awaitable<void> sleep(Duration duration) override
    {
        co_await m_base.sleep(duration);
        while (isPaused)
            co_await m_base.sleep(pausePollPeriod);
    }

private:
    struct Deferred {
        std::function<void()> callback;
        TimerSubscription subscription;
    };

    void schedule(const std::shared_ptr<Deferred>& deferred, Duration delay)
    {
        deferred->subscription = m_base.once(delay, [this, weak = std::weak_ptr(deferred)] {
            auto alive = weak.lock();
            if (!alive)
                return;
            if (isPaused)
                schedule(alive, pausePollPeriod);
            else
                alive->callback();
        });
    }

    TimerService& m_base;
};

} // namespace chestnut
