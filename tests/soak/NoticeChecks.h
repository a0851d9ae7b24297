#pragma once

#include "soak/LimitChecks.h"

namespace chestnut::soak {

/** Checks that a daemon observes what replicas state in their responses to it: that they leave (DRAIN), for how long they
    want no requests from it (BUDGET), or how many they take from all daemons (LIMIT). */
class NoticeChecks {
public:
    NoticeChecks(TimerService&, Ledger&, LimitChecks::IsExcused);

    /** Records that a replica has stated in its response to the request that it leaves. */
    void recordLeaving(const RequestId&, const ReplicaId&);
    /** Records that the client has received the response of the replica from the daemon. */
    void recordPassedOn(const std::string& daemon, const RequestId&, const ReplicaId&);
    /** Records that the replica has refused a request of the daemon and wants none for the given time. */
    void recordShedding(const std::string& daemon, const ReplicaId&, Duration);

    /** Checks a request that a client sent to the daemon and that has arrived at the replica. */
    void checkRequest(const std::string& daemon, const RequestId&, const ReplicaId&);
    /** Checks an arrival at the replica, whether the daemon sent it for a client or for itself. */
    void checkArrival(const std::string& daemon, const ReplicaId&);

    /** Excuses a daemon that was restarted or frozen from what it was told before. */
    void excuse(const std::string& daemon);
    /** Excuses all daemons from the pauses and the limit of a replica whose link has changed. */
    void excuseAll(const ReplicaId&);

    LimitChecks& limits() { return m_limits; }

private:
    struct Pair {
        std::string daemon;
        ReplicaId replica;
        auto operator<=>(const Pair&) const = default;
    };
    struct Pause {
        TimePoint begin;
        TimePoint end;
        int arrivals = 0;
    };

    TimerService& m_timers;
    Ledger& m_ledger;
    LimitChecks m_limits;
    std::map<RequestId, ReplicaId> m_leavingResponses;
    std::map<Pair, TimePoint> m_leavingSince; /**< when the daemon first passed on such a response */
    std::map<Pair, std::vector<Pause>> m_pauses;
};

} // namespace chestnut::soak
