#include "decisions/roles/Roles.h"

#include <algorithm>
#include <cmath>

namespace chestnut {

namespace {

    /** Demand is averaged over this time; the mix shifts within minutes and swings within seconds. */
    constexpr Duration demandMemory = std::chrono::seconds(20);
    /** Work above this share of a capacity is counted as late. */
    constexpr double usableShare = 0.8;
    constexpr size_t enginesPerAbsence = 10;

    struct Supply {
        double prefillTokensPerSecond = 0;
        double decodeTokensPerSecond = 0;
        double prefillRate = 1; /**< of one engine, largest */
        double decodeRate = 1;
    };

    void addEngine(Supply& supply, const RoleEngine& engine, EngineRole role, double sign)
    {
        auto share = prefillShareOf(role);
        auto decode = engine.rates.decodeTokensPerSecond * engine.slots;
        supply.prefillTokensPerSecond += sign * engine.rates.prefillTokensPerSecond * share;
        supply.decodeTokensPerSecond += sign * decode * (1 - share);
        supply.prefillRate = std::max(supply.prefillRate, engine.rates.prefillTokensPerSecond);
        supply.decodeRate = std::max(supply.decodeRate, decode);
    }

    Supply supplyOf(std::span<const RoleEngine> engines)
    {
        Supply supply;
        for (const auto& engine : engines)
            addEngine(supply, engine, engine.role, 1);
        return supply;
    }

    /** Engine seconds of work each second that exceed the usable capacity of their kind. */
    double lateWork(const MixDemand& demand, const Supply& supply)
    {
        auto prefill = std::max(0.0, demand.prefillTokensPerSecond - usableShare * supply.prefillTokensPerSecond);
        auto decode = std::max(0.0, demand.decodeTokensPerSecond - usableShare * supply.decodeTokensPerSecond);
        return prefill / supply.prefillRate + decode / supply.decodeRate;
    }

    bool staysAboveFloor(const RoleEngine& engine, std::span<const RoleEngine> engines, uint32_t minimumPerZone)
    {
        auto available = std::ranges::count_if(engines, [&](const RoleEngine& other) {
            return other.zone == engine.zone && !other.isAway;
        });
        return static_cast<uint32_t>(available) > minimumPerZone;
    }

    bool mayChange(const RoleEngine& engine, std::span<const RoleEngine> engines, uint32_t minimumPerZone, TimePoint now)
    {
        return engine.policy == RolePolicy::Automatic && !engine.isAway && now - engine.roleSince >= roleDwell
            && staysAboveFloor(engine, engines, minimumPerZone);
    }

    double gainOf(const MixDemand& demand, const Supply& supply, const RoleEngine& engine, EngineRole to)
    {
        auto changed = supply;
        addEngine(changed, engine, engine.role, -1);
        auto away = changed;
        addEngine(changed, engine, to, 1);
        auto before = lateWork(demand, supply);
        auto absence = (lateWork(demand, away) - before) * toSeconds(roleChangeCost);
        auto saved = (before - lateWork(demand, changed)) * toSeconds(roleHorizon - roleChangeCost);
        auto cost = std::max(toSeconds(roleChangeCost), absence);
        return saved - cost * (1 + roleDeadBand);
    }

} // namespace

double prefillShareOf(EngineRole role)
{
    switch (role) {
    case EngineRole::Prefill:
        return 0.8;
    case EngineRole::Decode:
        return 0.2;
    case EngineRole::Mixed:
        break;
    }
    return 0.5;
}

MixDemand smoothedDemand(const MixDemand& mean, const MixDemand& sample, Duration elapsed)
{
    auto weight = 1 - std::exp(-toSeconds(elapsed) / toSeconds(demandMemory));
    return { mean.prefillTokensPerSecond + (sample.prefillTokensPerSecond - mean.prefillTokensPerSecond) * weight,
        mean.decodeTokensPerSecond + (sample.decodeTokensPerSecond - mean.decodeTokensPerSecond) * weight };
}

std::optional<RoleChange> decideRoleChange(const MixDemand& demand, std::span<const RoleEngine> engines, uint32_t minimumPerZone, TimePoint now)
{
    auto away = static_cast<size_t>(std::ranges::count_if(engines, &RoleEngine::isAway));
    if (away + 1 > std::max<size_t>(1, engines.size() / enginesPerAbsence))
        return std::nullopt;
    auto supply = supplyOf(engines);
    std::optional<RoleChange> best;
    for (const auto& engine : engines) {
        if (!mayChange(engine, engines, minimumPerZone, now))
            continue;
        for (auto to : { EngineRole::Mixed, EngineRole::Prefill, EngineRole::Decode }) {
            auto gain = to == engine.role ? 0 : gainOf(demand, supply, engine, to);
            if (gain > 0 && (!best || gain > best->expectedGain))
                best = RoleChange { engine.id, engine.role, to, gain };
        }
    }
    return best;
}

} // namespace chestnut
