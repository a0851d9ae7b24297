#include "decisions/scaling/ReplicaScaling.h"

#include <algorithm>
#include <cmath>
#include <span>

namespace chestnut {

namespace {

    /** Least number of replicas of each stage, so that the stage still works after the loss of one. */
    constexpr uint32_t leastOfStage = 3;
    /** The same for regular replicas. */
    constexpr uint32_t leastRegularOfStage = 2;
    /** Releases are decided for a demand that is higher by this share, so that a demand near a whole number of replicas
        does not cause orders in both directions. */
    constexpr double releaseMargin = 0.15;
    /** No replica is released before traffic has been measured for this long: its first seconds say little about its peaks. */
    constexpr Duration observationTime = std::chrono::seconds(15);
    /** No replica is released for this long after replicas were lost. */
    constexpr Duration quietTime = std::chrono::seconds(15);
    /** Least time between two orders that release replicas, and the share of all replicas that one of them may release. Prompt
        caches and the split of the stages need some time to follow. */
    constexpr Duration leastReleasePeriod = std::chrono::seconds(4);
    constexpr uint32_t releaseDivisor = 10;
    /** Ordered replicas that have not appeared after so many boot times count as not coming. */
    constexpr int patienceBoots = 3;
    constexpr Duration leastPatience = std::chrono::seconds(6);
    /** Time until a pool without available replicas is asked again; doubled for each refusal. */
    constexpr Duration firstRetry = std::chrono::seconds(1);
    constexpr Duration longestRetry = std::chrono::seconds(8);

    using ZoneCounts = std::map<AvailabilityZone, uint32_t>;

    struct PricedZone {
        AvailabilityZone zone;
        double price = 1;
    };

    /** Numbers of replicas by zone. */
    struct PoolPlan {
        ZoneCounts regular;
        ZoneCounts reclaimable;
    };

    uint32_t countOf(const ZoneCounts& counts, const AvailabilityZone& zone)
    {
        auto found = counts.find(zone);
        return found == counts.end() ? 0 : found->second;
    }

    uint32_t sumOf(const ZoneCounts& counts)
    {
        uint32_t sum = 0;
        for (const auto& [zone, count] : counts)
            sum += count;
        return sum;
    }

    uint32_t highestOf(const ZoneCounts& counts)
    {
        uint32_t highest = 0;
        for (const auto& [zone, count] : counts)
            highest = std::max(highest, count);
        return highest;
    }

    /** Replicas that are left without the reclaimable ones of the zone that has most of them. */
    uint32_t leftAfterReclaim(const PoolPlan& plan)
    {
        return sumOf(plan.regular) + sumOf(plan.reclaimable) - highestOf(plan.reclaimable);
    }

    /** The zones of the profile and of the replicas, cheapest first. A zone without a price counts as the dearest. */
    std::vector<PricedZone> zonesByPrice(const ScalingProfile& profile, const PoolViews& pools)
    {
        double dearest = profile.zonePrices.empty() ? 1 : 0;
        std::map<AvailabilityZone, double> prices = profile.zonePrices;
        for (const auto& [zone, price] : profile.zonePrices)
            dearest = std::max(dearest, price);
        for (const auto& [pool, view] : pools)
            prices.try_emplace(pool.zone, dearest);
        std::vector<PricedZone> zones;
        zones.reserve(prices.size());
        for (const auto& [zone, price] : prices)
            zones.push_back({ zone, price });
        std::ranges::stable_sort(zones, {}, &PricedZone::price);
        return zones;
    }

    /** Adds one to the first zone with the lowest count that has room below its cap. Returns whether there was one. */
    bool addToFewest(ZoneCounts& counts, std::span<const PricedZone> zones, const ZoneCounts& caps)
    {
        const AvailabilityZone* fewest = nullptr;
        for (const auto& [zone, price] : zones) {
            auto hasRoom = countOf(counts, zone) < countOf(caps, zone);
            if (hasRoom && (!fewest || countOf(counts, zone) < countOf(counts, *fewest)))
                fewest = &zone;
        }
        if (!fewest)
            return false;
        ++counts[*fewest];
        return true;
    }

