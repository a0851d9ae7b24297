#include "decisions/drains/Drain.h"

#include <algorithm>
#include <tuple>

namespace chestnut {

namespace {

    constexpr size_t unavailableDivisor = 10;

    double readyShare(const DrainCandidate& candidate)
    {
        return candidate.joined == 0 ? 1 : static_cast<double>(candidate.ready) / candidate.joined;
    }

} // namespace

bool isDrained(const DrainProgress& progress, TimePoint now)
{
    if (now - progress.since >= drainTimeout)
        return true;
    auto acknowledgedAt = progress.acknowledgedAt.value_or(progress.requestedAt + drainAcknowledgementTimeout);
    return now >= acknowledgedAt && progress.running == 0U && progress.reportedAt >= acknowledgedAt + dispatchGrace;
}

double slowStartShare(Duration sinceReturn)
{
    auto progress = toSeconds(sinceReturn) / toSeconds(slowStartDuration);
    return std::clamp(slowStartFloor + (1 - slowStartFloor) * progress, slowStartFloor, 1.0);
}

uint32_t maximumUnavailable(size_t joinedReplicas)
{
    if (joinedReplicas <= 2)
        return 1;
    return static_cast<uint32_t>(std::max<size_t>(1, joinedReplicas / unavailableDivisor));
}

std::vector<DrainCandidate> sortedByUrgency(std::vector<DrainCandidate> candidates)
{
    std::ranges::sort(candidates, [](const DrainCandidate& a, const DrainCandidate& b) {
        if (readyShare(a) != readyShare(b))
            return readyShare(a) < readyShare(b);
        return std::tie(a.waitingSince, a.engine) < std::tie(b.waitingSince, b.engine);
    });
    return candidates;
}

} // namespace chestnut
