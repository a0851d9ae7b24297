#pragma once

#include "decisions/split/RoleSplit.h"
#include "gateway/leases/FencedLease.h"
#include "gateway/replicas/ReplicaDirectory.h"
#include "gateway/requests/ReplicaClient.h"
#include "gateway/service/RoutingSource.h"

#include <map>

namespace chestnut {

/** Settings of the daemon as a candidate for the lease on engine orders. */
struct RoleManagerSettings {
    DaemonId self;
    /** No order is sent for this long after a takeover, so that none of the previous holder is still in transit. */
    Duration takeoverWait = std::chrono::seconds(3);
    /** The number of daemons that may try to acquire the lease at the same time. */
    std::function<uint32_t()> candidates = [] { return 1; };
};

/** Maintains the split of the engines between prefill and decode. One daemon at a time holds the lease and sends orders. */
class RoleManager : public Service {
public:
    static constexpr std::string_view serviceName = "rolemanager";
    std::string_view name() const final { return serviceName; }

    /** `mirror` covers the key of the lease. */
    RoleManager(asio::io_context&, VersionedStore&, TimerService&, Log&, std::shared_ptr<StoreMirror> mirror, ReplicaClient&, ReplicaDirectory&, std::shared_ptr<LoadTracker>, RoutingSource&, RoleManagerSettings);

    void start() override;
    asio::awaitable<void> stop() override;
    bool holdsLease() const { return m_lease.isHeld(); }
    void setTakeoverWait(Duration wait) { m_lease.setTakeoverWait(wait); }

private:
    struct PendingOrder {
        EngineStage stage = EngineStage::None;
        TimePoint orderedAt;
    };

    asio::awaitable<void> manageSplits();
    asio::awaitable<void> adjustSplit(const ServiceProfile&);
    asio::awaitable<void> sendOrder(const ServiceProfile&, StageChange, const DecodeDemand&);
    bool mayOrder() const;
    void sampleDemand();
    std::vector<SplitEngine> enginesOf(const ServiceId&) const;
    void expireOrders(const ServiceProfile&);

    asio::io_context& m_context;
    TimerService& m_timers;
    Log& m_log;
    ReplicaClient& m_replicaClient;
    ReplicaDirectory& m_replicas;
    std::shared_ptr<LoadTracker> m_loadTracker;
    RoutingSource& m_routing;
    FencedLease m_lease;
    FencingNumber m_ordersOf = 0; /**< of the holder that the pending orders belong to */
    std::map<ServiceId, DecodeDemand> m_demand;
    std::map<ReplicaId, PendingOrder> m_pendingOrders;
    TimePoint m_lastOrderAt;
    TimerSubscription m_sampleTimer;
    bool m_isStopped = false;
};

} // namespace chestnut
