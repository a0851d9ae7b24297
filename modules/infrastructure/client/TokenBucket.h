#pragma once

#include "base/time/TimePoint.h"

#include <optional>

namespace chestnut {

/** A token-bucket rate limiter. A reservation returns how long the caller must wait before its call. */
class TokenBucket {
public:
    /** `rate` is in calls a second; `burst` is the number of calls that may start without waiting. Asserts that both are
        positive. */
    TokenBucket(double rate, double burst, TimePoint now);

    /** Takes a token and returns the delay until the call may start. Takes none and returns nothing when the delay would
        exceed `maximumDelay`. */
    std::optional<Duration> reserve(TimePoint now, Duration maximumDelay);

    /** Discards the accumulated tokens, so that the next calls start at the steady rate and not in a burst. */
    void discardTokens(TimePoint now);

private:
    void refill(TimePoint now);

    double m_rate;
    double m_burst;
    double m_tokens; // negative while callers are waiting
    TimePoint m_refilledAt;
};

} // namespace chestnut