    /** Regular replicas in the cheapest zones, at most `limit` in one zone where another has room. */
    void addRegular(ZoneCounts& counts, uint32_t replicas, uint32_t limitOfZone, std::span<const PricedZone> zones, const ZoneCounts& caps)
    {
        for (auto limit : { limitOfZone, ~uint32_t(0) }) {
            for (const auto& [zone, price] : zones) {
                while (replicas > 0 && countOf(counts, zone) < std::min(limit, countOf(caps, zone))) {
                    ++counts[zone];
                    --replicas;
                }
            }
        }
    }

    /** Reclaimable replicas in the given zones until `needed` are left after a reclaim, or no zone has room. */
    void addReclaimable(PoolPlan& plan, uint32_t needed, std::span<const PricedZone> zones, const ZoneCounts& caps)
    {
        auto left = leftAfterReclaim(plan);
        if (zones.size() < 2 || left >= needed)
            return;
        // With equal numbers in all zones, those of one zone are the reserve. The rest is added one by one.
        auto level = (needed - std::min(needed, sumOf(plan.regular))) / static_cast<uint32_t>(zones.size() - 1);
        for (const auto& [zone, price] : zones)
            plan.reclaimable[zone] = std::max(countOf(plan.reclaimable, zone), std::min(level, countOf(caps, zone)));
        while (leftAfterReclaim(plan) < needed && addToFewest(plan.reclaimable, zones, caps)) { }
    }

    /** At most half of the regular replicas are in one zone where another has room. */
    uint32_t halfOf(uint32_t replicas)
    {
        return (replicas + 1) / 2;
    }

    ZoneCounts equalCaps(std::span<const PricedZone> zones, uint32_t cap)
    {
        ZoneCounts caps;
        for (const auto& [zone, price] : zones)
            caps[zone] = cap;
        return caps;
    }

    /** What is left of the caps beside other replicas. */
    ZoneCounts roomBeside(ZoneCounts caps, const ZoneCounts& others)
    {
        for (auto& [zone, cap] : caps)
            cap -= std::min(cap, countOf(others, zone));
        return caps;
    }

    double meanPriceOf(std::span<const PricedZone> zones)
    {
        double sum = 0;
        for (const auto& [zone, price] : zones)
            sum += price;
        return sum / static_cast<double>(std::max<size_t>(zones.size(), 1));
    }

    /** The number of zones, of the cheapest ones, in which reclaimable replicas that still serve without those of one zone
        cost least; zero when regular ones cost less. More zones need a smaller reserve, and may be dearer. */
    size_t zonesForReclaimable(const ScalingProfile& profile, std::span<const PricedZone> zones)
    {
        auto lowestPrice = meanPriceOf(zones.first(std::min<size_t>(zones.size(), 2)));
        size_t best = 0;
        for (size_t used = 2; used <= zones.size(); ++used) {
            auto reserve = static_cast<double>(used) / static_cast<double>(used - 1);
            auto price = meanPriceOf(zones.first(used)) * reserve * profile.reclaimablePriceFactor;
            if (price >= lowestPrice)
                continue;
            lowestPrice = price;
            best = used;
        }
        return best;
    }

    /** Whether reclaimable replicas beside the given regular ones fit into the caps with their reserve for a reclaim. */
    bool fitsReserve(uint32_t regular, uint32_t limitOfZone, const ScalingNeed& need, std::span<const PricedZone> zones, const ZoneCounts& caps)
    {
        PoolPlan plan;
        addRegular(plan.regular, regular, limitOfZone, zones, caps);
        addReclaimable(plan, need.total(), zones, roomBeside(caps, plan.regular));
        return leftAfterReclaim(plan) >= need.total();
    }

    struct RegularPlan {
        uint32_t replicas = 0;
        uint32_t limitOfZone = 0; /**< where another zone has room */
    };

    /** Regular replicas of the cheapest plan. They are more than needed when reclaimable ones cost more, or when a reserve
        for a reclaim does not fit into the maximum of the zones; they are then spread evenly, which leaves most room for it. */
    RegularPlan plannedRegular(const ScalingProfile& profile, std::span<const PricedZone> zones, size_t reclaimableZones, const ScalingNeed& need)
    {
        if (reclaimableZones == 0)
            return { need.total(), halfOf(need.total()) };
        auto caps = equalCaps(zones, profile.maximumPerZone);
        if (fitsReserve(need.regular, halfOf(need.regular), need, zones, caps))
            return { need.regular, halfOf(need.regular) };
        auto evenLimit = [&zones](uint32_t regular) { return (regular + static_cast<uint32_t>(zones.size()) - 1) / static_cast<uint32_t>(zones.size()); };
        auto regular = need.regular;
        while (regular < need.total() && !fitsReserve(regular, evenLimit(regular), need, zones, caps))
            ++regular;
        return { regular, evenLimit(regular) };
    }

