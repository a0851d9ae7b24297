#include "decisions/retries/Retries.h"

#include <algorithm>

namespace chestnut {

namespace {

    constexpr uint32_t maximumAttempts = 3;
    constexpr uint32_t maximumBackendsLost = 1;
    constexpr Duration firstBackoff = std::chrono::milliseconds(25);
    constexpr Duration maximumBackoff = std::chrono::seconds(2);

    /** Whether another attempt can end differently. */
    bool isTransient(ErrorKind kind)
    {
        switch (kind) {
        case ErrorKind::Overloaded:
        case ErrorKind::NoBackend:
        case ErrorKind::NotReady:
        case ErrorKind::Leaving:
        case ErrorKind::ConnectFailed:
        case ErrorKind::BackendFailed:
        case ErrorKind::StreamLost:
        case ErrorKind::ProtocolError:
        case ErrorKind::OutcomeUnknown:
            return true;
        default:
            return false;
        }
    }

    bool isSafeToRetry(const RetryQuery& query)
    {
        return query.isIdempotent || describe(query.failure).outcome == Outcome::NotRun;
    }

    /** Exponential backoff with full jitter. */
    Duration backoff(uint32_t attemptsSoFar, RandomGenerator& random)
    {
        auto doublings = std::min(attemptsSoFar > 0 ? attemptsSoFar - 1 : 0, 10U);
        auto longest = std::min(maximumBackoff, firstBackoff * (1U << doublings));
        std::uniform_int_distribution<Duration::rep> jitter(0, longest.count());
        return Duration(jitter(random));
    }

} // namespace

RetryBudget withRequest(const RetryBudget& budget)
{
    auto result = budget;
    result.tokens = std::min(budget.tokens + budget.tokensPerRequest, budget.maximumTokens);
    return result;
}

RetryDecision decideRetry(const RetryQuery& query, const RetryBudget& budget, TimePoint now, RandomGenerator& random)
{
    RetryDecision decision { false, Duration::zero(), budget };
    if (!isTransient(query.failure) || !isSafeToRetry(query))
        return decision;
    if (query.attemptsSoFar >= maximumAttempts || query.backendsLost > maximumBackendsLost || budget.tokens < 1)
        return decision;
    auto delay = backoff(query.attemptsSoFar, random);
    if (now + delay + query.expectedServiceTime > query.deadline)
        return decision;
    decision.retry = true;
    decision.delay = delay;
    decision.budget.tokens -= 1;
    return decision;
}

} // namespace chestnut
