#include "FleetSimulationState.h"

#include <algorithm>

namespace chestnut::fuzz {

void FleetSimulation::maintainLease(Daemon& daemon)
{
    if (daemon.lease && !isHeld(*daemon.lease, m_now))
        daemon.lease = m_variant == Variant::LeaseEndIgnored ? daemon.lease : std::nullopt;
    if (!canReachStore(daemon) || daemon.configuration.engines.empty())
        return;
    bool sessionLives = m_now < m_store->sessionEnd;
    if (daemon.lease && sessionLives && m_store->lockHolder == daemon.holder) {
        daemon.lease->renewedAt = m_now;
        m_store->sessionEnd = m_now + leaseDuration;
        return;
    }
    std::vector<MemberRecord> members { daemon.table.self };
    for (const auto& [id, member] : daemon.table.others)
        members.push_back(visibleRecord(member));
    auto group = groupOf(daemon.configuration.engines.begin()->second);
    if (sessionLives || preferredHolder(group, daemon.table.self.region, members) != daemon.table.self.id)
        return;
    auto wait = m_store->lockIndex == 0 ? Duration(0) : successorWait;
    ++m_store->lockIndex;
    daemon.holder = daemon.table.self.id.value() + "/" + std::to_string(daemon.table.self.incarnation) + "/" + std::to_string(m_store->lockIndex);
    m_store->lockHolder = daemon.holder;
    m_store->sessionEnd = m_now + leaseDuration;
    daemon.lease = Lease { group, m_store->lockIndex, m_now, m_now + wait };
    daemon.drains.clear();
}

void FleetSimulation::orderEngines(Daemon& daemon)
{
    if (!daemon.lease)
        return;
    for (const auto& [id, spec] : daemon.configuration.engines)
        stepEngine(daemon, spec);
}

DrainProgress& FleetSimulation::updateDrain(Daemon& daemon, Engine& engine)
{
    auto [drain, isNew] = daemon.drains.try_emplace(engine.id, DrainProgress { m_now, {}, {}, {} });
    bool allAcknowledged = true;
    for (auto& peer : m_daemons) {
        auto member = daemon.table.others.find(peer->table.self.id);
        if (peer.get() == &daemon || canReach(daemon, *peer))
            peer->drainingEngines.insert(engine.id);
        else if (member != daemon.table.others.end() && !member->second.isSuspected)
            allAcknowledged = false;
    }
    if (allAcknowledged && !drain->second.acknowledgedAt)
        drain->second.acknowledgedAt = m_now;
    drain->second.running = static_cast<uint32_t>(engine.running.size());
    drain->second.reportedAt = m_now;
    return drain->second;
}

void FleetSimulation::stepEngine(Daemon& daemon, const EngineSpec& spec)
{
    auto& engine = **std::ranges::find(m_engines, spec.id, [](const auto& entry) { return entry->id; });
    if (!daemon.isActive() || daemon.isIsolated || (!m_store->isUp && m_variant != Variant::LeaseEndIgnored))
        return;
    auto [writes, stored] = m_store->intents[spec.id];
    OrderInputs inputs;
    inputs.lease = *daemon.lease;
    if (m_variant == Variant::LeaseEndIgnored)
        inputs.lease.renewedAt = inputs.lease.ordersAllowedFrom = m_now;
    inputs.holder = daemon.holder;
    if (writes > 0)
        inputs.intent = stored;
    inputs.observed = engine.state;
    inputs.desired = desiredEngine(daemon.configuration, spec, inputs.intent, {});
    inputs.retryAt = daemon.retryAt[spec.id];
    inputs.now = m_now;
    if (auto drain = daemon.drains.find(spec.id); drain != daemon.drains.end())
        inputs.isDrained = isDrained(updateDrain(daemon, engine), m_now);
    inputs.isDrained = inputs.isDrained || m_variant == Variant::DrainSkipped;
    auto next = nextOrderStep(inputs);
    if (next.action == OrderAction::Drain)
        updateDrain(daemon, engine);
    if (next.action == OrderAction::Settled && daemon.drains.erase(spec.id) > 0) {
        for (auto& peer : m_daemons)
            peer->drainingEngines.erase(spec.id);
    }
    if (next.action == OrderAction::TakeOver)
        writeIntent(spec.id, writes, next.intent);
    if (next.action != OrderAction::Send)
        return;
    if (m_variant == Variant::ConflictingOrders && writes > 0)
        next.intent.sequence = std::max<uint64_t>(1, stored.sequence);
    else if (!writeIntent(spec.id, writes, next.intent))
        return;
    daemon.retryAt[spec.id] = m_now + shortestOrderRetry;
    send(daemon, engine, next.intent);
}

bool FleetSimulation::writeIntent(const EngineId& engine, uint64_t expectedWrites, const OrderIntent& intent)
{
    auto& [writes, stored] = m_store->intents[engine];
    if (writes != expectedWrites)
        return false;
    stored = intent;
    ++writes;
    // After a lost response the holder sends no order; its next step reads the intent again.
    return !std::exchange(m_store->losesResponse, false);
}

void FleetSimulation::send(Daemon& daemon, Engine& engine, const OrderIntent& intent)
{
    bool hasAuthority = m_store->lockHolder == daemon.holder && m_now < m_store->sessionEnd;
    oracle.orderSent(engine.id, intent, hasAuthority);
    engine.pendingOrders.emplace_back(m_now + m_orderDelay, intent);
    deliverOrders(engine);
}

void FleetSimulation::deliverOrders(Engine& engine)
{
    auto pendingOrders = std::exchange(engine.pendingOrders, {});
    for (auto& [at, order] : pendingOrders) {
        if (at > m_now) {
            engine.pendingOrders.emplace_back(at, order);
            continue;
        }
        auto isOlder = std::pair(order.fencingNumber, order.sequence) < std::pair(engine.state.fencingNumber, engine.state.sequence);
        if (isOlder && engine.id.value() == "checking")
            continue;
        if (isDisruptive(engine.state.running, order.desired)) {
            oracle.engineChanged(engine.id, engine.running.size());
            engine.running.clear();
        }
        engine.state = { order.fencingNumber, order.sequence, order.desired, true };
    }
}

} // namespace chestnut::fuzz
