#pragma once

#include "gateway/GatewayFixture.h"

namespace chestnut {

/** The time of one process that can be stopped or whose machine can be suspended, on top of the shared virtual time. While it is
    stopped, its delayed callbacks and sleeps do not continue. */
class PausableTimers final : public TimerService {
public:
    explicit PausableTimers(VirtualTimerService& timers)
        : m_timers(timers)
    {
    }

    void pause() { m_isPaused = true; }
    void resume() { m_isPaused = false; }
    bool isPaused() const { return m_isPaused; }
    /** A suspension: the monotonic clock does not advance. */
    void suspend()
    {
        pause();
        m_suspendedAt = m_timers.now();
    }
    void wake()
    {
        m_suspended += m_timers.now() - m_suspendedAt;
        resume();
    }
    /** Steps the time of day. */
    void step(Duration change) { m_timeOfDayError += change; }

    TimePoint now() const override { return m_timers.now() - m_suspended; }
    TimePoint nowIncludingSuspend() const override { return m_timers.now(); }
    UnixSeconds wallClock() const override { return std::chrono::duration_cast<UnixSeconds>(timeOfDay()); }
    Duration timeOfDay() const override { return m_timers.timeOfDay() + m_timeOfDayError; }
    TimerSubscription every(Duration period, std::function<void()> callback) override
    {
        return m_timers.every(period, [this, callback = std::move(callback)] {
            if (!m_isPaused)
                callback();
        });
    }
    TimerSubscription once(Duration delay, std::function<void()> callback) override
    {
        return m_timers.once(delay, std::move(callback));
    }
    asio::awaitable<void> sleep(Duration duration) override
    {
        co_await m_timers.sleep(duration);
        while (m_isPaused)
            co_await m_timers.sleep(std::chrono::milliseconds(1));
    }

private:
    VirtualTimerService& m_timers;
    bool m_isPaused = false;
    TimePoint m_suspendedAt;
    Duration m_suspended {};
    Duration m_timeOfDayError {};
};

/** A task platform that records the calls of all daemons. */
class FakeTaskPlatform final : public TaskPlatform {
public:
    struct Call {
        TaskAuthority authority;
        TimePoint begin;
        TimePoint end;
        UsageReport report;
        bool wasApplied = true; /**< the report had an effect, whatever the caller was told */
    };

    explicit FakeTaskPlatform(VirtualTimerService& timers)
        : m_timers(timers)
    {
    }

    Duration responseTime = std::chrono::milliseconds(5);
    bool dropsResponses = false; /**< calls take effect, but their responses are lost */
    bool isBusy = false; /**< refuses calls with no effect */
    size_t rateRefusals = 0; /**< of the next calls */
    std::vector<Call> calls;

    asio::awaitable<Result<TaskResult>> reportUsage(UsageReport report, TaskAuthority authority) override
    {
        return call(std::move(report), std::move(authority));
    }
    asio::awaitable<Result<TaskResult>> orderReplicas(ReplicaOrder, TaskAuthority authority) override { return call({}, std::move(authority)); }

private:
    asio::awaitable<Result<TaskResult>> call(UsageReport report, TaskAuthority authority)
    {
        auto index = calls.size();
        auto takes = std::min(responseTime, longestTaskCall);
        calls.push_back({ std::move(authority), m_timers.now(), m_timers.now() + takes, std::move(report), !isBusy && rateRefusals == 0 });
        auto isLost = dropsResponses || responseTime > longestTaskCall;
        if (rateRefusals > 0) {
            --rateRefusals;
            co_return TaskResult::RateLimited;
        }
        if (isBusy)
            co_return makeError(ErrorKind::PlatformUnavailable, "busy");
        co_await m_timers.sleep(takes);
        calls[index].end = m_timers.now();
        if (isLost)
            co_return makeError(ErrorKind::PlatformAnswerLost, "lost");
        co_return TaskResult::Done;
    }

    VirtualTimerService& m_timers;
};

} // namespace chestnut
