#pragma once

#include "base/ids/StrongId.h"
#include "base/time/TimePoint.h"
#include "decisions/replicas/ReplicaRegistry.h"

#include <optional>
#include <span>
#include <vector>

namespace chestnut {

/** The demand of one service for decode slots. */
struct DecodeDemand {
    double requests = 0; /**< decodes in flight, over all daemons, smoothed */
    uint32_t slots = 1; /**< of one engine */
    bool isMeasured = false; /**< false until traffic has been seen */

    bool operator==(const DecodeDemand&) const = default;
};

/** One engine as input of the split between the stages. */
struct SplitEngine {
    ReplicaId id;
    AvailabilityZone zone;
    EngineStage stage = EngineStage::None;
    bool isChanging = false; /**< an order to change its stage is in progress */

    bool operator==(const SplitEngine&) const = default;
};

/** How many of the engines should decode. Decode engines are provided for the demand at targetOccupancy, the rest run
    prefill; both stages keep at least minimumEngines where the fleet is large enough. */
size_t desiredDecodeEngines(const DecodeDemand&, size_t engines);

/** Whether the demand exceeds all slots of the decode engines, so that waiting costs more than a superfluous change. */
bool lacksDecodeCapacity(std::span<const SplitEngine>, const DecodeDemand&);

struct StageChange {
    ReplicaId id;
    EngineStage stage = EngineStage::None;

    bool operator==(const StageChange&) const = default;
};

/** The next change towards the desired number; nothing when it is reached, or when the difference is within the dead band
    that keeps a fluctuating mix from moving engines back and forth. Takes the engine from the zone with most engines of its
    stage. */
std::optional<StageChange> nextStageChange(std::span<const SplitEngine>, const DecodeDemand&);

} // namespace chestnut
