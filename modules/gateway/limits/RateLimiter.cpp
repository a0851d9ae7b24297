#include "gateway/limits/RateLimiter.h"

#include <algorithm>
#include <cmath>

namespace chestnut {

namespace {

    /** Time in which a request loses half of its weight in the demand. */
    constexpr Duration demandHalfLife = std::chrono::seconds(1);
    /** The demand at a peer is used for this long after its last report. A daemon that is cut off from its peers does not take
        over their parts of the limits at once. */
    constexpr Duration peerDemandLifetime = std::chrono::seconds(5);
    /** An allotment that was not asked for in this time is erased; a later one begins anew. */
    constexpr Duration allotmentLifetime = std::chrono::seconds(30);

    double decayOver(Duration time)
    {
        return std::exp2(-toSeconds(time) / toSeconds(demandHalfLife));
    }

    std::optional<double> demandFor(const std::vector<RequestDemand>& demands, const ServiceId& service)
    {
        auto found = std::ranges::find(demands, service, &RequestDemand::service);
        return found == demands.end() ? std::nullopt : std::optional(found->perSecond);
    }

} // namespace

RateLimiter::RateLimiter(TimerService& timers, std::function<uint32_t()> daemons, uint64_t seed)
    : m_timers(timers)
    , m_daemons(std::move(daemons))
    , m_random(seed)
{
}

void RateLimiter::recordDemand(const ServiceId& service)
{
    auto now = m_timers.now();
    auto [entry, isNew] = m_own.try_emplace(service, DecayingCount { 0, now });
    auto& [count, at] = entry->second;
    count = count * decayOver(now - at) + 1;
    at = now;
}

double RateLimiter::ownDemand(const ServiceId& service) const
{
    auto found = m_own.find(service);
    if (found == m_own.end())
        return 0;
    const auto& [count, at] = found->second;
    return count * decayOver(m_timers.now() - at) * std::log(2) / toSeconds(demandHalfLife);
}

double RateLimiter::reportedDemand(const ServiceId& service) const
{
    return demandFor(m_reported, service).value_or(0);
}

bool RateLimiter::isRecent(const PeerDemand& demand) const
{
    return m_timers.now() - demand.receivedAt < peerDemandLifetime;
}

DemandView RateLimiter::viewOf(const ServiceId& service) const
{
    DemandView view { reportedDemand(service), 0, false, m_daemons() };
    auto all = m_fleet && isRecent(*m_fleet) ? demandFor(m_fleet->services, service) : std::nullopt;
    if (all) {
        view.others = std::max(*all - view.own, 0.0);
        view.knowsOthers = true;
        return view;
    }
    for (const auto& [daemon, peer] : m_peers) {
        auto demand = isRecent(peer) ? demandFor(peer.services, service) : std::nullopt;
        view.others += demand.value_or(0);
        view.knowsOthers = view.knowsOthers || demand.has_value();
    }
    return view;
}

RequestAllotment& RateLimiter::allotmentFor(const ReplicaEntry& replica, double perSecond)
{
    auto [entry, isNew] = m_allotments.try_emplace(replica.id);
    auto& held = entry->second;
    if (isNew || held.startedAt != replica.startedAt) {
        held = { replica.startedAt, {}, {} };
        held.allotment.fraction = std::uniform_real_distribution<double>(0, 1)(m_random);
    }
    held.usedAt = m_timers.now();
    held.allotment = advanced(held.allotment, perSecond * limitShare(viewOf(replica.service)), m_timers.now());
    return held.allotment;
}

bool RateLimiter::mayRequest(const ReplicaEntry& replica, double perSecond)
{
    return allotmentFor(replica, perSecond).left() > 0;
}

void RateLimiter::recordRequest(const ReplicaEntry& replica, double perSecond)
{
    auto& allotment = allotmentFor(replica, perSecond);
    allotment = afterRequest(allotment);
    forgetUnused();
}

void RateLimiter::forgetUnused()
{
    std::erase_if(m_allotments, [this](const auto& entry) { return m_timers.now() - entry.second.usedAt > allotmentLifetime; });
}

std::vector<RequestDemand> RateLimiter::reportOwnDemand(const std::set<ServiceId>& services)
{
    m_reported.clear();
    for (const auto& service : services)
        m_reported.push_back({ service, ownDemand(service) });
    return m_reported;
}

std::vector<RequestDemand> RateLimiter::demandOf(const std::set<ServiceId>& services, const std::function<bool(const DaemonId&)>& isChosen) const
{
    std::vector<RequestDemand> demands;
    for (const auto& service : services) {
        RequestDemand sum { service, reportedDemand(service) };
        for (const auto& [daemon, peer] : m_peers) {
            if (isChosen(daemon) && isRecent(peer))
                sum.perSecond += demandFor(peer.services, service).value_or(0);
        }
        demands.push_back(std::move(sum));
    }
    return demands;
}

void RateLimiter::setPeerDemand(const DaemonId& daemon, std::vector<RequestDemand> services)
{
    m_peers[daemon] = { std::move(services), m_timers.now() };
    std::erase_if(m_peers, [this](const auto& entry) { return !isRecent(entry.second); });
}

void RateLimiter::removePeer(const DaemonId& daemon)
{
    m_peers.erase(daemon);
}

void RateLimiter::setFleetDemand(std::vector<RequestDemand> services)
{
    m_fleet = PeerDemand { std::move(services), m_timers.now() };
}

} // namespace chestnut
