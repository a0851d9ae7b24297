#pragma once

#include "control/orders/OrderService.h"
#include "decisions/roles/Roles.h"

#include <functional>

namespace chestnut {

/** The functions of decisions/roles, injected so that tests can replace them. */
struct RoleDecisions {
    std::function<MixDemand(const MixDemand& mean, const MixDemand& sample, Duration elapsed)> smooth;
    std::function<std::optional<RoleChange>(const MixDemand&, std::span<const RoleEngine>, uint32_t minimumPerZone, TimePoint now)> decide;
};

/** Current demand for a group's model in the group's zone, and the service rates of its engines. */
struct GroupDemand {
    MixDemand demand;
    ServiceRates rates;
};

/** Adjusts the roles of the engines of the held groups to the demand. */
class RoleController final : public Service {
public:
    static constexpr std::string_view serviceName = "roles";
    std::string_view name() const override { return serviceName; }

    static constexpr Duration period = std::chrono::seconds(5);

    RoleController(OrderService&, ConfigurationService&, TimerService&, Log&, RoleDecisions, std::function<GroupDemand(const EngineGroupId&)> demandOf);

    void start() override;
    asio::awaitable<void> stop() override;

private:
    using Groups = std::map<EngineGroupId, std::vector<RoleEngine>>;

    void tick();
    Groups heldEngines(const Configuration&) const;
    void decideFor(const EngineGroupId&, std::vector<RoleEngine>, uint32_t minimumPerZone);

    OrderService& m_orders;
    ConfigurationService& m_configuration;
    TimerService& m_timers;
    Log& m_log;
    RoleDecisions m_decisions;
    std::function<GroupDemand(const EngineGroupId&)> m_demandOf;
    std::map<EngineGroupId, MixDemand> m_means;
    TimerSubscription m_timer;
};

} // namespace chestnut
