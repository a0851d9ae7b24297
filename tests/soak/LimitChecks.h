#pragma once

#include "soak/Ledger.h"

#include <deque>
#include <functional>

namespace chestnut::soak {

/** Checks that the daemons together observe the rate limits that replicas state in their responses (LIMIT): in no 4 s from the
    stabilization time on does a replica get more than 1.5 times what it allows, and 5 requests. */
class LimitChecks {
public:
    /** Returns whether a daemon was restarted, frozen or cut off a short time ago, so that its requests do not count. */
    using IsExcused = std::function<bool(const std::string& daemon)>;

    LimitChecks(TimerService&, Ledger&, IsExcused);

    /** Records that the replica states a limit, in requests per second, in its response to the request. */
    void recordNamed(const RequestId&, const ReplicaId&, double limit);
    /** Records that the client has received the response of the replica from the daemon. */
    void recordPassedOn(const std::string& daemon, const RequestId&, const ReplicaId&);
    /** Checks a request that has arrived at the replica: a run or a prefill, also one that the replica refuses. */
    void checkArrival(const std::string& daemon, const ReplicaId&);

    /** Forgets what the daemon has passed on, as its process ended. */
    void excuse(const std::string& daemon);
    /** Ends the limit of a replica that states none, or starts its time anew when its link has changed. */
    void restart(const ReplicaId& replica) { m_replicas.erase(replica); }

private:
    struct NamedLimit {
        TimePoint lastNamedAt;
        double limit = 0;
    };
    struct LimitedReplica {
        TimePoint firstNamedAt;
        std::vector<NamedLimit> limits; /**< in the order in which they were named */
        std::map<std::string, TimePoint> passedOnAt; /**< by daemon, the first time */
        std::deque<TimePoint> arrivals; /**< within one window */
    };
    static double largestLimitSince(const LimitedReplica&, TimePoint);

    TimerService& m_timers;
    Ledger& m_ledger;
    IsExcused m_isExcused;
    std::map<RequestId, ReplicaId> m_limitedResponses;
    std::map<ReplicaId, LimitedReplica> m_replicas;
};

} // namespace chestnut::soak
