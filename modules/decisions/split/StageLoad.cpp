#include "decisions/split/StageLoad.h"

#include <algorithm>

namespace chestnut {

namespace {

    /** Share of the time for which a prefill engine may have work. Above it prompts wait for each other. */
    constexpr double targetUtilization = 0.5;
    /** Time in which the queued prompts are to be prefilled by additional engines. */
    constexpr double queueSeconds = 1;

    double urgentShareOf(const ReplicaLoad& load)
    {
        return static_cast<double>(std::min(load.urgentRequests, load.requests)) / std::max(load.requests, 1U);
    }

    /** Engines that would work off the queue behind the request in progress within queueSeconds. */
    double enginesForQueue(const ReplicaLoad& load, const std::optional<PrefillSpeed>& speed)
    {
        if (!speed || load.requests < 2)
            return 0;
        auto waiting = static_cast<double>(load.requests - 1) / load.requests;
        return toSeconds(expectedPrefillTime(*speed, load.queuedTokens * waiting)) / queueSeconds;
    }

    double prefillEnginesFor(const ReplicaLoad& load, const std::optional<PrefillSpeed>& speed)
    {
        return load.requests == 0 ? 0 : (1 + enginesForQueue(load, speed)) / targetUtilization;
    }

} // namespace

SlotLoad slotLoadOf(std::span<const ReplicaLoad> loads, EngineStage stage)
{
    SlotLoad sum;
    for (const auto& load : loads) {
        if (load.stage != stage)
            continue;
        sum.requests += load.requests;
        sum.slots = load.slots;
    }
    return sum;
}

double replicasForSlots(double requests, uint32_t slots)
{
    return requests / (std::max(slots, 1U) * targetOccupancy);
}

ReplicaDemand replicaDemandOf(std::span<const ReplicaLoad> loads, const std::optional<PrefillSpeed>& speed)
{
    ReplicaDemand demand;
    for (const auto& load : loads) {
        auto isPrefill = load.stage == EngineStage::Prefill;
        auto replicas = isPrefill ? prefillEnginesFor(load, speed) : replicasForSlots(load.requests, load.slots);
        (isPrefill ? demand.prefill : demand.slotted) += replicas;
        demand.urgent += replicas * urgentShareOf(load);
    }
    return demand;
}

} // namespace chestnut
