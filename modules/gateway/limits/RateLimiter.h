#pragma once

#include "decisions/limits/RequestAllotment.h"
#include "decisions/replicas/ReplicaRegistry.h"
#include "kernel/timers/TimerService.h"

#include <functional>
#include <map>
#include <random>
#include <set>
#include <unordered_map>
#include <vector>

namespace chestnut {

/** The demand of the clients of one or several daemons. */
struct RequestDemand {
    ServiceId service;
    double perSecond = 0; /**< requests */

    bool operator==(const RequestDemand&) const = default;
};

/** Holds this daemon's requests to each rate-limited replica to its part of the limit. The parts follow the demand at the daemons,
    which load messages report, so no daemon decides for another. */
class RateLimiter {
public:
    /** `daemons` returns the number of daemons that serve clients, this one included. */
    RateLimiter(TimerService&, std::function<uint32_t()> daemons, uint64_t seed);

    /** Counts a request of a client. */
    void recordDemand(const ServiceId&);

    /** Whether this daemon may send a request to the replica now. */
    bool mayRequest(const ReplicaEntry&, double perSecond);
    /** Counts a request to the replica, also one that could not be held back. */
    void recordRequest(const ReplicaEntry&, double perSecond);

    /** The demand at this daemon for the given services, as it is reported to peers. */
    std::vector<RequestDemand> reportOwnDemand(const std::set<ServiceId>&);
    /** The last reported demand at this daemon and that at the chosen peers for the given services. */
    std::vector<RequestDemand> demandOf(const std::set<ServiceId>&, const std::function<bool(const DaemonId&)>& isChosen) const;
    void setPeerDemand(const DaemonId&, std::vector<RequestDemand>);
    /** Forgets a peer that serves no clients any more. */
    void removePeer(const DaemonId&);
    /** Replaces the demand at all daemons together, this one included. */
    void setFleetDemand(std::vector<RequestDemand>);

private:
    /** A count of requests that loses weight with time. */
    struct DecayingCount {
        double count = 0;
        TimePoint at;
    };
    struct PeerDemand {
        std::vector<RequestDemand> services;
        TimePoint receivedAt;
    };
    struct ReplicaAllotment {
        int64_t startedAt = 0; /**< of the replica's process */
        RequestAllotment allotment;
        TimePoint usedAt;
    };

    double ownDemand(const ServiceId&) const;
    double reportedDemand(const ServiceId&) const;
    DemandView viewOf(const ServiceId&) const;
    bool isRecent(const PeerDemand&) const;
    RequestAllotment& allotmentFor(const ReplicaEntry&, double perSecond);
    void forgetUnused();

    TimerService& m_timers;
    std::function<uint32_t()> m_daemons;
    std::mt19937_64 m_random;
    std::map<ServiceId, DecayingCount> m_own;
    std::vector<RequestDemand> m_reported; /**< own demand as last reported; the parts are computed from it, so that they add up to one */
    std::unordered_map<DaemonId, PeerDemand> m_peers;
    std::optional<PeerDemand> m_fleet;
    std::map<ReplicaId, ReplicaAllotment> m_allotments;
};

} // namespace chestnut
