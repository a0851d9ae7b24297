#include "gateway/requests/SilenceWatch.h"

namespace chestnut {

namespace {

    /** Period in which an obstacle is checked again. */
    constexpr Duration recheckPeriod = std::chrono::milliseconds(100);

} // namespace

std::string_view nameOf(RetryObstacle obstacle)
{
    switch (obstacle) {
    case RetryObstacle::None:
        return "none";
    case RetryObstacle::NotConnected:
        return "not_connected";
    case RetryObstacle::NoAttemptLeft:
        return "no_attempt_left";
    case RetryObstacle::SuspectedPart:
        return "suspected_part";
    case RetryObstacle::NoFreeReplica:
        return "no_free_replica";
    case RetryObstacle::BudgetExhausted:
        return "budget_exhausted";
    }
    return "none";
}

SilenceWatch::SilenceWatch(RelayContext& relay, Callbacks callbacks)
    : m_relay(relay)
    , m_callbacks(std::move(callbacks))
{
}

void SilenceWatch::start(const ReplicaId& replica, std::optional<Duration> limit)
{
    stop();
    if (limit)
        startTimer({ replica, *limit, m_relay.services.timers.now() }, *limit);
}

void SilenceWatch::startTimer(const Wait& wait, Duration time)
{
    m_timer = m_relay.services.timers.once(time, [this, wait] { onTimer(wait); });
}

void SilenceWatch::onTimer(Wait wait)
{
    // When all streams are silent, the fault is not that of one engine.
    if (!wait.isExtended && m_relay.services.streams->areOthersSilent(m_relay.service, wait.replica, wait.since)) {
        wait.isExtended = true;
        startTimer(wait, wait.limit);
        return;
    }
    auto obstacle = findObstacle(wait.replica);
    if (obstacle == RetryObstacle::None && !m_relay.reserveRetry())
        obstacle = RetryObstacle::BudgetExhausted;
    if (obstacle == RetryObstacle::None) {
        log(wait, "interrupt", obstacle);
        m_callbacks.onInterrupt(wait.since);
        m_relay.interruptAttempt();
        return;
    }
    if (obstacle != wait.logged)
        log(wait, "wait", obstacle);
    wait.isExtended = true;
    wait.logged = obstacle;
    startTimer(wait, recheckPeriod);
}

RetryObstacle SilenceWatch::findObstacle(const ReplicaId& replica) const
{
    if (!m_relay.abort->isAttached())
        return RetryObstacle::NotConnected;
    if (!m_relay.mayRunAgain())
        return RetryObstacle::NoAttemptLeft;
    if (m_relay.hasSuspectedPart())
        return RetryObstacle::SuspectedPart;
    return m_callbacks.canContinueElsewhere(replica) ? RetryObstacle::None : RetryObstacle::NoFreeReplica;
}

void SilenceWatch::log(const Wait& wait, std::string_view action, RetryObstacle obstacle) const
{
    const auto& services = m_relay.services;
    auto silence = services.timers.now() - wait.since;
    services.log.write(EventId::AttemptSilent, { { "request", m_relay.request.id }, { "replica", wait.replica }, { "silent_ms", silence.count() / 1000 }, { "begun", m_callbacks.hasBegun() ? 1 : 0 }, { "action", action }, { "obstacle", nameOf(obstacle) } });
    services.metrics.count("chestnut_gateway_silent_attempts_total", { { "action", std::string(action) } });
}

} // namespace chestnut
