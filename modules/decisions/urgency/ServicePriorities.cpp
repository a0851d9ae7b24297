#include "decisions/urgency/ServicePriorities.h"

namespace chestnut {

namespace {

    constexpr EnginePosition ranks = 3;
    /** Positions of the ranks where all requests have the same priority. Engines take requests without a position as 5. */
    constexpr std::array<EnginePosition, ranks> ordersOfSinglePriority { 4, 5, 7 };

} // namespace

std::string_view nameOf(PrefillRank rank)
{
    switch (rank) {
    case PrefillRank::Urgent:
        return "urgent";
    case PrefillRank::Relaxed:
        return "relaxed";
    case PrefillRank::Deferred:
        return "deferred";
    }
    return "urgent";
}

EnginePosition orderOf(PrefillRank rank)
{
    return ordersOfSinglePriority.at(static_cast<size_t>(rank));
}

ServicePriorities::ServicePriorities(std::vector<uint32_t> priorities)
    : m_priorities(std::move(priorities))
{
    std::ranges::sort(m_priorities);
    m_priorities.erase(std::unique(m_priorities.begin(), m_priorities.end()), m_priorities.end());
}

size_t ServicePriorities::levelOf(uint32_t priority) const
{
    auto level = std::ranges::lower_bound(m_priorities, priority) - m_priorities.begin();
    return std::min(static_cast<size_t>(level), levels() - 1);
}

EnginePosition ServicePriorities::ordersOfLevel() const
{
    return std::min(enginePositions / static_cast<EnginePosition>(levels()), ranks);
}

EnginePosition ServicePriorities::firstOrderOf(uint32_t priority) const
{
    if (levels() == 1)
        return 0;
    auto level = levelOf(priority);
    if (ordersOfLevel() == 0)
        return static_cast<EnginePosition>(level * enginePositions / levels());
    return static_cast<EnginePosition>(level) * ordersOfLevel();
}

EnginePosition ServicePriorities::endOrderOf(uint32_t priority) const
{
    if (levels() == 1)
        return enginePositions;
    return firstOrderOf(priority) + std::max(ordersOfLevel(), EnginePosition(1));
}

EnginePosition ServicePriorities::orderOf(uint32_t priority, PrefillRank rank) const
{
    if (levels() == 1)
        return chestnut::orderOf(rank);
    auto first = firstOrderOf(priority);
    auto offset = static_cast<EnginePosition>(rank);
    switch (ordersOfLevel()) {
    case ranks:
        return first + offset;
    case 2:
        return first + (rank == PrefillRank::Deferred ? 1 : 0);
    default:
        return first;
    }
}

bool ServicePriorities::isDeferred(EnginePosition order) const
{
    if (levels() == 1)
        return order >= chestnut::orderOf(PrefillRank::Deferred);
    auto orders = ordersOfLevel();
    return orders > 1 && order % orders == orders - 1;
}

} // namespace chestnut
