#pragma once

#include "base/errors/ErrorKind.h"
#include "base/time/TimePoint.h"
#include "decisions/routing/Routing.h"

namespace chestnut {

/** Tokens of a retry budget: each request adds a share, each retry takes one. */
struct RetryBudget {
    double tokens = 10;
    double maximumTokens = 10;
    double tokensPerRequest = 0.1;

    auto operator<=>(const RetryBudget&) const = default;
};

RetryBudget withRequest(const RetryBudget&);

struct RetryQuery {
    ErrorKind failure = ErrorKind::Internal;
    bool isIdempotent = true;
    uint32_t attemptsSoFar = 1;
    uint32_t backendsLost = 0; /**< attempts that ended with the loss of the backend */
    TimePoint deadline;
    Duration expectedServiceTime {};
};

struct RetryDecision {
    bool retry = false;
    Duration delay {};
    RetryBudget budget; /**< after the decision */
};

/** A call that is not idempotent is retried only when it was not executed. Exponential backoff with full jitter. */
RetryDecision decideRetry(const RetryQuery&, const RetryBudget&, TimePoint now, RandomGenerator&);

} // namespace chestnut
