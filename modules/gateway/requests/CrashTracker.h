#pragma once

#include "base/digest/Digest.h"
#include "base/ids/StrongId.h"
#include "kernel/timers/TimerService.h"

#include <map>
#include <vector>

namespace chestnut {

/** A replica broke off while it ran a request with this content. The client attempt tells a second crash of the same
    replica from a second report of the first. */
struct LostAttempt {
    Digest content;
    RequestId attempt;
    ReplicaId replica;

    auto operator<=>(const LostAttempt&) const = default;
};

/** When the lost attempt was sent and when its loss was noticed. */
struct LostAttemptTimes {
    TimePoint sentAt;
    TimePoint noticedAt;

    bool operator==(const LostAttemptTimes&) const = default;
};

/** A loss as peers tell it: their clocks differ, so it says how long ago things happened. */
struct LostAttemptReport {
    LostAttempt loss;
    Duration age {}; /**< since it was noticed */
    Duration runTime {}; /**< from the send to the loss */

    bool operator==(const LostAttemptReport&) const = default;
};

/** A content that caused losses and was answered all the same. */
struct SuccessReport {
    Digest content;
    Duration age {}; /**< since the answer */

    bool operator==(const SuccessReport&) const = default;
};

/** Losses of replicas by the content of the request that ran there. A request that crashes the replicas that run it comes
    again at any daemon; after three crashes no daemon sends it on. */
class CrashTracker {
public:
    explicit CrashTracker(TimerService&);

    /** Returns whether the loss is new. */
    bool add(const LostAttempt&, TimePoint sentAt);
    bool add(const LostAttemptReport&);
    /** The content has been answered: it did not cause the losses before. */
    void noteServed(const Digest& content) { noteServed({ content, Duration::zero() }); }
    void noteServed(const SuccessReport&);
    /** The replica has answered a request that was sent then: it did not crash just before, whatever broke off there. */
    void replicaAnswered(const ReplicaId&, TimePoint sentAt);
    bool isRefused(const Digest& content) const;
    bool hasAny() const { return !m_losses.empty(); }

    /** Losses of the last seconds, for the peers. */
    std::vector<LostAttemptReport> recent() const;

    /** Contents that were lately answered after a loss, for the peers. */
    std::vector<SuccessReport> recentlyServed() const;

private:
    struct Served {
        TimePoint at;
        bool hadLoss = false; /**< peers may still blame it */
    };

    bool addNew(const LostAttempt&, LostAttemptTimes);
    void expire();

    TimerService& m_timers;
    std::map<LostAttempt, LostAttemptTimes> m_losses;
    std::map<Digest, Served> m_served; /**< contents that were answered while there were losses */
    TimePoint m_expiredAt;
};

} // namespace chestnut
