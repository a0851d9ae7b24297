#pragma once

#include "decisions/split/RoleSplit.h"
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

/** Maintains the split of the engines between prefill and decode. One daemon at a time holds the lease and sends orders;
    its fencing number is that of the epoch and the revision of the store at which it acquired the lease. */
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
        TimePoint orderedAt;
    };

    asio::awaitable<void> maintainLease();
    asio::awaitable<Result<void>> acquire();
    /** Removes a key that names this daemon although it does not hold the lease, unless the key has changed. */
    asio::awaitable<void> removeStrayKey();
    void onHolder(const StoreItem&);
    /** The end of a lease that a restore of the store may have removed before its time; in the past if there was no restore. */
    TimePoint formerLeaseEnd() const;
    asio::awaitable<void> manageSplits();
    asio::awaitable<void> adjustSplit(const ServiceProfile&);
    asio::awaitable<void> sendOrder(const ServiceProfile&, StageChange, const DecodeDemand&);
    /** Records whether another daemon holds the lease, as read from the store. */
    void recordHolder(bool isAnother);
    bool mayOrder() const;
    void sampleDemand();
    std::vector<SplitEngine> enginesOf(const ServiceId&) const;
    void expireOrders(const ServiceProfile&);

    asio::io_context& m_context;
    VersionedStore& m_store;
    TimerService& m_timers;
    Log& m_log;
    ReplicaClient& m_replicaClient;
    ReplicaDirectory& m_replicas;
    std::shared_ptr<LoadTracker> m_loadTracker;
    RoutingSource& m_routing;
    RoleManagerSettings m_settings;
    std::shared_ptr<StoreMirror> m_mirror;
    bool m_isHeldByAnother = false;
    TimePoint m_nextAttemptAt; /**< no earlier attempt to acquire the lease */
    StoreLease m_lease;
    uint64_t m_acquiredAt = 0; /**< revision of the store */
    uint64_t m_strayRevision = 0; /**< of a key that names this daemon without a lease; zero: none */
    FencingNumber m_fencingNumber = 0;
    TimePoint m_renewedAt; /**< time including suspend, just before the last successful renewal was sent */
    TimePoint m_ordersAllowedFrom;
    std::map<ServiceId, DecodeDemand> m_demand;
    std::map<ReplicaId, PendingOrder> m_pendingOrders;
    TimePoint m_lastOrderAt;
    TimerSubscription m_sampleTimer;
    bool m_isStopped = false;
};

} // namespace chestnut
