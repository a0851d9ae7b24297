#pragma once

#include "base/digest/Digest.h"
#include "base/ids/StrongId.h"
#include "kernel/timers/TimerService.h"

#include <map>
#include <vector>

namespace chestnut {

/** A replica broke off while it ran a request with this content. The client attempt tells a second crash of the same
    replica from a second report of the first. */
struct CrashLoss {
    Digest content;
    RequestId attempt;
    ReplicaId replica;

    auto operator<=>(const CrashLoss&) const = default;
};

/** Losses of replicas by the content of the request that ran there. A request that crashes the replicas that run it comes
    again at any daemon; after lossesToRefuse losses no daemon sends it on. */
class CrashLosses {
public:
    explicit CrashLosses(TimerService&);

    /** Returns whether the loss is new. */
    bool add(const CrashLoss&);
    /** The content has been answered: it did not cause the losses. */
    void clear(const Digest& content);
    bool isRefused(const Digest& content) const;
    bool hasAny() const { return !m_losses.empty(); }

    /** Losses of the last seconds, for the peers. */
    std::vector<CrashLoss> recent() const;

private:
    void expire();

    TimerService& m_timers;
    std::map<CrashLoss, TimePoint> m_losses;
};

} // namespace chestnut
