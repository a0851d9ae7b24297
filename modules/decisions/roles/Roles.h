#pragma once

#include "base/ids/StrongId.h"
#include "base/time/TimePoint.h"
#include "decisions/estimates/WorkEstimate.h"
#include "decisions/tickets/Configuration.h"

#include <optional>
#include <span>
#include <string>
#include <vector>

namespace chestnut {

/** Time over which the gain of a role change is summed up. */
constexpr Duration roleHorizon = std::chrono::seconds(120);
/** Time that an engine is unavailable during a role change. */
constexpr Duration roleChangeCost = std::chrono::seconds(8);
/** Minimum time between two role changes of an engine. */
constexpr Duration roleDwell = std::chrono::seconds(60);
/** The gain of a role change must exceed its cost by this share. */
constexpr double roleDeadBand = 0.2;

/** Share of an engine's time that its role guarantees to prefill while both kinds of work wait, 0 to 1. */
double prefillShareOf(EngineRole);

/** The rates of an engine after its role has changed, scaled by those of full engines in ./scripts/bench: 8,200 and 14
    tokens/s with the role prefill, 4,700 and 32 with decode, 6,800 and 23 with mixed. */
ServiceRates withRole(const ServiceRates&, EngineRole from, EngineRole to);

/** Demand of one model for prefill and decode. */
struct ModelDemand {
    double prefillTokensPerSecond = 0;
    double decodeTokensPerSecond = 0;

    auto operator<=>(const ModelDemand&) const = default;
};

struct RoleEngine {
    EngineId id;
    AvailabilityZone zone;
    EngineRole role = EngineRole::Mixed;
    RolePolicy policy = RolePolicy::Automatic;
    ServiceRates rates;
    uint32_t slots = 32;
    bool isUnavailable = false; /**< changing, loading or draining */
    TimePoint roleSince;
};

struct RoleChange {
    EngineId engine;
    EngineRole from = EngineRole::Mixed;
    EngineRole to = EngineRole::Mixed;
    double expectedGain = 0; /**< seconds of work saved over the horizon, beyond the cost */
};

/** Exponential moving average of the demand, so that a fluctuation of seconds changes no role. */
ModelDemand smoothedDemand(const ModelDemand& mean, const ModelDemand& sample, Duration elapsed);

/** Decides at most one role change for the engines of one model. */
std::optional<RoleChange> decideRoleChange(const ModelDemand&, std::span<const RoleEngine>, uint32_t minimumPerZone, TimePoint now);

} // namespace chestnut
