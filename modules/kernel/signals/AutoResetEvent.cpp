#include "kernel/signals/AutoResetEvent.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace chestnut {

AutoResetEvent::AutoResetEvent(asio::io_context& context)
    : m_wakeUp(context, asio::steady_timer::time_point::max())
{
}

void AutoResetEvent::notify()
{
    m_isNotified = true;
    m_wakeUp.cancel();
}

asio::awaitable<bool> AutoResetEvent::waitFor(TimerService& timers, Duration duration)
{
    bool hasTimedOut = duration <= Duration::zero();
    auto timeout = timers.once(std::max(duration, Duration::zero()), [this, &hasTimedOut] {
        hasTimedOut = true;
        m_wakeUp.cancel();
    });
    while (!m_isNotified && !hasTimedOut) {
        boost::system::error_code ignored;
        co_await m_wakeUp.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    co_return std::exchange(m_isNotified, false);
}

} // namespace chestnut
