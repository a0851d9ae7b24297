#pragma once

#include "gateway/accounts/AccountUseTracker.h"
#include "gateway/members/LoadMessage.h"

#include <map>

namespace chestnut {

/** Keys under which the sums of several daemons are stored; those of single daemons are stored under their ids. */
extern const DaemonId fleetKey;
DaemonId zoneKey(const AvailabilityZone&);
bool isSum(const DaemonId&);

/** What the sums in a message stand for at the receiver. */
enum class ReportOrigin : uint8_t {
    Unused, /**< the receiver gets the same sums in other messages */
    Daemon, /**< the sender alone */
    Zone, /**< another zone */
    Fleet, /**< all daemons, the receiver included */
};

/** What daemons report of their requests and of the replicas: speeds, capacities, use by accounts, demand and rate limits. */
class FleetReports {
public:
    FleetReports(LoadTracker&, SpeedTracker&, ReplicaDirectory&);

    void shareAccountUse(AccountUseTracker& accountUse) { m_accountUse = &accountUse; }
    void shareDemand(RateLimiter& rateLimiter) { m_rateLimiter = &rateLimiter; }

    /** Adds the reports of the daemons that the message covers. One such message is sent in each `period`. */
    void addTo(LoadMessage&, Duration period);
    void apply(const LoadMessage&, ReportOrigin);

private:
    std::vector<ServiceSamples> samplesFor(LoadScope) const;
    std::vector<ServiceUse> accountUseFor(LoadScope) const;
    std::vector<RequestDemand> demandFor(LoadScope);
    /** The next capacity samples; all of them follow each other in a few seconds. */
    std::vector<CapacitySamples> nextCapacities(LoadScope, Duration period);
    /** The next rate limits; those of further replicas are in later messages. */
    std::vector<RateLimitReport> nextRateLimits(LoadScope);
    void applySamples(const LoadMessage&, ReportOrigin);
    void applyAccountUse(const LoadMessage&, ReportOrigin);
    void applyDemand(const LoadMessage&, ReportOrigin);
    void applyCapacities(const LoadMessage&, ReportOrigin);

    LoadTracker& m_loadTracker;
    SpeedTracker& m_speeds;
    ReplicaDirectory& m_replicas;
    AccountUseTracker* m_accountUse = nullptr;
    RateLimiter* m_rateLimiter = nullptr;
    std::map<LoadScope, ReplicaId> m_capacityCursors; /**< replica whose samples were sent last */
    std::map<LoadScope, ReplicaId> m_rateLimitCursors; /**< replica whose rate limit was sent last */
};

} // namespace chestnut
