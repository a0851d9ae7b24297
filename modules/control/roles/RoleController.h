#pragma once

#include "control/orders/OrderService.h"
#include "decisions/roles/Roles.h"

#include <functional>

namespace chestnut {

/** The functions of decisions/roles, injected so that tests can replace them. */
struct RoleDecisions {
    std::function<ModelDemand(const ModelDemand& mean, const ModelDemand& sample, Duration elapsed)> smooth;
    std::function<std::optional<RoleChange>(const ModelDemand&, std::span<const RoleEngine>, uint32_t minimumPerZone, TimePoint now)> decide;
};

/** Current demand for a group's model in the group's zone, and the service rates of its engines. */
struct GroupDemand {
    ModelDemand demand;
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
    std::map<EngineGroupId, ModelDemand> m_means;
    TimerSubscription m_timer;
};

} // namespace chestnut
