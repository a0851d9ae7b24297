#include "decisions/membership/NewsBudget.h"

#include "decisions/membership/Membership.h"

#include <algorithm>

namespace chestnut {

size_t allowedNewsBytes(NewsBudget& budget, TimePoint now)
{
    auto refill = toSeconds(now - budget.refilledAt) * newsBytesPerSecond;
    budget.available = std::min(budget.available + refill, newsBytesPerSecond * newsBurstSeconds);
    budget.refilledAt = now;
    auto minimum = static_cast<double>(leastBudgetedNewsBytes);
    return static_cast<size_t>(std::clamp(budget.available, minimum, static_cast<double>(newsBytesPerHeartbeat)));
}

void spendNewsBytes(NewsBudget& budget, size_t bytes)
{
    budget.available -= static_cast<double>(bytes);
}

} // namespace chestnut
