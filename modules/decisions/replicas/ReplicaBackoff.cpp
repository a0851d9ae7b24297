#include "decisions/replicas/ReplicaBackoff.h"

#include <algorithm>

namespace chestnut {

bool applyBackoff(ReplicaBackoffs& backoffs, const ReplicaId& replica, Duration time, TimePoint now)
{
    if (time <= Duration::zero())
        return false;
    auto end = now + std::min(time, longestBackoff);
    auto& present = backoffs.ends[replica];
    if (end <= present)
        return false;
    present = end;
    return true;
}

std::optional<TimePoint> backoffEnd(const ReplicaBackoffs& backoffs, const ReplicaId& replica, TimePoint now)
{
    auto found = backoffs.ends.find(replica);
    if (found == backoffs.ends.end() || now >= found->second)
        return std::nullopt;
    return found->second;
}

void expireBackoffs(ReplicaBackoffs& backoffs, TimePoint now)
{
    std::erase_if(backoffs.ends, [now](const auto& entry) { return now >= entry.second; });
}

} // namespace chestnut
