#include "soak/LimitChecks.h"

#include <algorithm>

namespace chestnut::soak {

namespace {

    /** Time from the first statement of a limit until it binds; the platform's stable_ms. */
    constexpr Duration stabilizationTime = std::chrono::milliseconds(3000);
    /** Time from a response that a daemon has passed on until its requests count. */
    constexpr Duration reactionTime = std::chrono::milliseconds(500);
    constexpr Duration window = std::chrono::seconds(4);
    constexpr double tolerance = 1.5;
    constexpr double extraRequests = 5;

} // namespace

LimitChecks::LimitChecks(TimerService& timers, Ledger& ledger, IsExcused isExcused)
    : m_timers(timers)
    , m_ledger(ledger)
    , m_isExcused(std::move(isExcused))
{
}

void LimitChecks::recordNamed(const RequestId& request, const ReplicaId& replica, double limit)
{
    auto now = m_timers.now();
    m_limitedResponses.insert_or_assign(request, replica);
    auto& limited = m_replicas.try_emplace(replica, LimitedReplica { now, {}, {}, {} }).first->second;
    if (limited.limits.empty() || limited.limits.back().limit != limit)
        limited.limits.push_back({ now, limit });
    limited.limits.back().lastNamedAt = now;
}

void LimitChecks::recordPassedOn(const std::string& daemon, const RequestId& request, const ReplicaId& replica)
{
    auto response = m_limitedResponses.find(request);
    auto limited = m_replicas.find(replica);
    if (response != m_limitedResponses.end() && response->second == replica && limited != m_replicas.end())
        limited->second.passedOnAt.try_emplace(daemon, m_timers.now());
}

double LimitChecks::largestLimitSince(const LimitedReplica& replica, TimePoint begin)
{
    double largest = 0;
    for (const auto& named : replica.limits) {
        if (named.lastNamedAt >= begin)
            largest = std::max(largest, named.limit);
    }
    // A replica that got no request since still has the limit that it named last.
    return largest > 0 ? largest : replica.limits.back().limit;
}

void LimitChecks::checkArrival(const std::string& daemon, const ReplicaId& replica)
{
    auto found = m_replicas.find(replica);
    if (found == m_replicas.end())
        return;
    auto& limited = found->second;
    auto now = m_timers.now();
    auto passedOn = limited.passedOnAt.find(daemon);
    auto isBound = passedOn != limited.passedOnAt.end() && now >= passedOn->second + reactionTime;
    if (!isBound || now < limited.firstNamedAt + stabilizationTime || m_isExcused(daemon))
        return;
    limited.arrivals.push_back(now);
    std::erase_if(limited.arrivals, [now](TimePoint arrival) { return arrival + window < now; });
    auto limit = largestLimitSince(limited, now - window - reactionTime);
    auto count = limited.arrivals.size();
    if (static_cast<double>(count) <= (tolerance * limit * toSeconds(window)) + extraRequests)
        return;
    // One report for all windows that overlap.
    limited.arrivals.clear();
    m_ledger.reportViolation("LIMIT", std::to_string(count) + " requests reached " + replica.value() + " in " + std::to_string(toSeconds(window)) + " s, the last one from " + daemon + ", though it allows " + std::to_string(limit) + " per second");
}

void LimitChecks::excuse(const std::string& daemon)
{
    for (auto& [replica, limited] : m_replicas)
        limited.passedOnAt.erase(daemon);
}

} // namespace chestnut::soak