    Duration patienceOf(const ScalingProfile& profile)
    {
        return std::max(profile.bootTime * patienceBoots, leastPatience);
    }

    uint32_t readyOf(const PoolKey& pool, const PoolViews& pools)
    {
        auto view = pools.find(pool);
        return view == pools.end() ? 0 : view->second.ready;
    }

    bool isUnavailable(const PoolKey& pool, const ScalingMemory& memory, TimePoint now)
    {
        auto remembered = memory.pools.find(pool);
        return remembered != memory.pools.end() && now < remembered->second.unavailableUntil;
    }

    /** The numbers that serve or are expected. */
    PoolPlan expectedPlan(std::span<const PricedZone> zones, const PoolViews& pools, const ScalingMemory& memory)
    {
        PoolPlan plan;
        for (const auto& [zone, price] : zones) {
            plan.regular[zone] = expectedReplicas({ zone, false }, pools, memory);
            plan.reclaimable[zone] = expectedReplicas({ zone, true }, pools, memory);
        }
        return plan;
    }

    /** The numbers that serve now, without those that are about to be released. */
    PoolPlan servingPlan(const PoolPlan& expected, const PoolViews& pools)
    {
        auto serving = expected;
        for (auto& [zone, count] : serving.regular)
            count = std::min(count, readyOf({ zone, false }, pools));
        for (auto& [zone, count] : serving.reclaimable)
            count = std::min(count, readyOf({ zone, true }, pools));
        return serving;
    }

    /** Input of the plans at one moment. */
    struct PlanInput {
        const ScalingProfile& profile;
        std::span<const PricedZone> zones;
        PoolPlan expected;
        PoolPlan limits; /**< numbers that can be had */
    };

    /** The numbers of a kind that can be had in each zone: up to the maximum beside the other kind, and no more than are
        expected where none are available. */
    ZoneCounts limitsOf(const PlanInput& input, bool isReclaimable, const ScalingMemory& memory, TimePoint now)
    {
        const auto& own = isReclaimable ? input.expected.reclaimable : input.expected.regular;
        const auto& others = isReclaimable ? input.expected.regular : input.expected.reclaimable;
        auto limits = roomBeside(equalCaps(input.zones, input.profile.maximumPerZone), others);
        for (auto& [zone, limit] : limits) {
            if (isUnavailable({ zone, isReclaimable }, memory, now))
                limit = std::min(limit, countOf(own, zone));
        }
        return limits;
    }

    /** Raises each zone to the configured minimum, with the cheaper kind if it can be had. */
    void applyMinimum(PoolPlan& plan, const PlanInput& input)
    {
        auto prefersReclaimable = input.profile.reclaimablePriceFactor < 1;
        for (const auto& [zone, price] : input.zones) {
            auto& cheaper = prefersReclaimable ? plan.reclaimable[zone] : plan.regular[zone];
            auto& other = prefersReclaimable ? plan.regular[zone] : plan.reclaimable[zone];
            auto limit = countOf(prefersReclaimable ? input.limits.reclaimable : input.limits.regular, zone);
            while (cheaper + other < input.profile.minimumPerZone && cheaper < limit)
                ++cheaper;
            while (cheaper + other < input.profile.minimumPerZone)
                ++other;
        }
    }

    struct DesiredPlan {
        PoolPlan numbers;
        bool lacksReclaimable = false;
    };

