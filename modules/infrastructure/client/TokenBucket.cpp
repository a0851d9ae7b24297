#include "infrastructure/client/TokenBucket.h"

#include <algorithm>
#include <cassert>

namespace chestnut {

TokenBucket::TokenBucket(double rate, double burst, TimePoint now)
    : m_rate(rate)
    , m_burst(burst)
    , m_tokens(burst)
    , m_refilledAt(now)
{
    assert(rate > 0 && burst > 0);
}

void TokenBucket::refill(TimePoint now)
{
    m_tokens = std::min(m_burst, m_tokens + toSeconds(now - m_refilledAt) * m_rate);
    m_refilledAt = now;
}

std::optional<Duration> TokenBucket::reserve(TimePoint now, Duration maximumDelay)
{
    refill(now);
    auto delay = m_tokens >= 1 ? Duration::zero() : fromSeconds((1 - m_tokens) / m_rate);
    if (delay > maximumDelay)
        return std::nullopt;
    m_tokens -= 1;
    return delay;
}

void TokenBucket::discardTokens(TimePoint now)
{
    refill(now);
    m_tokens = std::min(m_tokens, 0.0);
}

} // namespace chestnut
