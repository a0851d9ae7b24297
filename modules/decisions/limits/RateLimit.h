#pragma once

#include "base/ids/StrongId.h"
#include "base/time/TimePoint.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace chestnut {

/** A replica that names a lower rate, such as zero, still gets requests at this rate: only a response shows that its limit has
    ended. Requests per second of all daemons together. */
constexpr double lowestAppliedRate = 0.2;

/** Reports of peers are applied up to this age. At lowestAppliedRate there is a response every 5 s. */
constexpr Duration longestReportAge = std::chrono::seconds(6);

/** What one process start of a replica said in a response about the rate of requests that it takes from all daemons together. */
struct RateStatement {
    int64_t startedAt = 0; /**< Unix milliseconds */
    std::optional<double> perSecond; /**< absent: it names no limit */

    bool operator==(const RateStatement&) const = default;
};

/** The last statement of a replica that this daemon knows of. */
struct RateLimit {
    RateStatement statement;
    TimePoint statedAt; /**< of the last response that said so, to any daemon */
    TimePoint learnedAt; /**< when this daemon learned the value */

    bool operator==(const RateLimit&) const = default;
};

/** A statement as reported by a peer. Ages do not depend on the clocks of the daemons. */
struct RateLimitReport {
    ReplicaId replica;
    RateStatement statement;
    Duration age {}; /**< of the statement */

    bool operator==(const RateLimitReport&) const = default;
};

/** The rate limits of all replicas that name one, or have lately done so. */
struct RateLimits {
    std::map<ReplicaId, RateLimit> limits;
};

/** Applies a response to a request that was sent at `sentAt`. Responses may overtake each other, so a lower rate applies at
    once, and a higher one or none only if the request was sent after the present one was learned. Returns whether the value changed. */
bool applyRateStatement(RateLimits&, const ReplicaId&, const RateStatement&, TimePoint sentAt, TimePoint now);

/** Applies a report if its statement is newer than the present one; of two equally old ones the lower rate applies. Returns
    whether the value changed. */
bool applyRateReport(RateLimits&, const RateLimitReport&, TimePoint now);

/** The statements that peers would apply, those about ended limits too. */
std::vector<RateLimitReport> rateReports(const RateLimits&, TimePoint now);

/** The rate that this process start takes, in requests per second; nothing without a limit. */
std::optional<double> appliedRate(const RateLimits&, const ReplicaId&, int64_t startedAt);

/** Erases limits that no response of any daemon has confirmed for long, and ended ones that no report can contradict any more.
    Returns the replicas whose limits were in force until now. */
std::vector<ReplicaId> expireRateLimits(RateLimits&, TimePoint now);

} // namespace chestnut
