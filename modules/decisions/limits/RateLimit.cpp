#include "decisions/limits/RateLimit.h"

#include <algorithm>
#include <limits>

namespace chestnut {

namespace {

    /** A limit that is not confirmed for this long is forgotten; without any request it would be kept for good. */
    constexpr Duration unconfirmedLifetime = std::chrono::seconds(30);
    /** An ended limit is remembered for longer than reports about it are applied. */
    constexpr Duration endedLifetime = longestReportAge + std::chrono::seconds(2);

    double rateOf(const RateStatement& statement)
    {
        return statement.perSecond.value_or(std::numeric_limits<double>::infinity());
    }

    void replace(RateLimit& limit, const RateStatement& statement, TimePoint statedAt, TimePoint now)
    {
        auto isChanged = limit.statement != statement;
        limit = { statement, statedAt, isChanged ? now : limit.learnedAt };
    }

} // namespace

bool applyRateStatement(RateLimits& limits, const ReplicaId& replica, const RateStatement& statement, TimePoint sentAt, TimePoint now)
{
    auto found = limits.limits.find(replica);
    if (found == limits.limits.end()) {
        if (!statement.perSecond)
            return false;
        limits.limits[replica] = { statement, now, now };
        return true;
    }
    auto& limit = found->second;
    if (statement.startedAt < limit.statement.startedAt)
        return false;
    auto isHigher = statement.startedAt == limit.statement.startedAt && rateOf(statement) > rateOf(limit.statement);
    if (isHigher && sentAt < limit.learnedAt)
        return false;
    auto hasChanged = statement.perSecond != limit.statement.perSecond;
    replace(limit, statement, now, now);
    return hasChanged;
}

bool applyRateReport(RateLimits& limits, const RateLimitReport& report, TimePoint now)
{
    if (report.age > longestReportAge)
        return false;
    auto statedAt = now - report.age;
    auto [entry, isNew] = limits.limits.try_emplace(report.replica, RateLimit { report.statement, statedAt, now });
    if (isNew)
        return report.statement.perSecond.has_value();
    auto& limit = entry->second;
    if (report.statement.startedAt < limit.statement.startedAt)
        return false;
    auto isNewStart = report.statement.startedAt > limit.statement.startedAt;
    auto isLower = rateOf(report.statement) < rateOf(limit.statement);
    auto isNewer = statedAt > limit.statedAt || (statedAt == limit.statedAt && isLower);
    if (!isNewStart && !isNewer)
        return false;
    auto hasChanged = report.statement.perSecond != limit.statement.perSecond;
    replace(limit, report.statement, statedAt, now);
    return hasChanged;
}

std::vector<RateLimitReport> rateReports(const RateLimits& limits, TimePoint now)
{
    std::vector<RateLimitReport> reports;
    for (const auto& [replica, limit] : limits.limits) {
        if (auto age = now - limit.statedAt; age <= longestReportAge)
            reports.push_back({ replica, limit.statement, age });
    }
    return reports;
}

std::optional<double> appliedRate(const RateLimits& limits, const ReplicaId& replica, int64_t startedAt)
{
    auto found = limits.limits.find(replica);
    if (found == limits.limits.end())
        return std::nullopt;
    const auto& statement = found->second.statement;
    if (!statement.perSecond || statement.startedAt != startedAt)
        return std::nullopt;
    return std::max(*statement.perSecond, lowestAppliedRate);
}

std::vector<ReplicaId> expireRateLimits(RateLimits& limits, TimePoint now)
{
    std::vector<ReplicaId> expired;
    std::erase_if(limits.limits, [&](const auto& entry) {
        const auto& [replica, limit] = entry;
        auto isInForce = limit.statement.perSecond.has_value();
        if (now - limit.statedAt <= (isInForce ? unconfirmedLifetime : endedLifetime))
            return false;
        if (isInForce)
            expired.push_back(replica);
        return true;
    });
    return expired;
}

} // namespace chestnut
