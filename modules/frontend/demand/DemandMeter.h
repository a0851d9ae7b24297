#pragma once

#include "control/roles/RoleController.h"
#include "decisions/membership/Member.h"
#include "decisions/routing/Routing.h"

#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <span>

namespace chestnut {

/** Measures how fast work arrives at this daemon and estimates from peers' rates how fast it arrives everywhere. */
class DemandMeter {
public:
    /** Rates are averaged over this time. It takes two to three times as long until a new daemon's rates are complete. */
    static constexpr Duration memory = std::chrono::seconds(10);
    /** A peer's rates are used for this long. With 3 heartbeats/s from random peers, about 30 peers are known. */
    static constexpr Duration peerLifetime = std::chrono::seconds(10);
    static constexpr size_t maximumReported = 12;

    explicit DemandMeter(DaemonId self);

    /** Counts one caller request, once for all its attempts, whether it is admitted or not. */
    void arrived(const ModelId&, const WorkEstimate&, TimePoint now);

    /** Rates of this daemon's arrivals for one model. */
    MixDemand own(const ModelId&, TimePoint now) const;

    /** Own rates for a heartbeat: the models with the most work, at most maximumReported. */
    nlohmann::json report(TimePoint now) const;
    /** Takes over a peer's report. Throws nlohmann::json::exception when it is malformed. */
    void merge(const DaemonId&, const nlohmann::json&, TimePoint now);

    /** Demand for the engines of a model in one zone. A ready member that was not heard lately counts with the mean of
        those that were. A member sends to the engines of its own region when the region has any, else to all; within
        these the demand is split by the number of engines. */
    MixDemand groupDemand(const EngineGroupId&, const Configuration&, std::span<const MemberRecord>, TimePoint now) const;

private:
    struct Arrivals {
        MixDemand perSecond; /**< at the time of the last arrival */
        TimePoint updatedAt;
    };
    struct PeerRates {
        std::map<ModelId, MixDemand> perSecond;
        TimePoint heardAt;
    };

    std::optional<MixDemand> rateOf(const DaemonId&, const ModelId&, TimePoint now) const;

    DaemonId m_self;
    std::map<ModelId, Arrivals> m_arrivals;
    std::map<DaemonId, PeerRates> m_peers;
};

/** The mean of the learned rates of the replicas in a zone, or of all when the zone has none, as those of a mixed
    engine: what the roles add is taken out. */
ServiceRates neutralRates(std::span<const ReplicaView>, const AvailabilityZone&);

} // namespace chestnut
