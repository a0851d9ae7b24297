#include "decisions/split/RoleSplit.h"

#include "decisions/split/StageLoad.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace chestnut {

namespace {

    /** Minimum number of engines of either stage, so that the stage still works after the loss of one. */
    constexpr size_t minimumEngines = 3;
    /** Share of the engines that decode before traffic has been measured. */
    constexpr double initialDecodeShare = 0.35;
    /** Dead band once traffic has been measured: engines by which the split may differ from the desired one, at least this many
        and a share of the desired number in a large fleet. Requests whose prompts have been prefilled are refused when
        decode slots are missing, so the band is wider on the side of too many decode engines. */
    constexpr size_t leastMissing = 1;
    constexpr size_t leastSurplus = 2;
    constexpr size_t missingDivisor = 8;
    constexpr size_t surplusDivisor = 3;

    size_t countOf(std::span<const SplitEngine> engines, EngineStage stage)
    {
        return static_cast<size_t>(std::ranges::count(engines, stage, &SplitEngine::stage));
    }

    const SplitEngine* chooseEngineToChange(std::span<const SplitEngine> engines, EngineStage stage)
    {
        std::map<AvailabilityZone, size_t> enginesOfZone;
        for (const auto& engine : engines) {
            if (engine.stage == stage)
                ++enginesOfZone[engine.zone];
        }
        const SplitEngine* best = nullptr;
        for (const auto& engine : engines) {
            if (engine.stage != stage || engine.isChanging)
                continue;
            if (!best || enginesOfZone[engine.zone] > enginesOfZone[best->zone] || (enginesOfZone[engine.zone] == enginesOfZone[best->zone] && engine.id < best->id))
                best = &engine;
        }
        return best;
    }

} // namespace

size_t desiredDecodeEngines(const DecodeDemand& demand, size_t engines)
{
    if (engines < 2)
        return engines;
    auto desired = demand.isMeasured
        ? static_cast<size_t>(std::ceil(replicasForSlots(demand.requests, demand.slots)))
        : static_cast<size_t>(std::lround(static_cast<double>(engines) * initialDecodeShare));
    auto least = std::min(minimumEngines, engines / 2);
    return std::clamp(desired, least, engines - least);
}

bool lacksDecodeCapacity(std::span<const SplitEngine> engines, const DecodeDemand& demand)
{
    auto present = countOf(engines, EngineStage::Decode);
    return demand.isMeasured && demand.requests > static_cast<double>(present) * demand.slots;
}

std::optional<StageChange> nextStageChange(std::span<const SplitEngine> engines, const DecodeDemand& demand)
{
    auto desired = desiredDecodeEngines(demand, engines.size());
    auto present = countOf(engines, EngineStage::Decode);
    auto missing = demand.isMeasured ? std::max(leastMissing, desired / missingDivisor) : 0;
    auto surplus = demand.isMeasured ? std::max(leastSurplus, desired / surplusDivisor) : 0;
    auto source = EngineStage::None;
    if (present > desired + surplus)
        source = EngineStage::Decode;
    else if (present + missing < desired)
        source = EngineStage::Prefill;
    else
        return std::nullopt;
    const auto* engine = chooseEngineToChange(engines, source);
    if (!engine)
        return std::nullopt;
    return StageChange { engine->id, source == EngineStage::Decode ? EngineStage::Prefill : EngineStage::Decode };
}

} // namespace chestnut
