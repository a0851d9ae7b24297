#pragma once

#include "decisions/scaling/ReplicaScaling.h"

#include <functional>
#include <set>
#include <vector>

namespace chestnut {

/** Plays the decisions on the number of replicas against a platform in virtual time: replicas boot, are drained and reclaimed, and
    cannot be had at times. */
class ScalingSimulation {
public:
    struct Replica {
        TimePoint readyAt;
        std::optional<TimePoint> leavesAt; /**< it gets no new work until then */
    };
    struct Sample {
        Duration at {};
        uint32_t ready = 0;
        ReplicaDemand demand;
        double price = 0; /**< of all replicas, for each second */
    };
    struct Order {
        Duration at {};
        PoolChange change;
    };

    explicit ScalingSimulation(ScalingProfile serviceProfile)
        : profile(std::move(serviceProfile))
        , bootTime(profile.bootTime)
    {
    }

    void addReplicas(const std::string& zone, bool isReclaimable, uint32_t count);
    /** Takes away the reclaimable replicas of a zone, with a notice of 2.5 s. */
    void reclaim(const std::string& zone);
    /** Another daemon takes over: it knows the replicas, and the demand only if `knowsDemand`. */
    void replaceHolder(bool knowsDemand);
    void run(Duration);

    uint32_t ready() const;
    uint32_t ready(const std::string& zone, bool isReclaimable) const;
    uint32_t readyOfKind(bool isReclaimable) const;
    /** Replicas that serve or boot. */
    uint32_t running() const;
    /** Orders since the time that add or release replicas. */
    size_t growthsSince(Duration) const;
    size_t releasesSince(Duration) const;
    /** Orders of one pool since the time that follow an order in the other direction. */
    size_t reversalsSince(Duration) const;
    double meanPriceSince(Duration) const;
    /** The lowest ratio of the ready replicas to the demand since the time. */
    double lowestCoverageSince(Duration) const;
    Duration elapsed() const { return m_now.time_since_epoch(); }

    ScalingProfile profile;
    Duration bootTime; /**< of the platform, which may differ from the one in the profile */
    std::function<ReplicaDemand(double seconds)> demand = [](double) { return ReplicaDemand {}; };
    bool hasStages = true;
    std::set<PoolKey> unavailable; /**< pools that cannot grow now */
    bool isPlatformDown = false; /**< calls have no effect and no response */
    bool isDisturbed = false;
    std::vector<Sample> samples;
    std::vector<Order> orders;
    std::vector<PoolObservation> observations;
    size_t refusals = 0;

private:
    void step();
    void decide();
    void execute(const PoolChange&);
    PoolViews views() const;
    double price() const;

    TimePoint m_now {};
    std::map<PoolKey, std::vector<Replica>> m_replicas;
    ServiceDemand m_demand;
    ScalingMemory m_memory;
};

} // namespace chestnut
