#include "kernel/timers/VirtualTimerService.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cassert>

namespace chestnut {

struct VirtualTimerService::Registration {
    Duration period; // zero: called once
    std::function<void()> callback;
};

VirtualTimerService::VirtualTimerService(asio::io_context& context, UnixSeconds wallClockAtStart)
    : m_context(context)
    , m_wallClockAtStart(wallClockAtStart)
{
}

UnixSeconds VirtualTimerService::wallClock() const
{
    return m_wallClockAtStart + std::chrono::duration_cast<UnixSeconds>(m_now.time_since_epoch());
}

TimerSubscription VirtualTimerService::every(Duration period, std::function<void()> callback)
{
    assert(period > Duration::zero());
    return subscribe(period, period, std::move(callback));
}

TimerSubscription VirtualTimerService::once(Duration delay, std::function<void()> callback)
{
    return subscribe(delay, Duration::zero(), std::move(callback));
}

TimerSubscription VirtualTimerService::subscribe(Duration delay, Duration period, std::function<void()> callback)
{
    auto registration = std::make_shared<Registration>(Registration { period, std::move(callback) });
    m_due.emplace(m_now + delay, registration);
    return TimerSubscription(registration);
}

asio::awaitable<void> VirtualTimerService::sleep(Duration duration)
{
    // The Asio timer never expires; the virtual callback wakes its waiter by cancelling it.
    auto wakeUp = std::make_shared<asio::steady_timer>(m_context, asio::steady_timer::time_point::max());
    auto subscription = once(duration, [wakeUp] { wakeUp->cancel(); });
    boost::system::error_code ignored;
    co_await wakeUp->async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

void VirtualTimerService::runReady()
{
    m_context.restart();
    m_context.poll();
}

void VirtualTimerService::advance(Duration duration)
{
    auto end = m_now + duration;
    runReady();
    while (!m_due.empty() && m_due.begin()->first <= end) {
        auto node = m_due.extract(m_due.begin());
        m_now = std::max(m_now, node.key());
        if (auto registration = node.mapped().lock()) {
            if (registration->period > Duration::zero())
                m_due.emplace(m_now + registration->period, registration);
            registration->callback();
        }
        runReady();
    }
    m_now = end;
}

} // namespace chestnut
