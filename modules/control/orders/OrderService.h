#pragma once

#include "backends/engines/EngineClient.h"
#include "control/configuration/ConfigurationService.h"
#include "control/fleet/ReplicaFleet.h"
#include "control/leases/LeaseService.h"

#include <boost/asio/io_context.hpp>

namespace chestnut {

/** The state of one engine as reported by the holder of its group. */
struct EngineStatus {
    EngineId engine;
    EngineGroupId group;
    FencingNumber fencingNumber = 0;
    std::string phase; /**< `running`, `draining`, `changing` or `waiting` */
    std::string problem; /**< why the engine does not run its desired state, or empty */
    Revision revision = 0; /**< of the configuration from which the desired state is derived */
    DesiredEngine desired;
    std::optional<ObservedEngine> observed;
};

/** The services that the OrderService uses. */
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

/** Reconciles the engines of the held groups with their desired state: drain, write the intent, order, read back. */
class OrderService final : public Service {
public:
    static constexpr std::string_view serviceName = "orders";
    std::string_view name() const override { return serviceName; }

    OrderService(asio::io_context&, OrderDependencies);
    ~OrderService() override;

    void start() override;
    /** Stops sending orders and waits until those in progress have ended. */
    asio::awaitable<void> stop() override;

    /** Requests a role for an engine with an automatic role policy. False when its group is not held by this daemon, or
        when the engine is not settled in its desired state or already has a pending role request. */
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
