#pragma once

#include <algorithm>
#include <array>
#include <cassert>
#include <cstdint>
#include <numeric>
#include <span>
#include <string_view>
#include <vector>

namespace chestnut {

/** Position of a request in the order in which an engine admits work: 0 first, 9 last. */
using EnginePosition = uint32_t;
constexpr EnginePosition enginePositions = 10;

/** The order in which an engine serves prefills of one priority. */
enum class PrefillRank : uint8_t {
    Urgent, /**< its objective is among the shortest of the service */
    Relaxed, /**< its objective is much longer, and it can be on time behind urgent ones */
    Deferred, /**< it cannot be on time and must not delay those that can */
};

std::string_view nameOf(PrefillRank);

/** Amounts of work by their position in the order of an engine. */
template <typename Amount>
class ByEnginePosition {
public:
    Amount at(EnginePosition order) const { return m_amounts.at(order); }
    void set(EnginePosition order, Amount amount) { m_amounts.at(order) = amount; }
    /** The sum over all positions from `first` on and before `end`. */
    Amount sum(EnginePosition first = 0, EnginePosition end = enginePositions) const
    {
        assert(first <= end && end <= enginePositions);
        return std::accumulate(m_amounts.begin() + first, m_amounts.begin() + end, Amount {});
    }

    ByEnginePosition& operator+=(const ByEnginePosition& other)
    {
        for (EnginePosition order = 0; order < enginePositions; ++order)
            m_amounts[order] += other.m_amounts[order];
        return *this;
    }

    /** Each amount stays at zero at least. */
    ByEnginePosition& operator-=(const ByEnginePosition& other)
    {
        for (EnginePosition order = 0; order < enginePositions; ++order)
            m_amounts[order] -= std::min(m_amounts[order], other.m_amounts[order]);
        return *this;
    }

    bool operator==(const ByEnginePosition&) const = default;

private:
    std::array<Amount, enginePositions> m_amounts {};
};

/** Tokens that wait for their prefill at an engine. */
using QueuedTokens = ByEnginePosition<double>;
/** Decode requests in flight at an engine. */
using OrderedRequests = ByEnginePosition<uint32_t>;

/** An amount of work at one position. */
template <typename Amount>
ByEnginePosition<Amount> amountAt(Amount amount, EnginePosition order)
{
    ByEnginePosition<Amount> amounts;
    amounts.set(order, amount);
    return amounts;
}

/** The order at the engines of a service whose requests all have the same priority. */
EnginePosition orderOf(PrefillRank);

/** The distinct priorities of the requests to one service, and the order at its engines that follows from them. For peaks of
    demand above the capacity: the positions of a priority precede those of all less urgent ones, also for a request that will be
    late, so that a prompt never waits behind less urgent ones. Within a priority, the rank decides. With more priorities
    than fit, ranks share a position first, then adjacent priorities. */
class ServicePriorities {
public:
    /** All requests have the same priority. */
    ServicePriorities() = default;
    explicit ServicePriorities(std::vector<uint32_t> priorities);

    /** Number of distinct priorities; at least one. */
    size_t levels() const { return std::max(m_priorities.size(), size_t(1)); }
    /** Number of more urgent distinct priorities. */
    size_t levelOf(uint32_t priority) const;
    EnginePosition orderOf(uint32_t priority, PrefillRank) const;
    /** Positions before this one belong to more urgent priorities, if there are any. */
    EnginePosition firstOrderOf(uint32_t priority) const;
    /** Positions from this one on belong to less urgent priorities, if there are any. */
    EnginePosition endOrderOf(uint32_t priority) const;
    /** Whether only prefills that will be late have this position. */
    bool isDeferred(EnginePosition) const;

    bool operator==(const ServicePriorities&) const = default;

private:
    /** Positions of each priority; zero when adjacent priorities share one. */
    EnginePosition ordersOfLevel() const;

    std::vector<uint32_t> m_priorities; /**< ascending */
};

} // namespace chestnut