    /** The plan for a need with the replicas that can be had now. */
    DesiredPlan desiredPlan(const PlanInput& input, const ScalingNeed& need)
    {
        auto reclaimableZones = zonesForReclaimable(input.profile, input.zones);
        DesiredPlan plan;
        auto& numbers = plan.numbers;
        auto regular = plannedRegular(input.profile, input.zones, reclaimableZones, need);
        addRegular(numbers.regular, regular.replicas, regular.limitOfZone, input.zones, input.limits.regular);
        if (reclaimableZones > 0) {
            addReclaimable(numbers, need.total(), input.zones.first(reclaimableZones), input.limits.reclaimable);
            // The other zones are used when these have none.
            addReclaimable(numbers, need.total(), input.zones, input.limits.reclaimable);
        }
        // Regular replicas cover the demand itself, not the reserve for a reclaim: reclaimable ones are usually missing for seconds.
        auto planned = std::max(sumOf(numbers.regular), sumOf(input.expected.regular)) + sumOf(numbers.reclaimable);
        if (planned < need.total()) {
            plan.lacksReclaimable = true;
            auto missing = need.total() - sumOf(numbers.regular) - sumOf(numbers.reclaimable);
            addRegular(numbers.regular, missing, halfOf(sumOf(numbers.regular) + missing), input.zones, input.limits.regular);
        }
        applyMinimum(numbers, input);
        return plan;
    }

    /** The expected numbers and what the desired plan adds to them. Regular replicas in the wrong zones are no reason to order
        others. */
    PoolPlan grownPlan(const DesiredPlan& desired, const PlanInput& input)
    {
        auto grown = input.expected;
        for (auto& [zone, number] : grown.reclaimable)
            number = std::max(number, std::min(countOf(desired.numbers.reclaimable, zone), countOf(input.limits.reclaimable, zone)));
        auto limits = input.limits.regular;
        for (auto& [zone, limit] : limits)
            limit = std::min(limit, input.profile.maximumPerZone - std::min(input.profile.maximumPerZone, countOf(grown.reclaimable, zone)));
        auto wanted = sumOf(desired.numbers.regular);
        addRegular(grown.regular, wanted - std::min(wanted, sumOf(grown.regular)), halfOf(std::max(wanted, sumOf(grown.regular))), input.zones, limits);
        applyMinimum(grown, input);
        return grown;
    }

    ScalingReason growthReason(const DesiredPlan& plan, const PlanInput& input, const PoolKey& pool)
    {
        if (plan.lacksReclaimable && !pool.isReclaimable)
            return ScalingReason::NoneReclaimable;
        auto present = countOf(input.expected.regular, pool.zone) + countOf(input.expected.reclaimable, pool.zone);
        return present < input.profile.minimumPerZone ? ScalingReason::Minimum : ScalingReason::Demand;
    }

    void addGrowth(std::vector<PoolChange>& changes, const DesiredPlan& desired, const PlanInput& input)
    {
        auto grown = grownPlan(desired, input);
        for (auto isReclaimable : { true, false }) {
            const auto& before = isReclaimable ? input.expected.reclaimable : input.expected.regular;
            for (const auto& [zone, number] : isReclaimable ? grown.reclaimable : grown.regular) {
                if (auto from = countOf(before, zone); number > from)
                    changes.push_back({ { zone, isReclaimable }, from, number, growthReason(desired, input, { zone, isReclaimable }) });
            }
        }
    }

    bool mayRelease(const ScalingProfile& profile, const ScalingSituation& situation, const ScalingMemory& memory, TimePoint now)
    {
        auto firstSampleAt = situation.demand.slotted.firstSampleAt;
        auto period = std::max(profile.bootTime, leastReleasePeriod);
        return !situation.isDisturbed && firstSampleAt && now - *firstSampleAt >= observationTime
            && (!memory.lostAt || now - *memory.lostAt >= quietTime)
            && (!memory.releasedAt || now - *memory.releasedAt >= period);
    }

    /** Releases replicas of one kind one by one, as long as those that serve cover the need without the released one. */
    class Release {
    public:
        Release(const PlanInput& input, const PoolViews& pools, const ScalingNeed& need)
            : m_input(input)
            , m_need(need)
            , m_serving(servingPlan(input.expected, pools))
            , m_left((sumOf(m_serving.regular) + sumOf(m_serving.reclaimable) + releaseDivisor - 1) / releaseDivisor)
        {
        }

        /** Takes from the zone with the largest surplus over the desired numbers, the dearest first. */
        void run(std::vector<PoolChange>& changes, bool isReclaimable, const ZoneCounts& desired)
        {
            auto numbers = isReclaimable ? m_input.expected.reclaimable : m_input.expected.regular;
            while (m_left > 0) {
                const auto* zone = chooseZone(numbers, isReclaimable, desired);
                if (!zone)
                    break;
                --numbers[*zone];
                --serving(isReclaimable)[*zone];
                --m_left;
            }
            for (const auto& [zone, number] : numbers) {
                auto from = countOf(isReclaimable ? m_input.expected.reclaimable : m_input.expected.regular, zone);
                if (number < from)
                    changes.push_back({ { zone, isReclaimable }, from, number, isReclaimable ? ScalingReason::Surplus : ScalingReason::Replaced });
            }
        }

