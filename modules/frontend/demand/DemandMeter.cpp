#include "frontend/demand/DemandMeter.h"

#include "decisions/leases/Lease.h"

#include <algorithm>
#include <cmath>

namespace chestnut {

using nlohmann::json;

namespace {

    /** Bounds the memory when callers name many models or a peer sends invalid reports. */
    constexpr size_t maximumModels = 64;

    ModelDemand scaled(const ModelDemand& demand, double factor)
    {
        return { demand.prefillTokensPerSecond * factor, demand.decodeTokensPerSecond * factor };
    }

    ModelDemand sum(const ModelDemand& a, const ModelDemand& b)
    {
        return { a.prefillTokensPerSecond + b.prefillTokensPerSecond, a.decodeTokensPerSecond + b.decodeTokensPerSecond };
    }

    double decayFactor(Duration age)
    {
        return std::exp(-toSeconds(age) / toSeconds(DemandMeter::averagingTime));
    }

    /** Numbers of joined engines of one model, by which its demand is split. */
    struct EngineCounts {
        double group = 0;
        double all = 0;
        Region region; /**< of the group */
        std::map<Region, double> byRegion;
    };

    EngineCounts countEngines(const EngineGroupId& group, const ModelId& model, const Configuration& configuration)
    {
        EngineCounts counts;
        for (const auto& [key, engine] : configuration.engines) {
            if (engine.model != model || engine.membership != Membership::Joined)
                continue;
            ++counts.all;
            ++counts.byRegion[engine.region];
            if (groupOf(engine) != group)
                continue;
            ++counts.group;
            counts.region = engine.region;
        }
        return counts;
    }

    /** Share of the demand at a daemon in region `member` that the group serves. */
    double shareOf(const EngineCounts& counts, const Region& member)
    {
        if (member == counts.region)
            return counts.group / counts.byRegion.at(counts.region);
        return counts.byRegion.contains(member) ? 0 : counts.group / counts.all;
    }

    std::optional<ModelId> modelOf(const EngineGroupId& group, const Configuration& configuration)
    {
        for (const auto& [key, engine] : configuration.engines) {
            if (groupOf(engine) == group)
                return engine.model;
        }
        return std::nullopt;
    }

} // namespace

DemandMeter::DemandMeter(DaemonId self)
    : m_self(std::move(self))
{
}

void DemandMeter::recordArrival(const ModelId& model, const WorkEstimate& work, TimePoint now)
{
    if (!m_arrivals.contains(model) && m_arrivals.size() >= maximumModels)
        return;
    auto& arrivals = m_arrivals[model];
    ModelDemand sample { work.prefillTokens, work.decodeTokens };
    arrivals.perSecond = sum(ownRate(model, now), scaled(sample, 1 / toSeconds(averagingTime)));
    arrivals.updatedAt = now;
}

ModelDemand DemandMeter::ownRate(const ModelId& model, TimePoint now) const
{
    auto found = m_arrivals.find(model);
    return found == m_arrivals.end() ? ModelDemand {} : scaled(found->second.perSecond, decayFactor(now - found->second.updatedAt));
}

json DemandMeter::report(TimePoint now) const
{
    std::vector<std::pair<ModelDemand, ModelId>> rates;
    for (const auto& [model, arrivals] : m_arrivals)
        rates.emplace_back(ownRate(model, now), model);
    std::ranges::sort(rates, std::greater(), [](const auto& rate) { return rate.first.prefillTokensPerSecond + rate.first.decodeTokensPerSecond; });
    auto list = json::array();
    for (const auto& [rate, model] : rates) {
        if (list.size() < maximumReportedModels)
            list.push_back(json::array({ model.value(), std::lround(rate.prefillTokensPerSecond), std::lround(rate.decodeTokensPerSecond) }));
    }
    return list;
}

void DemandMeter::merge(const DaemonId& sender, const json& list, TimePoint now)
{
    PeerRates rates { {}, now };
    for (const auto& item : list) {
        ModelDemand demand { item.at(1).get<double>(), item.at(2).get<double>() };
        if (demand.prefillTokensPerSecond >= 0 && demand.decodeTokensPerSecond >= 0 && rates.perSecond.size() < maximumModels)
            rates.perSecond[ModelId(item.at(0).get<std::string>())] = demand;
    }
    m_peers[sender] = std::move(rates);
    std::erase_if(m_peers, [now](const auto& peer) { return now - peer.second.receivedAt > peerRateValidity; });
}

std::optional<ModelDemand> DemandMeter::rateOf(const DaemonId& daemon, const ModelId& model, TimePoint now) const
{
    if (daemon == m_self)
        return ownRate(model, now);
    auto peer = m_peers.find(daemon);
    if (peer == m_peers.end() || now - peer->second.receivedAt > peerRateValidity)
        return std::nullopt;
    auto rate = peer->second.perSecond.find(model);
    return rate == peer->second.perSecond.end() ? ModelDemand {} : rate->second;
}

ModelDemand DemandMeter::groupDemand(const EngineGroupId& group, const Configuration& configuration, std::span<const MemberRecord> members, TimePoint now) const
{
    auto model = modelOf(group, configuration);
    if (!model)
        return {};
    auto counts = countEngines(group, *model, configuration);
    if (counts.group == 0)
        return {};
    ModelDemand total;
    double reportedShares = 0;
    double allShares = 0;
    for (const auto& member : members) {
        auto share = member.state == MemberState::Ready ? shareOf(counts, member.region) : 0;
        allShares += share;
        if (auto rate = rateOf(member.id, *model, now)) {
            total = sum(total, scaled(*rate, share));
            reportedShares += share;
        }
    }
    return reportedShares > 0 ? scaled(total, allShares / reportedShares) : ModelDemand {};
}

ServiceRates mixedRoleRates(std::span<const ReplicaView> views, const AvailabilityZone& zone)
{
    ServiceRates total { 0, 0 };
    double count = 0;
    bool hasZone = std::ranges::any_of(views, [&zone](const ReplicaView& view) { return view.zone == zone; });
    for (const auto& view : views) {
        if (hasZone && view.zone != zone)
            continue;
        auto rates = withRole(view.rates, view.role, EngineRole::Mixed);
        total.prefillTokensPerSecond += rates.prefillTokensPerSecond;
        total.decodeTokensPerSecond += rates.decodeTokensPerSecond;
        ++count;
    }
    return count > 0 ? ServiceRates { total.prefillTokensPerSecond / count, total.decodeTokensPerSecond / count } : ServiceRates {};
}

} // namespace chestnut
