#include "decisions/membership/HeartbeatBudget.h"

#include "decisions/membership/Membership.h"

#include <algorithm>

namespace chestnut {

size_t allowedPayloadBytes(HeartbeatBudget& budget, TimePoint now)
{
    auto gained = toSeconds(now - budget.refilledAt) * heartbeatBytesPerSecond;
    budget.available = std::min(budget.available + gained, heartbeatBytesPerSecond * heartbeatBurstSeconds);
    budget.refilledAt = now;
    auto least = static_cast<double>(minimumPayloadBytes);
    return static_cast<size_t>(std::clamp(budget.available, least, static_cast<double>(payloadBytesPerHeartbeat)));
}

void spendHeartbeatBytes(HeartbeatBudget& budget, size_t bytes)
{
    budget.available -= static_cast<double>(bytes);
}

} // namespace chestnut
