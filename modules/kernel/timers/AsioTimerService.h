#pragma once

#include "kernel/timers/TimerService.h"

#include <boost/asio/io_context.hpp>

namespace chestnut {

/** Timers and clocks of the system, through Asio. */
class AsioTimerService final : public TimerService {
public:
    explicit AsioTimerService(asio::io_context&);

    TimePoint now() const override;
    UnixSeconds wallClock() const override;
    Duration timeOfDay() const override;
    TimePoint nowIncludingSuspend() const override;
    TimerSubscription every(Duration period, std::function<void()> callback) override;
    TimerSubscription once(Duration delay, std::function<void()> callback) override;
    asio::awaitable<void> sleep(Duration) override;

private:
    asio::io_context& m_context;
};

} // namespace chestnut
