#pragma once

#include "base/time/TimePoint.h"
#include "kernel/registry/Service.h"

#include <functional>
#include <memory>

namespace chestnut {

/** Owns the registration of a timer callback; destroying it cancels the callback. */
class TimerSubscription {
public:
    TimerSubscription() = default;
    explicit TimerSubscription(std::shared_ptr<void> registration)
        : m_registration(std::move(registration))
    {
    }

    void cancel() { m_registration.reset(); }
    bool isActive() const { return m_registration != nullptr; }

private:
    std::shared_ptr<void> m_registration;
};

/** The only source of the current time and of delayed or periodic callbacks, so that tests can replace both. */
class TimerService : public Service {
public:
    static constexpr std::string_view serviceName = "timers";
    std::string_view name() const final { return serviceName; }

    virtual TimePoint now() const = 0;
    virtual UnixSeconds wallClock() const = 0;

    /** Like wallClock(), with the resolution of Duration. */
    virtual Duration timeOfDay() const { return wallClock(); }

    /** Like now(), but includes the time in which the VM was suspended, during which the leases of a store expire as
        well. Not comparable with now(). */
    virtual TimePoint nowIncludingSuspend() const { return now(); }

    /** Calls the callback periodically, first after one period. Asserts that the period is positive. */
    [[nodiscard]] virtual TimerSubscription every(Duration period, std::function<void()> callback) = 0;

    /** Calls the callback once after the delay. */
    [[nodiscard]] virtual TimerSubscription once(Duration delay, std::function<void()> callback) = 0;

    /** Suspends the calling coroutine, which can be cancelled through its cancellation slot. */
    virtual asio::awaitable<void> sleep(Duration) = 0;
};

} // namespace chestnut
