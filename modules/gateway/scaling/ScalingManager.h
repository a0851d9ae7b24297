#pragma once

#include "decisions/scaling/ReplicaScaling.h"
#include "gateway/replicas/ReplicaDirectory.h"
#include "gateway/replicas/SpeedTracker.h"
#include "gateway/service/RoutingSource.h"
#include "gateway/tasks/TaskPlatform.h"
#include "kernel/metrics/Metrics.h"

#include <map>
#include <set>

namespace chestnut {

/** Whether this daemon may send calls of singleton tasks, and as whom. */
struct TaskLeaseView {
    std::function<bool(Duration callTime)> mayAct; /**< see FencedLease::mayAct() */
    std::function<TaskAuthority()> authority;
};

/** Orders the numbers of replicas of the services with scaling limits. All daemons sample the demand; the holder of the tasks'
    lease decides and sends the orders. A new holder starts with the replicas that it sees. */
class ScalingManager : public Service {
public:
    static constexpr std::string_view serviceName = "scalingmanager";
    std::string_view name() const final { return serviceName; }

    /** `knowsFleetLoad` returns whether the work of the other daemons is known. */
    ScalingManager(asio::io_context&, TimerService&, Log&, Metrics&, TaskPlatform&, TaskLeaseView, ReplicaDirectory&, std::shared_ptr<LoadTracker>, SpeedTracker&, RoutingSource&, std::function<bool()> knowsFleetLoad);

    void start() override;
    /** Waits for the calls in flight, so that the lease can be given up afterwards. */
    asio::awaitable<void> stop() override;

private:
    /** An order whose response was lost. It may still take effect and replace a later one. */
    struct LostOrder {
        TimePoint lostAt;
        bool isRepeated = false; /**< an order has been acknowledged since then */
    };

    struct ServiceState {
        ServiceDemand demand;
        ScalingMemory memory;
        FencingNumber fencingNumber = 0; /**< of the authority under which the memory was built */
        std::set<AvailabilityZone> calling; /**< zones with a call in flight */
        std::map<PoolKey, LostOrder> lostOrders;
        std::map<PoolKey, TimePoint> nextCallAt; /**< of pools whose last order was refused */
        std::optional<ScalingProfile> profile;
        std::vector<TrafficShare> shares; /**< of all routes to the service */
        std::optional<TimePoint> configuredAt; /**< when the profile or the shares changed */
    };

    void sampleDemand();
    void recordConfiguration(const RouteTable&, const ServiceProfile&, ServiceState&) const;
    asio::awaitable<void> manage();
    void adjustAll();
    void adjust(const ServiceProfile&);
    /** Starts without knowledge when another daemon may have given orders since the last ones. */
    void takeOver(ServiceState&) const;
    void observe(const ServiceProfile&, ServiceState&, const PoolViews&) const;
    PoolViews poolsOf(const ServiceId&) const;
    bool isDisturbed(const ServiceState&) const;
    void addRepetitions(std::vector<PoolChange>&, const ServiceState&, const PoolViews&) const;
    bool mayCall(const ServiceState&, const PoolKey&) const;
    asio::awaitable<void> sendOrder(ServiceProfile, PoolChange);
    void recordResult(ServiceState&, const ServiceId&, const PoolChange&, const Result<TaskResult>&);
    void pauseCalls();
    void logOrder(const ServiceProfile&, const ServiceState&, const PoolChange&) const;
    void logFailure(const ServiceId&, const PoolChange&, std::string_view result, Duration pause) const;
    void publish(const ServiceId&, const ServiceState&, const PoolViews&) const;
    /** Removes the numbers of this daemon from the metrics when it does not hold the lease any more. */
    void withdrawMetrics();

    asio::io_context& m_context;
    TimerService& m_timers;
    Log& m_log;
    Metrics& m_metrics;
    TaskPlatform& m_platform;
    TaskLeaseView m_lease;
    ReplicaDirectory& m_replicas;
    std::shared_ptr<LoadTracker> m_loadTracker;
    SpeedTracker& m_speeds;
    RoutingSource& m_routing;
    std::function<bool()> m_knowsFleetLoad;
    std::map<ServiceId, ServiceState> m_services;
    std::shared_ptr<const RouteTable> m_sampledTable;
    TimePoint m_nextCallAt; /**< of any pool, after a failed call */
    uint32_t m_failedCalls = 0; /**< consecutive */
    TimerSubscription m_sampleTimer;
    bool m_isPublishing = false;
    bool m_isStopped = false;
};

} // namespace chestnut
