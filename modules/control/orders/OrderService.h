#pragma once

#include "backends/engines/EngineClient.h"
#include "control/configuration/ConfigurationService.h"
#include "control/fleet/ReplicaFleet.h"
#include "control/leases/LeaseService.h"

#include <boost/asio/io_context.hpp>

namespace chestnut {

/** The state of one engine as its group's holder sees it. */
struct EngineStatus {
    EngineId engine;
    EngineGroupId group;
    FencingNumber fencingNumber = 0;
    std::string phase; /**< `running`, `draining`, `changing` or `waiting` */
    std::string problem; /**< why it does not run its desired state, or empty */
    Revision revision = 0; /**< of the configuration that the desired state follows from */
    DesiredEngine desired;
    std::optional<ObservedEngine> observed;
};

/** Everything that the services of this module need from outside. */
struct OrderDependencies {
    KeyValueStore& store;
    EngineClient& engines;
    PeerService& peers;
    ConfigurationService& configuration;
    LeaseService& leases;
    ReplicaFleet& fleet;
    TimerService& timers;
    Log& log;
};

/** Brings the engines of the held groups to their desired state: drains, writes the intent, orders and reads back. */
class OrderService final : public Service {
public:
    static constexpr std::string_view serviceName = "orders";
    std::string_view name() const override { return serviceName; }

    OrderService(asio::io_context&, OrderDependencies);
    ~OrderService() override;

    void start() override;
    /** Sends no further order and waits until the ones under way have ended. */
    asio::awaitable<void> stop() override;

    /** Asks for a role of an engine with an automatic role policy. False when its group is not held here, it is away or
        a change waits already. */
    bool requestRole(const EngineId&, EngineRole);

    /** The engines of the held groups. */
    std::vector<EngineStatus> statuses() const;
    std::optional<TimePoint> roleSince(const EngineId&) const;

    struct State;

private:
    asio::io_context& m_context;
    std::shared_ptr<State> m_state;
    TimerSubscription m_timer;
};

} // namespace chestnut
