#include "decisions/membership/HeartbeatBudget.h"

#include "decisions/membership/Membership.h"

#include <algorithm>

namespace chestnut {

size_t allowedPayloadBytes(HeartbeatBudget& budget, TimePoint now)
{
    auto refill = toSeconds(now - budget.refilledAt) * heartbeatBytesPerSecond;
    budget.available = std::min(budget.available + refill, heartbeatBytesPerSecond * heartbeatBurstSeconds);
    budget.refilledAt = now;
    auto minimum = static_cast<double>(minimumPayloadBytes);
    return static_cast<size_t>(std::clamp(budget.available, minimum, static_cast<double>(payloadBytesPerHeartbeat)));
}

void spendHeartbeatBytes(HeartbeatBudget& budget, size_t bytes)
{
    budget.available -= static_cast<double>(bytes);
}

} // namespace chestnut