    private:
        ZoneCounts& serving(bool isReclaimable) { return isReclaimable ? m_serving.reclaimable : m_serving.regular; }

        bool isDispensable(const AvailabilityZone& zone, bool isReclaimable) const
        {
            auto after = m_serving;
            auto& counts = isReclaimable ? after.reclaimable : after.regular;
            if (countOf(counts, zone) == 0)
                return false;
            --counts[zone];
            auto coversNeed = leftAfterReclaim(after) >= m_need.total() && (isReclaimable || sumOf(after.regular) >= m_need.regular);
            return coversNeed && countOf(after.regular, zone) + countOf(after.reclaimable, zone) >= m_input.profile.minimumPerZone;
        }

        const AvailabilityZone* chooseZone(const ZoneCounts& numbers, bool isReclaimable, const ZoneCounts& desired) const
        {
            const AvailabilityZone* best = nullptr;
            uint32_t largest = 0;
            for (auto zone = m_input.zones.rbegin(); zone != m_input.zones.rend(); ++zone) {
                auto number = countOf(numbers, zone->zone);
                auto surplus = number - std::min(number, countOf(desired, zone->zone));
                if (surplus <= largest || !isDispensable(zone->zone, isReclaimable))
                    continue;
                best = &zone->zone;
                largest = surplus;
            }
            return best;
        }

        const PlanInput& m_input;
        ScalingNeed m_need;
        PoolPlan m_serving;
        uint32_t m_left; /**< to be released in this step */
    };

    bool hasGrowth(const std::vector<PoolChange>& changes, bool isReclaimable)
    {
        return std::ranges::any_of(changes, [isReclaimable](const PoolChange& change) { return change.pool.isReclaimable == isReclaimable; });
    }

    /** The need within the configured maximum, which no number of orders exceeds. */
    ScalingNeed withinMaximum(ScalingNeed need, const ScalingProfile& profile, size_t zones)
    {
        auto maximum = profile.maximumPerZone * static_cast<uint32_t>(zones);
        need.prefill = std::min(need.prefill, maximum);
        need.slotted = std::min(need.slotted, maximum - need.prefill);
        need.regular = std::min(need.regular, need.total());
        return need;
    }

