#pragma once

#include "decisions/limits/RateLimit.h"
#include "kernel/logging/Log.h"
#include "kernel/timers/TimerService.h"

#include <string>
#include <string_view>

namespace chestnut {

/** The rate limits that replicas name in their responses, to this daemon or a peer. */
class RateLimitRegistry {
public:
    RateLimitRegistry(TimerService&, Log&);

    /** Applies a response to this daemon. `request` is named in the log. */
    void recordResponse(const ReplicaId&, const RateStatement&, TimePoint sentAt, const std::string& request);
    void recordReport(const RateLimitReport&);

    /** Requests per second that this process start takes; nothing without a limit. */
    std::optional<double> rateOf(const ReplicaId&, int64_t startedAt) const;

    /** What peers need to know. */
    std::vector<RateLimitReport> reports() const;
    bool isEmpty() const { return m_limits.limits.empty(); }

    /** Forgets limits that are no longer confirmed. Called several times a second. */
    void expire();

private:
    void logChange(const ReplicaId&, const RateStatement&, std::string_view cause, const std::string& request);

    TimerService& m_timers;
    Log& m_log;
    RateLimits m_limits;
    std::map<ReplicaId, RateStatement> m_logged;
};

} // namespace chestnut
