#include "decisions/membership/NewsBudget.h"

#include "decisions/membership/Membership.h"

#include <algorithm>

namespace chestnut {

size_t allowedNewsBytes(NewsBudget& budget, TimePoint now)
{
    auto gained = toSeconds(now - budget.refilledAt) * newsBytesPerSecond;
    budget.available = std::min(budget.available + gained, newsBytesPerSecond * newsBurstSeconds);
    budget.refilledAt = now;
    auto least = static_cast<double>(leastBudgetedNewsBytes);
    return static_cast<size_t>(std::clamp(budget.available, least, static_cast<double>(newsBytesPerHeartbeat)));
}

void spendNewsBytes(NewsBudget& budget, size_t bytes)
{
    budget.available -= static_cast<double>(bytes);
}

} // namespace chestnut
