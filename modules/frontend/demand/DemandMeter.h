#pragma once

#include "control/roles/RoleController.h"
#include "decisions/membership/Member.h"
#include "decisions/routing/Routing.h"

#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <span>

namespace chestnut {

/** Measures the arrival rate of work at this daemon and estimates the total rate of all daemons from the peers' reports. */
class DemandMeter {
public:
    /** Time constant of the averaged rates. A new daemon's rates are complete after two to three times as long. */
    static constexpr Duration averagingTime = std::chrono::seconds(10);
    /** A peer's rates are used for this long. With 3 heartbeats/s from random peers, about 30 peers have current rates. */
    static constexpr Duration peerRateValidity = std::chrono::seconds(10);
    /** Limit of the models in one heartbeat. */
    static constexpr size_t maximumReportedModels = 12;

    explicit DemandMeter(DaemonId self);

    /** Records one caller request, once for all its attempts, whether it is admitted or not. */
    void recordArrival(const ModelId&, const WorkEstimate&, TimePoint now);

    /** Arrival rates of one model at this daemon. */
    ModelDemand ownRate(const ModelId&, TimePoint now) const;

    /** This daemon's rates for a heartbeat: the models with the most work, at most maximumReportedModels. */
    nlohmann::json report(TimePoint now) const;
    /** Stores a peer's report. Throws nlohmann::json::exception when it is malformed. */
    void merge(const DaemonId&, const nlohmann::json&, TimePoint now);

    /** Demand for the engines of a model in one zone. A ready member without a current report counts with the mean of the
        members that have one. A member sends to the engines of its own region when the region has any, else to all; the
        demand is split among the groups of these engines by their number of engines. */
    ModelDemand groupDemand(const EngineGroupId&, const Configuration&, std::span<const MemberRecord>, TimePoint now) const;

private:
    struct Arrivals {
        ModelDemand perSecond; /**< at the time of the last arrival */
        TimePoint updatedAt;
    };
    struct PeerRates {
        std::map<ModelId, ModelDemand> perSecond;
        TimePoint receivedAt;
    };

    std::optional<ModelDemand> rateOf(const DaemonId&, const ModelId&, TimePoint now) const;

    DaemonId m_self;
    std::map<ModelId, Arrivals> m_arrivals;
    std::map<DaemonId, PeerRates> m_peers;
};

/** The mean of the learned rates of a zone's replicas, or of all replicas when the zone has none, converted to the rates
    that the engines would have in the mixed role. */
ServiceRates mixedRoleRates(std::span<const ReplicaView>, const AvailabilityZone&);

} // namespace chestnut
