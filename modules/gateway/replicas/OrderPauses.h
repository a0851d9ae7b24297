#pragma once

#include "decisions/replicas/ReplicaRegistry.h"
#include "kernel/timers/TimerService.h"

#include <functional>
#include <map>
#include <vector>

namespace chestnut {

/** A replica that is executing an order. Only the daemon that sent the order advances the tick, so that daemons that forward
    the report cannot extend the pause indefinitely. */
struct PausedReplica {
    ReplicaId replica;
    uint64_t orderTick = 0; /**< tenths of a second on the clock of the daemon that sent the order */

    bool operator==(const PausedReplica&) const = default;
};

/** The replicas that get no work because they are executing an order from this daemon or a peer. */
class OrderPauses {
public:
    explicit OrderPauses(TimerService&);

    /** Starts a pause until the replica is in the ordered stage. */
    void begin(const ReplicaId&, EngineStage);
    void end(const ReplicaId&);

    /** Applies a peer's report that the replica is executing an order. It gets no work until the reports stop. */
    void applyReport(const PausedReplica&);

    bool isPaused(const ReplicaId&) const;
    std::vector<PausedReplica> pausedReplicas() const;

    /** Ends the pauses of replicas that are in the ordered stage, gone, or paused for too long. `stageOf` returns nothing for a
        replica that is gone. */
    void expire(const std::function<std::optional<EngineStage>(const ReplicaId&)>& stageOf);

private:
    /** An order that a peer has reported. */
    struct PeerPause {
        uint64_t orderTick = 0;
        TimePoint until;
    };
    struct OrderedStage {
        EngineStage stage = EngineStage::None;
        TimePoint orderedAt;
    };

    TimerService& m_timers;
    std::map<ReplicaId, PeerPause> m_pauses;
    std::map<ReplicaId, OrderedStage> m_ordered;
};

} // namespace chestnut
