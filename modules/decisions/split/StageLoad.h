#pragma once

#include "decisions/replicas/ReplicaRegistry.h"
#include "decisions/speeds/ServiceSpeed.h"

#include <optional>
#include <span>

namespace chestnut {

/** Share of the slots that the mean demand may occupy; the rest absorbs fluctuations. */
constexpr double targetOccupancy = 0.45;

/** The work in flight at one replica, of all daemons. */
struct ReplicaLoad {
    EngineStage stage = EngineStage::None;
    uint32_t slots = 1;
    uint32_t requests = 0;
    uint32_t urgentRequests = 0; /**< among them */
    double queuedTokens = 0; /**< sent and not yet prefilled */

    bool operator==(const ReplicaLoad&) const = default;
};

/** Requests in flight that occupy slots of one stage. */
struct SlotLoad {
    uint32_t requests = 0;
    uint32_t slots = 0; /**< of one replica, the last one in the list; zero: there is none */

    bool operator==(const SlotLoad&) const = default;
};

SlotLoad slotLoadOf(std::span<const ReplicaLoad>, EngineStage);

/** The number of replicas whose slots the requests occupy at targetOccupancy. */
double replicasForSlots(double requests, uint32_t slots);

/** The numbers of replicas that the work in flight at one moment keeps at their target load. */
struct ReplicaDemand {
    double slotted = 0; /**< decode engines, or the servers of a plain service */
    double prefill = 0;
    double urgent = 0; /**< replicas of both kinds for the urgent requests among the work */

    bool operator==(const ReplicaDemand&) const = default;
};

/** Prefill engines count as in use while they have work. The queue beyond one request for each engine counts by the time that
    it takes at the speed of the engines; it is omitted while the speed is unknown. */
ReplicaDemand replicaDemandOf(std::span<const ReplicaLoad>, const std::optional<PrefillSpeed>&);

} // namespace chestnut
