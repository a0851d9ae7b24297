#pragma once

#include "base/time/TimePoint.h"
#include "kernel/registry/Service.h"

#include <functional>
#include <memory>

namespace chestnut {

/** Keeps a timer callback registered; destroying it cancels the callback. */
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

/** The only source of time and of delayed or periodic callbacks. */
class TimerService : public Service {
public:
    static constexpr std::string_view serviceName = "timers";
    std::string_view name() const final { return serviceName; }

    virtual TimePoint now() const = 0;
    virtual UnixSeconds wallClock() const = 0;

    /** Like now(), but it counts the time in which the VM was suspended, which leases of a store count as well. The two
        are not comparable. */
    virtual TimePoint nowIncludingSuspend() const { return now(); }

    /** Calls back every period, the first time after one period. Asserts that the period is positive. */
    [[nodiscard]] virtual TimerSubscription every(Duration period, std::function<void()> callback) = 0;

    /** Calls back once after the delay. */
    [[nodiscard]] virtual TimerSubscription once(Duration delay, std::function<void()> callback) = 0;

    /** Suspends the calling coroutine; it can be cancelled through its cancellation slot. */
    virtual asio::awaitable<void> sleep(Duration) = 0;
};

} // namespace chestnut
