#include "gateway/requests/UrgentWork.h"

namespace chestnut {

namespace {

    /** Limits the memory; a service rarely has more than ten priorities. */
    constexpr size_t maximumDemands = 1000;

} // namespace

UrgentWork::UrgentWork(TimerService& timers)
    : m_timers(timers)
{
}

uint32_t UrgentWork::slotsKeptFree(const ServiceId& service, size_t level, std::span<const PlacementView> views)
{
    if (level == 0 || views.empty())
        return 0;
    uint32_t moreUrgent = 0;
    uint32_t slots = 0;
    for (const auto& view : views) {
        moreUrgent += view.moreUrgentRequests;
        slots += view.slots;
    }
    if (m_demands.size() >= maximumDemands)
        m_demands.clear();
    auto& demand = m_demands[{ service, level }];
    demand = withObservation(demand, moreUrgent, m_timers.now());
    return chestnut::slotsKeptFree(demand, slots);
}

} // namespace chestnut
