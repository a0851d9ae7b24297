#include "kernel/timers/AsioTimerService.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cassert>
#include <ctime>

namespace chestnut {

namespace {

    /** One registered callback. Asio handlers hold weak references, so that destroying the subscription cancels it. */
    class Registration : public std::enable_shared_from_this<Registration> {
    public:
        Registration(asio::io_context& context, Duration period, bool isPeriodic, std::function<void()> callback)
            : m_timer(context)
            , m_period(period)
            , m_isPeriodic(isPeriodic)
            , m_callback(std::move(callback))
        {
        }

        void arm()
        {
            m_timer.expires_after(m_period);
            m_timer.async_wait([weak = weak_from_this()](const boost::system::error_code& error) {
                if (auto self = weak.lock(); self && !error)
                    self->fire();
            });
        }

    private:
        void fire()
        {
            if (m_isPeriodic)
                arm();
            m_callback();
        }

        asio::steady_timer m_timer;
        Duration m_period;
        bool m_isPeriodic;
        std::function<void()> m_callback;
    };

    TimerSubscription subscribe(asio::io_context& context, Duration period, bool isPeriodic, std::function<void()> callback)
    {
        auto registration = std::make_shared<Registration>(context, period, isPeriodic, std::move(callback));
        registration->arm();
        return TimerSubscription(registration);
    }

} // namespace

AsioTimerService::AsioTimerService(asio::io_context& context)
    : m_context(context)
{
}

TimePoint AsioTimerService::now() const
{
    return TimePoint(std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch()));
}

UnixSeconds AsioTimerService::wallClock() const
{
    return std::chrono::duration_cast<UnixSeconds>(std::chrono::system_clock::now().time_since_epoch());
}

Duration AsioTimerService::timeOfDay() const
{
    return std::chrono::duration_cast<Duration>(std::chrono::system_clock::now().time_since_epoch());
}

TimePoint AsioTimerService::nowIncludingSuspend() const
{
    timespec time {};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return TimePoint(std::chrono::duration_cast<Duration>(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec)));
}

TimerSubscription AsioTimerService::every(Duration period, std::function<void()> callback)
{
    assert(period > Duration::zero());
    return subscribe(m_context, period, true, std::move(callback));
}

TimerSubscription AsioTimerService::once(Duration delay, std::function<void()> callback)
{
    return subscribe(m_context, delay, false, std::move(callback));
}

asio::awaitable<void> AsioTimerService::sleep(Duration duration)
{
    asio::steady_timer timer(m_context, duration);
    co_await timer.async_wait(asio::use_awaitable);
}

} // namespace chestnut