    void observeLoss(ScalingMemory& memory, PoolMemory& pool, const PoolKey& key, const PoolView& view, TimePoint now, std::vector<PoolObservation>& observations)
    {
        // The platform takes away all reclaimable replicas of a zone at once.
        auto isReclaim = key.isReclaimable && pool.ready >= 2 && view.ready <= pool.ready / 2;
        observations.push_back({ key, isReclaim ? PoolEvent::Reclaimed : PoolEvent::Lost, pool.ready, view.ready });
        memory.lostAt = now;
        pool.ordered.reset();
    }

} // namespace

std::string_view nameOf(PoolEvent event)
{
    switch (event) {
    case PoolEvent::Lost:
        return "lost";
    case PoolEvent::Reclaimed:
        return "reclaimed";
    case PoolEvent::NotComing:
        return "not_coming";
    }
    return "lost";
}

std::string_view nameOf(ScalingReason reason)
{
    switch (reason) {
    case ScalingReason::Demand:
        return "demand";
    case ScalingReason::Minimum:
        return "minimum";
    case ScalingReason::NoneReclaimable:
        return "none_reclaimable";
    case ScalingReason::Replaced:
        return "replaced";
    case ScalingReason::Surplus:
        return "surplus";
    case ScalingReason::Repeated:
        return "repeated";
    }
    return "demand";
}

void addSample(ServiceDemand& demand, const ReplicaDemand& sample, TimePoint now)
{
    auto isIdle = sample.slotted == 0 && sample.prefill == 0;
    if (!demand.slotted.firstSampleAt && isIdle)
        return;
    addSample(demand.slotted, sample.slotted, now);
    addSample(demand.prefill, sample.prefill, now);
    addSample(demand.urgent, sample.urgent, now);
}

uint32_t expectedReplicas(const PoolKey& pool, const PoolViews& pools, const ScalingMemory& memory)
{
    auto remembered = memory.pools.find(pool);
    if (remembered != memory.pools.end() && remembered->second.ordered)
        return *remembered->second.ordered;
    auto view = pools.find(pool);
    return view == pools.end() ? 0 : view->second.ready;
}

std::vector<PoolObservation> observePools(ScalingMemory& memory, const PoolViews& pools, const ScalingProfile& profile, TimePoint now)
{
    std::vector<PoolObservation> observations;
    for (const auto& [key, view] : pools)
        memory.pools.try_emplace(key, PoolMemory { view.ready });
    for (auto& [key, pool] : memory.pools) {
        auto found = pools.find(key);
        auto view = found == pools.end() ? PoolView {} : found->second;
        if (view.ready < std::min(pool.ready, pool.ordered.value_or(pool.ready)))
            observeLoss(memory, pool, key, view, now, observations);
        else if (pool.ordered == view.ready)
            pool.ordered.reset();
        else if (pool.ordered && now - pool.awaitedSince >= patienceOf(profile)) {
            if (view.ready < *pool.ordered) {
                observations.push_back({ key, PoolEvent::NotComing, *pool.ordered, view.ready });
                pool.unavailableUntil = now + patienceOf(profile);
            }
            pool.ordered.reset();
        }
        if (view.ready > pool.ready) {
            pool.refusals = 0;
            pool.awaitedSince = now;
        }
        pool.ready = view.ready;
    }
    return observations;
}

void recordOrder(ScalingMemory& memory, const PoolKey& key, uint32_t replicas, TimePoint now)
{
    auto& pool = memory.pools[key];
    if (replicas < pool.ordered.value_or(pool.ready))
        memory.releasedAt = now;
    else
        pool.unavailableUntil = {};
    // A further order does not extend the wait for the replicas of the first.
    if (!pool.ordered)
        pool.awaitedSince = now;
    pool.ordered = replicas;
}

Duration recordUnavailable(ScalingMemory& memory, const PoolKey& key, TimePoint now)
{
    auto& pool = memory.pools[key];
    auto pause = std::min(firstRetry * (1 << std::min(pool.refusals, 8U)), longestRetry);
    ++pool.refusals;
    pool.unavailableUntil = now + pause;
    return pause;
}

ScalingNeed scalingNeedOf(const ServiceDemand& demand, Duration bootTime, double margin, TimePoint now)
{
    auto replicasFor = [&](const DemandHistory& history) { return static_cast<uint32_t>(std::ceil(expectedPeak(history, now, bootTime) * (1 + margin))); };
    auto stages = demand.hasStages ? 2U : 1U;
    ScalingNeed need;
    need.slotted = std::max(replicasFor(demand.slotted), leastOfStage);
    need.prefill = demand.hasStages ? std::max(replicasFor(demand.prefill), leastOfStage) : 0;
    need.regular = std::min(std::max(replicasFor(demand.urgent), leastRegularOfStage * stages), need.total());
    return need;
}

std::vector<PoolChange> decideScaling(const ScalingProfile& profile, const ScalingSituation& situation, const ScalingMemory& memory, TimePoint now)
{
    std::vector<PoolChange> changes;
    if (!situation.demand.slotted.firstSampleAt)
        return changes;
    auto zones = zonesByPrice(profile, situation.pools);
    PlanInput input { profile, zones, expectedPlan(zones, situation.pools, memory), {} };
    input.limits = { limitsOf(input, false, memory, now), limitsOf(input, true, memory, now) };
    auto need = withinMaximum(scalingNeedOf(situation.demand, profile.bootTime, 0, now), profile, zones.size());
    auto desired = desiredPlan(input, need);
    addGrowth(changes, desired, input);
    if (!mayRelease(profile, situation, memory, now))
        return changes;
    auto safeNeed = withinMaximum(scalingNeedOf(situation.demand, profile.bootTime, releaseMargin, now), profile, zones.size());
    auto kept = desiredPlan(input, safeNeed);
    Release release(input, situation.pools, need);
    for (auto isReclaimable : { false, true }) {
        if (!hasGrowth(changes, isReclaimable))
            release.run(changes, isReclaimable, isReclaimable ? kept.numbers.reclaimable : kept.numbers.regular);
    }
    return changes;
}

} // namespace chestnut
