#include "gateway/accounts/AccountUseTracker.h"

#include <cmath>
#include <utility>

namespace chestnut {

namespace {

    /** Time in which a request loses half of its weight. Long enough for several requests of an account, and demand changes
        within seconds. */
    constexpr Duration requestHalfLife = std::chrono::seconds(2);
    /** The same for outcomes, of which there are more: a shortage begins and ends within a second. */
    constexpr Duration outcomeHalfLife = std::chrono::milliseconds(500);
    /** The requests of all accounts are scaled this often; between two times the error is at most 4%. */
    constexpr Duration scalePeriod = std::chrono::milliseconds(100);
    /** The use by peers is forgotten after this time without an update, which is several messages. */
    constexpr Duration peerUseLifetime = std::chrono::seconds(2);
    /** A daemon with fewer recent refusals reports its use only when the others are short. The fleet may be short although each
        daemon has refused one request. */
    constexpr double leastReportedRefusals = 0.1; // per second
    /** Weight below which an account is forgotten. */
    constexpr double smallestWeight = 0.01;

    double decayOver(Duration time, Duration halfLife)
    {
        return std::exp2(-toSeconds(time) / toSeconds(halfLife));
    }

    /** The rate, per second, whose sum converges to one. */
    double rateOf(Duration halfLife)
    {
        return std::log(2) / toSeconds(halfLife);
    }

    void addAll(std::map<ServiceId, ServiceUse>& sums, const std::vector<ServiceUse>& list)
    {
        for (const auto& use : list) {
            auto [sum, isNew] = sums.try_emplace(use.service, use);
            if (!isNew)
                add(sum->second, use);
        }
    }

    const ServiceUse* findService(const std::vector<ServiceUse>& list, const ServiceId& service)
    {
        for (const auto& use : list) {
            if (use.service == service)
                return &use;
        }
        return nullptr;
    }

} // namespace

AccountUseTracker::AccountUseTracker(TimerService& timers, uint64_t seed)
    : m_timers(timers)
    , m_random(seed)
{
}

AccountUseTracker::OwnUse& AccountUseTracker::own(const ServiceId& service)
{
    auto now = m_timers.now();
    auto [entry, isNew] = m_own.try_emplace(service);
    auto& use = entry->second;
    if (isNew)
        use.outcomesScaledAt = use.requestedScaledAt = now;
    auto factor = decayOver(now - std::exchange(use.outcomesScaledAt, now), outcomeHalfLife);
    use.admitted *= factor;
    use.refused *= factor;
    if (now - use.requestedScaledAt < scalePeriod)
        return use;
    factor = decayOver(now - std::exchange(use.requestedScaledAt, now), requestHalfLife);
    for (auto& [key, requested] : use.requested)
        requested *= factor;
    std::erase_if(use.requested, [](const auto& item) { return item.second < smallestWeight; });
    return use;
}

bool AccountUseTracker::admit(const ServiceId& service, const AccountId& account, uint32_t priority)
{
    auto& use = own(service);
    use.requested[{ account, priority }] += 1;
    std::uniform_real_distribution<double> chance(0, 1);
    auto isAdmitted = chance(m_random) < partOf(service, account, priority);
    use.admitted += isAdmitted ? 1 : 0;
    return isAdmitted;
}

void AccountUseTracker::recordRefusal(const ServiceId& service)
{
    own(service).refused += 1;
}

double AccountUseTracker::partOf(const ServiceId& service, const AccountId& account, uint32_t priority) const
{
    auto hasFleet = m_fleet && isRecent(*m_fleet) && !m_fleet->services.empty();
    auto use = m_own.find(service);
    // Without any refusal lately there is nothing to sum up.
    if (!hasFleet && m_peers.empty() && (use == m_own.end() || use->second.refused < smallestWeight))
        return 1;
    return admittedPart(combinedUse(service), account, priority);
}

ServiceUse AccountUseTracker::presentUse(const ServiceId& service, const OwnUse& use) const
{
    auto now = m_timers.now();
    auto outcomes = decayOver(now - use.outcomesScaledAt, outcomeHalfLife) * rateOf(outcomeHalfLife);
    auto requests = decayOver(now - use.requestedScaledAt, requestHalfLife) * rateOf(requestHalfLife);
    ServiceUse present { service, use.admitted * outcomes, use.refused * outcomes, {} };
    for (const auto& [key, requested] : use.requested)
        present.accounts.push_back({ key.first, key.second, requested * requests });
    compact(present);
    return present;
}

bool AccountUseTracker::isRecent(const PeerUse& use) const
{
    return m_timers.now() - use.receivedAt < peerUseLifetime;
}

ServiceUse AccountUseTracker::combinedUse(const ServiceId& service) const
{
    if (m_fleet && isRecent(*m_fleet)) {
        if (const auto* use = findService(m_fleet->services, service))
            return *use;
    }
    ServiceUse sum { service, 0, 0, {} };
    if (auto use = m_own.find(service); use != m_own.end())
        sum = presentUse(service, use->second);
    for (const auto& [daemon, peer] : m_peers) {
        const auto* use = isRecent(peer) ? findService(peer.services, service) : nullptr;
        if (use)
            add(sum, *use);
    }
    return sum;
}

std::vector<ServiceUse> AccountUseTracker::ownUse() const
{
    std::vector<ServiceUse> list;
    for (const auto& [service, use] : m_own) {
        auto present = presentUse(service, use);
        if (present.refused >= leastReportedRefusals || isShort(combinedUse(service)))
            list.push_back(std::move(present));
    }
    return list;
}

std::vector<ServiceUse> AccountUseTracker::useOf(const std::function<bool(const DaemonId&)>& isChosen) const
{
    std::map<ServiceId, ServiceUse> sums;
    addAll(sums, ownUse());
    for (const auto& [daemon, peer] : m_peers) {
        if (isChosen(daemon) && isRecent(peer))
            addAll(sums, peer.services);
    }
    std::vector<ServiceUse> list;
    for (auto& [service, sum] : sums) {
        compact(sum);
        list.push_back(std::move(sum));
    }
    return list;
}

void AccountUseTracker::setPeerUse(const DaemonId& daemon, std::vector<ServiceUse> services)
{
    if (services.empty())
        m_peers.erase(daemon);
    else
        m_peers[daemon] = { std::move(services), m_timers.now() };
    std::erase_if(m_peers, [this](const auto& entry) { return !isRecent(entry.second); });
}

void AccountUseTracker::setFleetUse(std::vector<ServiceUse> services)
{
    m_fleet = PeerUse { std::move(services), m_timers.now() };
}

} // namespace chestnut
