#pragma once

#include "decisions/fairness/AccountShares.h"
#include "kernel/timers/TimerService.h"

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <unordered_map>

namespace chestnut {

/** Tracks which accounts use a service that is short of capacity, over all daemons, and admits requests by their shares. */
class AccountUseTracker {
public:
    AccountUseTracker(TimerService&, uint64_t seed);

    /** Counts a request of an account. Returns whether it may run; it is then expected to be served, else see recordRefusal(). */
    bool admit(const ServiceId&, const AccountId&, uint32_t priority);
    /** Records that an admitted request was refused for lack of capacity. */
    void recordRefusal(const ServiceId&);

    /** The part of the account's requests that is admitted now. */
    double partOf(const ServiceId&, const AccountId&, uint32_t priority) const;

    /** The use by this daemon's requests of the services that are short of capacity. */
    std::vector<ServiceUse> ownUse() const;
    /** The sum for this daemon and the chosen peers. */
    std::vector<ServiceUse> useOf(const std::function<bool(const DaemonId&)>& isChosen) const;
    void setPeerUse(const DaemonId&, std::vector<ServiceUse>);
    /** Replaces the use by all daemons together, which includes the own one. */
    void setFleetUse(std::vector<ServiceUse>);

private:
    using Key = std::pair<AccountId, uint32_t>;

    /** Sums whose parts lose weight with time. */
    struct OwnUse {
        double admitted = 0;
        double refused = 0;
        TimePoint outcomesScaledAt;
        std::map<Key, double> requested;
        TimePoint requestedScaledAt;
    };
    struct PeerUse {
        std::vector<ServiceUse> services;
        TimePoint receivedAt;
    };

    OwnUse& own(const ServiceId&);
    /** The own use with the present weights, as rates. */
    ServiceUse presentUse(const ServiceId&, const OwnUse&) const;
    bool isRecent(const PeerUse&) const;
    /** The use by all daemons, as far as this one knows it. */
    ServiceUse combinedUse(const ServiceId&) const;

    TimerService& m_timers;
    std::mt19937_64 m_random;
    std::map<ServiceId, OwnUse> m_own;
    std::unordered_map<DaemonId, PeerUse> m_peers;
    std::optional<PeerUse> m_fleet;
};

} // namespace chestnut
