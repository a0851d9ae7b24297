#include "decisions/replicas/ReplicaBackoff.h"

#include <algorithm>

namespace chestnut {

bool applyBackoff(ReplicaBackoffs& backoffs, const ReplicaId& replica, int64_t startedAt, Duration time, TimePoint now)
{
    if (time <= Duration::zero())
        return false;
    ReplicaBackoff backoff { startedAt, now + std::min(time, longestBackoff) };
    auto [present, isNew] = backoffs.backoffs.try_emplace(replica, backoff);
    if (!isNew && backoff <= present->second)
        return false;
    present->second = backoff;
    return true;
}

std::optional<TimePoint> backoffEnd(const ReplicaBackoffs& backoffs, const ReplicaId& replica, int64_t startedAt, TimePoint now)
{
    auto found = backoffs.backoffs.find(replica);
    if (found == backoffs.backoffs.end() || startedAt > found->second.startedAt || now >= found->second.end)
        return std::nullopt;
    return found->second.end;
}

void expireBackoffs(ReplicaBackoffs& backoffs, TimePoint now)
{
    std::erase_if(backoffs.backoffs, [now](const auto& entry) { return now >= entry.second.end; });
}

} // namespace chestnut
