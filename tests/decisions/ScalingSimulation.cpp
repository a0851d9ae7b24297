#include "decisions/ScalingSimulation.h"

#include <algorithm>

namespace chestnut {

namespace {

    constexpr Duration stepTime = std::chrono::milliseconds(100);
    constexpr Duration samplePeriod = std::chrono::milliseconds(200);
    constexpr Duration decisionPeriod = std::chrono::milliseconds(500);
    constexpr Duration reclaimNotice = std::chrono::milliseconds(2500);
    constexpr Duration drainTime = std::chrono::seconds(3);

    bool isDue(TimePoint now, Duration period)
    {
        return now.time_since_epoch() % period == Duration::zero();
    }

} // namespace

void ScalingSimulation::addReplicas(const std::string& zone, bool isReclaimable, uint32_t count)
{
    auto& pool = m_replicas[{ AvailabilityZone(zone), isReclaimable }];
    pool.insert(pool.end(), count, { m_now, std::nullopt });
}

void ScalingSimulation::reclaim(const std::string& zone)
{
    auto& pool = m_replicas[{ AvailabilityZone(zone), true }];
    std::erase_if(pool, [this](const Replica& replica) { return replica.readyAt > m_now; });
    for (auto& replica : pool)
        replica.leavesAt = replica.leavesAt.value_or(m_now + reclaimNotice);
}

void ScalingSimulation::replaceHolder(bool knowsDemand)
{
    m_memory = {};
    if (!knowsDemand)
        m_demand = {};
}

void ScalingSimulation::run(Duration time)
{
    for (auto end = m_now + time; m_now < end; m_now += stepTime)
        step();
}

void ScalingSimulation::step()
{
    for (auto& [key, pool] : m_replicas)
        std::erase_if(pool, [this](const Replica& replica) { return replica.leavesAt && m_now >= *replica.leavesAt; });
    auto now = demand(toSeconds(elapsed()));
    m_demand.hasStages = hasStages;
    if (isDue(m_now, samplePeriod))
        addSample(m_demand, now, m_now);
    if (isDue(m_now, decisionPeriod))
        decide();
    samples.push_back({ elapsed(), ready(), now, price() });
}

void ScalingSimulation::decide()
{
    auto pools = views();
    auto seen = observePools(m_memory, pools, profile, m_now);
    observations.insert(observations.end(), seen.begin(), seen.end());
    for (const auto& change : decideScaling(profile, { m_demand, pools, isDisturbed }, m_memory, m_now))
        execute(change);
}

void ScalingSimulation::execute(const PoolChange& change)
{
    if (isPlatformDown)
        return;
    auto& pool = m_replicas[change.pool];
    auto isActive = [](const Replica& replica) { return !replica.leavesAt; };
    auto active = static_cast<uint32_t>(std::ranges::count_if(pool, isActive));
    if (change.to > active && unavailable.contains(change.pool)) {
        ++refusals;
        recordUnavailable(m_memory, change.pool, m_now);
        return;
    }
    recordOrder(m_memory, change.pool, change.to, m_now);
    orders.push_back({ elapsed(), change });
    for (; active < change.to; ++active)
        pool.push_back({ m_now + bootTime, std::nullopt });
    for (auto& replica : pool) {
        if (active > change.to && isActive(replica)) {
            replica.leavesAt = m_now + drainTime;
            --active;
        }
    }
}

PoolViews ScalingSimulation::views() const
{
    PoolViews views;
    for (const auto& [key, pool] : m_replicas) {
        auto& view = views[key];
        for (const auto& replica : pool) {
            if (replica.readyAt <= m_now)
                ++(replica.leavesAt ? view.leaving : view.ready);
        }
    }
    return views;
}

double ScalingSimulation::price() const
{
    double sum = 0;
    for (const auto& [key, pool] : m_replicas) {
        auto zonePrice = profile.zonePrices.contains(key.zone) ? profile.zonePrices.at(key.zone) : 1;
        sum += static_cast<double>(pool.size()) * zonePrice * (key.isReclaimable ? profile.reclaimablePriceFactor : 1);
    }
    return sum;
}

uint32_t ScalingSimulation::ready() const
{
    return readyOfKind(false) + readyOfKind(true);
}

uint32_t ScalingSimulation::ready(const std::string& zone, bool isReclaimable) const
{
    auto pools = views();
    auto found = pools.find({ AvailabilityZone(zone), isReclaimable });
    return found == pools.end() ? 0 : found->second.ready;
}

uint32_t ScalingSimulation::readyOfKind(bool isReclaimable) const
{
    uint32_t sum = 0;
    for (const auto& [key, view] : views())
        sum += key.isReclaimable == isReclaimable ? view.ready : 0;
    return sum;
}

uint32_t ScalingSimulation::running() const
{
    size_t sum = 0;
    for (const auto& [key, pool] : m_replicas)
        sum += static_cast<size_t>(std::ranges::count_if(pool, [](const Replica& replica) { return !replica.leavesAt; }));
    return static_cast<uint32_t>(sum);
}

size_t ScalingSimulation::growthsSince(Duration since) const
{
    return static_cast<size_t>(std::ranges::count_if(orders, [since](const Order& order) { return order.at >= since && order.change.to > order.change.from; }));
}

size_t ScalingSimulation::releasesSince(Duration since) const
{
    return static_cast<size_t>(std::ranges::count_if(orders, [since](const Order& order) { return order.at >= since && order.change.to < order.change.from; }));
}

size_t ScalingSimulation::reversalsSince(Duration since) const
{
    std::map<PoolKey, bool> lastWasGrowth;
    size_t reversals = 0;
    for (const auto& [at, change] : orders) {
        auto isGrowth = change.to > change.from;
        auto [last, isFirst] = lastWasGrowth.try_emplace(change.pool, isGrowth);
        if (!isFirst && last->second != isGrowth && at >= since)
            ++reversals;
        last->second = isGrowth;
    }
    return reversals;
}

double ScalingSimulation::meanPriceSince(Duration since) const
{
    double sum = 0;
    size_t count = 0;
    for (const auto& sample : samples) {
        if (sample.at < since)
            continue;
        sum += sample.price;
        ++count;
    }
    return sum / static_cast<double>(std::max<size_t>(count, 1));
}

double ScalingSimulation::lowestCoverageSince(Duration since) const
{
    auto lowest = 1e9;
    for (const auto& sample : samples) {
        auto needed = sample.demand.slotted + sample.demand.prefill;
        if (sample.at >= since && needed > 0)
            lowest = std::min(lowest, sample.ready / needed);
    }
    return lowest;
}

} // namespace chestnut
