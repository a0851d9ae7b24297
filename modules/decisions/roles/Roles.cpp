#include "decisions/roles/Roles.h"

#include <algorithm>
#include <cmath>

namespace chestnut {

namespace {

    /** Time constant of the averaged demand; the mix shifts within minutes and fluctuates within seconds. */
    constexpr Duration demandTimeConstant = std::chrono::seconds(20);
    /** Work above this share of the engines' time is counted as late. */
    constexpr double usableShare = 0.9;
    constexpr size_t unavailableDivisor = 10;

    /** Rates of a fully loaded engine by role. Only their ratios are used, to scale learned rates to a role that the engine
        has not had yet. The simulated engine of the bench has the same ratios, so the bench does not show the cost of
        a wrong ratio. */
    ServiceRates fullEngineRates(EngineRole role)
    {
        switch (role) {
        case EngineRole::Prefill:
            return { 8200, 14 };
        case EngineRole::Decode:
            return { 4700, 32 };
        case EngineRole::Mixed:
            break;
        }
        return { 6800, 23 };
    }

    struct Supply {
        double engines = 0;
        double guaranteedPrefill = 0; /**< sum of the shares of time that roles guarantee to prefill, in engines */
        double squaredShares = 0; /**< sum of the squares of these shares */
        double prefillTokensPerSecond = 0; /**< if all engines did only this */
        double decodeTokensPerSecond = 0;
    };

    void addEngine(Supply& supply, const RoleEngine& engine, EngineRole role, double sign)
    {
        supply.engines += sign;
        supply.guaranteedPrefill += sign * prefillShareOf(role);
        supply.squaredShares += sign * prefillShareOf(role) * prefillShareOf(role);
        supply.prefillTokensPerSecond += sign * engine.rates.prefillTokensPerSecond;
        supply.decodeTokensPerSecond += sign * engine.rates.decodeTokensPerSecond * engine.slots;
    }

    Supply supplyOf(std::span<const RoleEngine> engines)
    {
        Supply supply;
        for (const auto& engine : engines)
            addEngine(supply, engine, engine.role, 1);
        return supply;
    }

    /** Engine seconds of late work each second. An engine uses time that one kind of work leaves idle for the other, so
        roles matter only when both together exceed the usable time. Late work is weighted by its square over the time
        that the kind needs: a small delay of both kinds is better than a long one of a single kind. */
    double lateWork(const ModelDemand& demand, const Supply& supply)
    {
        if (supply.engines <= 0)
            return demand.prefillTokensPerSecond + demand.decodeTokensPerSecond;
        auto prefill = supply.engines * demand.prefillTokensPerSecond / std::max(1.0, supply.prefillTokensPerSecond);
        auto decode = supply.engines * demand.decodeTokensPerSecond / std::max(1.0, supply.decodeTokensPerSecond);
        auto usable = usableShare * supply.engines;
        auto prefillShare = usableShare * supply.guaranteedPrefill;
        auto latePrefill = std::max(0.0, prefill - std::max(prefillShare, usable - decode));
        auto lateDecode = std::max(0.0, decode - std::max(usable - prefillShare, usable - prefill));
        auto squared = [](double late, double needed) { return needed > 0 ? late * late / needed : 0; };
        return squared(latePrefill, prefill) + squared(lateDecode, decode);
    }

    /** Engine seconds lost each second because decode or prefill is slow at engines whose role does not fit the mix:
        the square of the difference between the guaranteed share and the mix, for the time that engines are busy. */
    double mismatch(const ModelDemand& demand, const Supply& supply)
    {
        auto prefill = demand.prefillTokensPerSecond / std::max(1.0, supply.prefillTokensPerSecond);
        auto decode = demand.decodeTokensPerSecond / std::max(1.0, supply.decodeTokensPerSecond);
        auto busy = prefill + decode;
        if (busy <= 0)
            return 0;
        auto mix = prefill / busy;
        return std::min(1.0, busy) * (supply.squaredShares - 2 * mix * supply.guaranteedPrefill + supply.engines * mix * mix);
    }

    double lostWork(const ModelDemand& demand, const Supply& supply)
    {
        return lateWork(demand, supply) + mismatch(demand, supply);
    }

    bool isOverloaded(const ModelDemand& demand, const Supply& supply)
    {
        auto prefill = demand.prefillTokensPerSecond / std::max(1.0, supply.prefillTokensPerSecond);
        auto decode = demand.decodeTokensPerSecond / std::max(1.0, supply.decodeTokensPerSecond);
        return prefill + decode > 1;
    }

    bool staysAboveFloor(const RoleEngine& engine, std::span<const RoleEngine> engines, uint32_t minimumPerZone)
    {
        auto available = std::ranges::count_if(engines, [&](const RoleEngine& other) {
            return other.zone == engine.zone && !other.isUnavailable;
        });
        return static_cast<uint32_t>(available) > minimumPerZone;
    }

    bool mayChange(const RoleEngine& engine, std::span<const RoleEngine> engines, uint32_t minimumPerZone, TimePoint now)
    {
        return engine.policy == RolePolicy::Automatic && !engine.isUnavailable && now - engine.roleSince >= roleDwell
            && staysAboveFloor(engine, engines, minimumPerZone);
    }

    double gainOf(const ModelDemand& demand, const Supply& supply, const RoleEngine& engine, EngineRole to)
    {
        auto changed = supply;
        addEngine(changed, engine, engine.role, -1);
        auto outageCost = std::max(0.0, lateWork(demand, changed) - lateWork(demand, supply)) * toSeconds(roleChangeCost);
        addEngine(changed, engine, to, 1);
        auto saved = (lostWork(demand, supply) - lostWork(demand, changed)) * toSeconds(roleHorizon - roleChangeCost);
        auto cost = std::max(toSeconds(roleChangeCost), outageCost);
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

ServiceRates withRole(const ServiceRates& rates, EngineRole from, EngineRole to)
{
    auto before = fullEngineRates(from);
    auto after = fullEngineRates(to);
    return { rates.prefillTokensPerSecond * after.prefillTokensPerSecond / before.prefillTokensPerSecond,
        rates.decodeTokensPerSecond * after.decodeTokensPerSecond / before.decodeTokensPerSecond };
}

ModelDemand smoothedDemand(const ModelDemand& mean, const ModelDemand& sample, Duration elapsed)
{
    auto weight = 1 - std::exp(-toSeconds(elapsed) / toSeconds(demandTimeConstant));
    return { mean.prefillTokensPerSecond + (sample.prefillTokensPerSecond - mean.prefillTokensPerSecond) * weight,
        mean.decodeTokensPerSecond + (sample.decodeTokensPerSecond - mean.decodeTokensPerSecond) * weight };
}

std::optional<RoleChange> decideRoleChange(const ModelDemand& demand, std::span<const RoleEngine> engines, uint32_t minimumPerZone, TimePoint now)
{
    auto unavailable = static_cast<size_t>(std::ranges::count_if(engines, &RoleEngine::isUnavailable));
    if (unavailable + 1 > std::max<size_t>(1, engines.size() / unavailableDivisor))
        return std::nullopt;
    auto supply = supplyOf(engines);
    // A role change adds no capacity: while the fleet is overloaded, taking an engine out of service makes it worse.
    if (isOverloaded(demand, supply))
        return std::nullopt;
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
