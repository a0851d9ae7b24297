#include "control/roles/RoleController.h"

#include "control/tickets/ConfigurationCodec.h"

namespace chestnut {

RoleController::RoleController(OrderService& orders, ConfigurationService& configuration, TimerService& timers, Log& log, RoleDecisions decisions,
    std::function<GroupDemand(const EngineGroupId&)> demandOf)
    : m_orders(orders)
    , m_configuration(configuration)
    , m_timers(timers)
    , m_log(log)
    , m_decisions(std::move(decisions))
    , m_demandOf(std::move(demandOf))
{
}

void RoleController::start()
{
    m_timer = m_timers.every(period, [this] { tick(); });
}

asio::awaitable<void> RoleController::stop()
{
    m_timer.cancel();
    co_return;
}

RoleController::Groups RoleController::heldEngines(const Configuration& current) const
{
    Groups groups;
    for (const auto& status : m_orders.statuses()) {
        auto engine = current.engines.find(status.engine.value());
        if (engine == current.engines.end())
            continue;
        const auto& spec = engine->second;
        RoleEngine roleEngine { spec.id, spec.zone, status.desired.role, spec.rolePolicy, {}, spec.slots, status.phase != "running", {} };
        roleEngine.roleSince = m_orders.roleSince(spec.id).value_or(m_timers.now());
        groups[status.group].push_back(std::move(roleEngine));
    }
    return groups;
}

void RoleController::tick()
{
    auto current = m_configuration.current();
    if (!current)
        return;
    auto groups = heldEngines(*current);
    std::erase_if(m_means, [&groups](const auto& entry) { return !groups.contains(entry.first); });
    for (auto& [group, engines] : groups)
        decideFor(group, std::move(engines), current->limits.minimumReplicasPerModelZone);
}

void RoleController::decideFor(const EngineGroupId& group, std::vector<RoleEngine> engines, uint32_t minimumPerZone)
{
    auto sample = m_demandOf(group);
    auto [mean, isNew] = m_means.emplace(group, sample.demand);
    if (!isNew)
        mean->second = m_decisions.smooth(mean->second, sample.demand, period);
    for (auto& engine : engines)
        engine.rates = sample.rates;
    auto change = m_decisions.decide(mean->second, engines, minimumPerZone, m_timers.now());
    if (!change || !m_orders.requestRole(change->engine, change->to))
        return;
    m_log.write(EventId::RoleChangeDecided,
        { { "engine", change->engine }, { "group", group }, { "from", nameOf(change->from) }, { "to", nameOf(change->to) }, { "gain_seconds", change->expectedGain },
            { "prefill_tokens_per_second", mean->second.prefillTokensPerSecond }, { "decode_tokens_per_second", mean->second.decodeTokensPerSecond },
            { "engines", engines.size() } });
}

} // namespace chestnut
