#include "decisions/limits/RequestAllotment.h"

#include <algorithm>
#include <cmath>

namespace chestnut {

namespace {

    /** Keeps calculations with the rate that a replica names in range; far above what a daemon sends. */
    constexpr double mostAllotted = 1e6;

} // namespace

double limitShare(const DemandView& demand)
{
    auto isKnown = demand.knowsOthers && demand.own + demand.others > 0;
    if (!isKnown)
        return 1.0 / std::max(demand.daemons, 1U);
    return demand.own / (demand.own + demand.others);
}

RequestAllotment advanced(const RequestAllotment& allotment, double perSecond, TimePoint now)
{
    auto period = now.time_since_epoch() / allotmentPeriod;
    if (period == allotment.period)
        return allotment;
    auto fraction = allotment.fraction;
    auto allot = [&](int64_t periods) {
        auto requests = fraction + std::min(perSecond * toSeconds(allotmentPeriod) * static_cast<double>(periods), mostAllotted);
        fraction = requests - std::floor(requests);
        return static_cast<int64_t>(requests);
    };
    auto skipped = std::max<int64_t>(period - allotment.period - 1, 0);
    auto missed = skipped > 1 ? allot(skipped - 1) : 0;
    auto unused = skipped > 0 ? allot(1) : std::max<int64_t>(allotment.current, 0);
    // Requests beyond the allotment reduce the following ones.
    if (allotment.left() < 0)
        unused = std::min(allotment.left() + missed + (skipped > 0 ? unused : 0), unused);
    auto current = allot(1);
    return { period, current, unused, fraction };
}

RequestAllotment afterRequest(const RequestAllotment& allotment)
{
    auto next = allotment;
    --(next.previous > 0 ? next.previous : next.current);
    return next;
}

} // namespace chestnut
