#pragma once

#include "decisions/split/RoleSplit.h"
#include "gateway/replicas/ReplicaDirectory.h"
#include "gateway/requests/ReplicaClient.h"
#include "gateway/service/RoutingSource.h"

#include <map>

namespace chestnut {

/** Bounds on the holder of the authority over the engines. */
struct RoleManagerSettings {
    DaemonId self;
    /** After a takeover no order is given for this long, so that none of the former holder can still be on its way. */
    Duration takeoverWait = std::chrono::seconds(3);
    /** Daemons that may try to take the lease at the same time. */
    std::function<uint32_t()> candidates = [] { return 1; };
};

/** Keeps the split of the engines between prefill and decode. One daemon at a time holds the lease and gives orders; the
    revision at which it took the lease is its fencing number. */
class RoleManager : public Service {
public:
    static constexpr std::string_view serviceName = "rolemanager";
    std::string_view name() const final { return serviceName; }

    /** `mirror` covers the key of the lease. */
    RoleManager(asio::io_context&, VersionedStore&, TimerService&, Log&, std::shared_ptr<StoreMirror> mirror, ReplicaClient&, ReplicaDirectory&, std::shared_ptr<LoadTracker>, RoutingSource&, RoleManagerSettings);

    void start() override;
    asio::awaitable<void> stop() override;
    void setTakeoverWait(Duration wait) { m_settings.takeoverWait = wait; }

private:
    struct PendingOrder {
        EngineStage stage = EngineStage::None;
        TimePoint givenAt;
    };

    asio::awaitable<void> holdLease();
    asio::awaitable<Result<void>> acquire();
    asio::awaitable<void> manageSplits();
    asio::awaitable<void> adjust(const ServiceProfile&);
    asio::awaitable<void> give(const ServiceProfile&, StageChange, const DecodeDemand&);
    bool mayOrder() const;
    void sampleDemand();
    std::vector<SplitEngine> enginesOf(const ServiceId&) const;
    void expireOrders(const ServiceProfile&);

    asio::io_context& m_context;
    VersionedStore& m_store;
    TimerService& m_timers;
    Log& m_log;
    ReplicaClient& m_instances;
    ReplicaDirectory& m_replicas;
    std::shared_ptr<LoadTracker> m_board;
    RoutingSource& m_routing;
    RoleManagerSettings m_settings;
    std::shared_ptr<StoreMirror> m_mirror;
    bool m_isHeldByAnother = false;
    uint64_t m_lease = 0;
    FencingNumber m_fencingNumber = 0;
    TimePoint m_renewedAt; /**< boot time before the renewal was sent */
    TimePoint m_ordersFrom;
    std::map<ServiceId, DecodeDemand> m_demand;
    std::map<ReplicaId, PendingOrder> m_pending;
    TimePoint m_lastOrderAt;
    TimerSubscription m_sampleTimer;
    bool m_isStopped = false;
};

} // namespace chestnut
