#include "gateway/requests/EngineDeparture.h"

#include "base/digest/Digest.h"
#include "decisions/drains/DepartingStream.h"
#include "gateway/requests/SilenceWatch.h"

namespace chestnut {

namespace {

    /** Different positions of streams in the order in which they leave an engine. */
    constexpr uint64_t positions = 1000;

    /** Between 0 and 1. */
    double positionOf(const RequestId& request)
    {
        return static_cast<double>(hash64(request.value()) % positions) / positions;
    }

} // namespace

EngineDeparture::EngineDeparture(RelayContext& relay, RunStops& stops, std::function<bool(const ReplicaId&)> canContinueElsewhere)
    : m_relay(relay)
    , m_stops(stops)
    , m_canContinueElsewhere(std::move(canContinueElsewhere))
{
}

bool EngineDeparture::mustLeave(const ReplicaEntry& engine, TimePoint sentAt, const std::string& lastEventId)
{
    auto& services = m_relay.services;
    auto leavesAt = services.replicas.leavesAt(engine.id);
    if (!leavesAt || m_isStopFutile || !m_relay.mayRunAgain() || m_relay.hasSuspectedPart() || !m_canContinueElsewhere(engine.id))
        return false;
    auto now = services.timers.now();
    auto timeLeft = *leavesAt - now;
    auto occupancy = services.speeds.speedOf(m_relay.service).occupancy;
    if (!shouldContinueElsewhere({ timeLeft, now - sentAt, occupancy, positionOf(m_relay.request.id) }) || !m_relay.reserveRetry())
        return false;
    services.log.write(EventId::StreamLeftReplica, { { "request", m_relay.request.id }, { "replica", engine.id }, { "left_ms", timeLeft.count() / 1000 }, { "after", lastEventId } });
    services.metrics.count("chestnut_gateway_streams_moved_total");
    return true;
}

asio::awaitable<bool> EngineDeparture::endRun(const ReplicaEntry& engine)
{
    auto stopped = co_await m_stops.stop({ engine.id, engine.address, m_relay.request.id }, {}, SilenceWatch::controlCallTimeout);
    // The last events of a run that is not known any more may still be on the way.
    m_isStopFutile = stopped && (*stopped == RunStopResult::Refused || *stopped == RunStopResult::NotRunning);
    // Without an answer the run may go on; the next event is another occasion.
    if (!stopped || m_isStopFutile || m_relay.isOver())
        co_return false;
    m_relay.interruptAttempt();
    co_return true;
}

bool EngineDeparture::hasPassed(const ReplicaId& engine) const
{
    auto leavesAt = m_relay.services.replicas.leavesAt(engine);
    return leavesAt && *leavesAt <= m_relay.services.timers.now();
}

} // namespace chestnut
