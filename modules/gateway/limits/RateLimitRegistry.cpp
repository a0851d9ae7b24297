#include "gateway/limits/RateLimitRegistry.h"

#include <algorithm>

namespace chestnut {

namespace {

    /** A limit that differs from the last logged one by this factor is logged; a replica may name a slightly different one in each response. */
    constexpr double loggedFactor = 1.25;

    bool differsByMuch(const RateStatement& left, const RateStatement& right)
    {
        if (left.startedAt != right.startedAt || !left.perSecond || !right.perSecond)
            return left != right;
        return std::max(*left.perSecond, *right.perSecond) > std::min(*left.perSecond, *right.perSecond) * loggedFactor;
    }

} // namespace

RateLimitRegistry::RateLimitRegistry(TimerService& timers, Log& log)
    : m_timers(timers)
    , m_log(log)
{
}

void RateLimitRegistry::recordResponse(const ReplicaId& replica, const RateStatement& statement, TimePoint sentAt, const std::string& request)
{
    if (applyRateStatement(m_limits, replica, statement, sentAt, m_timers.now()))
        logChange(replica, statement, "response", request);
}

void RateLimitRegistry::recordReport(const RateLimitReport& report)
{
    if (applyRateReport(m_limits, report, m_timers.now()))
        logChange(report.replica, report.statement, "peer", {});
}

std::optional<double> RateLimitRegistry::rateOf(const ReplicaId& replica, int64_t startedAt) const
{
    return m_limits.limits.empty() ? std::nullopt : appliedRate(m_limits, replica, startedAt);
}

std::vector<RateLimitReport> RateLimitRegistry::reports() const
{
    return rateReports(m_limits, m_timers.now());
}

void RateLimitRegistry::expire()
{
    auto now = m_timers.now();
    for (const auto& replica : expireRateLimits(m_limits, now))
        logChange(replica, {}, "expiry", {});
}

void RateLimitRegistry::logChange(const ReplicaId& replica, const RateStatement& statement, std::string_view cause, const std::string& request)
{
    auto [logged, isNew] = m_logged.try_emplace(replica, statement);
    if (!isNew && !differsByMuch(statement, logged->second))
        return;
    logged->second = statement;
    if (statement.perSecond)
        m_log.write(EventId::ReplicaRateLimited, { { "replica", replica }, { "per_second", *statement.perSecond }, { "cause", cause }, { "request", request } });
    else {
        m_logged.erase(logged);
        m_log.write(EventId::ReplicaRateLimitEnded, { { "replica", replica }, { "cause", cause }, { "request", request } });
    }
}

} // namespace chestnut
