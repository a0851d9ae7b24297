#include "gateway/replicas/OrderPauses.h"

namespace chestnut {

namespace {

    /** After this time an engine is used in the stage of its entry even if the order has not taken effect; streams run up to 15 s. */
    constexpr Duration longestOrderPause = std::chrono::seconds(20);
    /** A replica gets no work for this long after a peer's report of its pause; each later tick extends the pause. */
    constexpr Duration peerPauseTimeout = std::chrono::milliseconds(800);
    constexpr Duration orderTickLength = std::chrono::milliseconds(100);

} // namespace

OrderPauses::OrderPauses(TimerService& timers)
    : m_timers(timers)
{
}

void OrderPauses::begin(const ReplicaId& id, EngineStage stage)
{
    m_ordered[id] = { stage, m_timers.now() };
}

void OrderPauses::end(const ReplicaId& id)
{
    m_ordered.erase(id);
}

void OrderPauses::applyReport(const PausedReplica& report)
{
    auto& pause = m_pauses[report.replica];
    auto now = m_timers.now();
    // The ticks of another ordering daemon may be lower; they count once the reports of the previous one have stopped.
    if (report.orderTick <= pause.orderTick && now < pause.until)
        return;
    if (report.orderTick == pause.orderTick)
        return;
    pause = { report.orderTick, now + peerPauseTimeout };
}

bool OrderPauses::isPaused(const ReplicaId& id) const
{
    if (m_ordered.contains(id))
        return true;
    auto found = m_pauses.find(id);
    return found != m_pauses.end() && m_timers.now() < found->second.until;
}

std::vector<PausedReplica> OrderPauses::pausedReplicas() const
{
    std::vector<PausedReplica> paused;
    auto now = m_timers.now();
    for (const auto& [id, order] : m_ordered)
        paused.push_back({ id, static_cast<uint64_t>(now.time_since_epoch() / orderTickLength) });
    for (const auto& [id, pause] : m_pauses) {
        if (now < pause.until && !m_ordered.contains(id))
            paused.push_back({ id, pause.orderTick });
    }
    return paused;
}

void OrderPauses::expire(const std::function<std::optional<EngineStage>(const ReplicaId&)>& stageOf)
{
    auto now = m_timers.now();
    std::erase_if(m_ordered, [&](const auto& entry) {
        const auto& [id, order] = entry;
        auto stage = stageOf(id);
        return !stage || *stage == order.stage || now - order.orderedAt > longestOrderPause;
    });
}

} // namespace chestnut
