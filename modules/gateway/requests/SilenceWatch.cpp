#include "gateway/requests/SilenceWatch.h"

namespace chestnut {

SilenceWatch::SilenceWatch(RelayContext& relay, Callbacks callbacks)
    : m_relay(relay)
    , m_callbacks(std::move(callbacks))
{
}

void SilenceWatch::start(const ReplicaId& replica, std::optional<Duration> limit)
{
    stop();
    if (limit)
        startTimer({ replica, *limit, m_relay.services.timers.now() }, false);
}

void SilenceWatch::startTimer(const Wait& wait, bool isExtended)
{
    m_timer = m_relay.services.timers.once(wait.limit, [this, wait, isExtended] { onLimit(wait, isExtended); });
}

void SilenceWatch::onLimit(const Wait& wait, bool isExtended)
{
    // When all streams are silent, the fault is not that of one engine.
    if (!isExtended && m_relay.services.streams->areOthersSilent(m_relay.service, wait.replica, wait.since)) {
        startTimer(wait, true);
        return;
    }
    if (auto reason = obstacle(wait.replica); !reason.empty()) {
        log(wait, "wait", reason);
        startTimer(wait, true);
        return;
    }
    log(wait, "interrupt", "");
    m_callbacks.onInterrupt(wait.since);
    m_relay.interruptAttempt();
}

std::string_view SilenceWatch::obstacle(const ReplicaId& replica)
{
    if (!m_relay.mayRunAgain())
        return "the route allows no other attempt";
    if (!m_callbacks.canContinueElsewhere(replica))
        return "no other replica can do the work in time";
    return m_relay.reserveRetry() ? "" : "the retry budget is exhausted";
}

void SilenceWatch::log(const Wait& wait, std::string_view action, std::string_view reason) const
{
    const auto& services = m_relay.services;
    auto silence = services.timers.now() - wait.since;
    services.log.write(EventId::AttemptSilent, { { "request", m_relay.request.id }, { "replica", wait.replica }, { "silent_ms", silence.count() / 1000 }, { "begun", m_callbacks.hasBegun() ? 1 : 0 }, { "action", action }, { "reason", reason } });
    services.metrics.count("chestnut_gateway_silent_attempts_total", { { "action", std::string(action) } });
}

} // namespace chestnut
