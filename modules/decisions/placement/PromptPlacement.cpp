#include "decisions/placement/PromptPlacement.h"

#include "base/digest/Digest.h"

#include <algorithm>
#include <limits>

namespace chestnut {

namespace {

    /** Bounds of the extra weight of a repeated prefill of shared parts. */
    constexpr double leastRepeatedWeight = 0.3;
    constexpr double mostRepeatedWeight = 3;
    /** Work at all replicas, as a multiple of their slots, beyond which they are full. Engines queue only some requests beyond
        their slots and refuse more, and a prompt whose decode is refused has been read in vain. */
    constexpr double fullSlotMultiple = 2.5;
    /** An objective of this multiple of the shortest one leaves time to wait behind requests with that one. */
    constexpr double relaxedObjectiveMultiple = 1.5;
    /** Weight of the queued tokens that a prompt delays, when engines are compared: one of their prefills may be running, and the rest is
        delayed. Deferred ones are late in any case. */
    constexpr double yieldingWeight = 0.5;
    /** Divides the usable slots of a replica that answers all its calls with errors. */
    constexpr double highestErrorWeight = 8;
    /** Penalty for each additional multiple of the median time: a replica of half the median speed gets its first request when
        the others are half occupied, as a request is still served earlier at a busy replica than there. */
    constexpr double slownessWeight = 0.5;
    constexpr double highestSlownessPenalty = 0.5;
    /** Compares engines by their tokens while their speed is unknown. */
    constexpr PrefillSpeed unknownSpeed { 1, 0 };

    uint32_t sharedTokens(const PromptShape& prompt)
    {
        uint32_t sum = 0;
        for (size_t i = 0; i + 1 < prompt.parts.size(); ++i)
            sum += prompt.parts[i].tokens;
        return std::min(sum, prompt.promptTokens);
    }

    std::optional<size_t> homeOf(uint64_t key, std::span<const PlacementView> views)
    {
        std::optional<size_t> home;
        uint64_t best = 0;
        for (size_t i = 0; i < views.size(); ++i) {
            if (views[i].isEjected)
                continue;
            auto score = hash64(views[i].id.value(), key);
            if (home && score <= best)
                continue;
            home = i;
            best = score;
        }
        return home;
    }

    /** Extra weight of a repeated prefill of shared parts, as it also delays the requests queued behind: ρ / (1 - ρ), the
        length of a queue at the utilization ρ, which is the share of the engines that have work. */
    double repeatedWeight(std::span<const PlacementView> views)
    {
        auto busy = static_cast<double>(std::ranges::count_if(views, [](const auto& view) { return view.queued.sum() > 0; }));
        auto idle = static_cast<double>(views.size()) - busy;
        return std::clamp(busy / std::max(idle, 1.0), leastRepeatedWeight, mostRepeatedWeight);
    }

    bool isUsable(const PlacementView& view)
    {
        return isEligible(view) && !isRefusing(view);
    }

    /** Tokens that a prefill at this position delays. */
    double delayedTokens(const QueuedTokens& queued, EnginePosition order, const ServicePriorities& priorities)
    {
        double tokens = 0;
        for (auto later = order + 1; later < enginePositions; ++later)
            tokens += priorities.isDeferred(later) ? 0 : queued.at(later);
        return tokens;
    }

    /** The engine that ends a prefill of the rank first. */
    std::optional<PrefillChoice> earliestEngine(const PromptShape& prompt, std::span<const PlacementView> views, const PrefillSpeed& speed, const PromptUrgency& urgency, PrefillRank rank)
    {
        auto order = urgency.orderAt(rank);
        auto key = sharingKey(prompt);
        auto shared = sharedTokens(prompt);
        auto home = key == 0 ? std::nullopt : homeOf(key, views);
        auto weight = repeatedWeight(views);
        std::optional<PrefillChoice> choice;
        auto best = std::numeric_limits<double>::max();
        for (size_t i = 0; i < views.size(); ++i) {
            const auto& view = views[i];
            if (!isUsable(view))
                continue;
            auto cached = home == i ? shared : std::min(view.cachedTokens, shared);
            auto missing = prompt.promptTokens - cached;
            auto queued = tokensBefore(view.queued, order);
            auto repeated = missing - (prompt.promptTokens - shared);
            auto yielding = delayedTokens(view.queued, order, urgency.priorities) * yieldingWeight;
            auto slowdown = view.slowdown / view.speed;
            auto cost = (queued + missing + yielding + repeated * weight) * slowdown;
            if (cost >= best)
                continue;
            best = cost;
            auto expected = toSeconds(expectedPrefillTime(speed, queued + missing)) * slowdown;
            choice = PrefillChoice { i, missing, queued + missing, fromSeconds(expected), rank, order };
        }
        return choice;
    }

} // namespace

double tokensBefore(const QueuedTokens& queued, EnginePosition order)
{
    return queued.sum(0, order + 1);
}

PrefillRank rankOnTime(Duration latencyObjective, Duration shortestObjective)
{
    return toSeconds(latencyObjective) >= toSeconds(shortestObjective) * relaxedObjectiveMultiple ? PrefillRank::Relaxed : PrefillRank::Urgent;
}

uint64_t sharingKey(const PromptShape& prompt)
{
    return prompt.parts.size() < 2 ? 0 : prompt.parts[prompt.parts.size() - 2].id;
}

std::optional<PrefillChoice> choosePrefillEngine(const PromptShape& prompt, std::span<const PlacementView> views, const std::optional<PrefillSpeed>& speed, Duration onTime, const PromptUrgency& urgency)
{
    if (!speed) {
        auto choice = earliestEngine(prompt, views, unknownSpeed, urgency, urgency.onTimeRank);
        if (choice)
            choice->expectedTime.reset();
        return choice;
    }
    if (auto choice = earliestEngine(prompt, views, *speed, urgency, urgency.onTimeRank); choice && choice->expectedTime <= onTime)
        return choice;
    return earliestEngine(prompt, views, *speed, urgency, PrefillRank::Deferred);
}

bool isEligible(const PlacementView& view)
{
    return !view.isEjected && !view.isThrottled;
}

std::optional<double> combinedRateLimit(std::span<const PlacementView> views)
{
    double sum = 0;
    for (const auto& view : views) {
        if (view.isEjected)
            continue;
        if (!view.rateLimit)
            return std::nullopt;
        sum += *view.rateLimit;
    }
    return sum > 0 ? std::optional(sum) : std::nullopt;
}

Duration expectedRateWait(std::span<const PlacementView> views, double ahead)
{
    auto rate = combinedRateLimit(views);
    return rate ? fromSeconds(ahead / *rate) : Duration::zero();
}

bool isRefusing(const PlacementView& view)
{
    return view.requestsAtRefusal > 0 && view.requests >= view.requestsAtRefusal;
}

double limitOf(const PlacementView& view)
{
    return view.limit > 0 ? view.limit : std::max(view.slots, 1U);
}

double usableSlots(const PlacementView& view)
{
    return limitOf(view) * view.speed / (view.slowdown * (1 + view.errorShare * (highestErrorWeight - 1)));
}

double slownessPenalty(const PlacementView& view)
{
    return std::min(slownessWeight * (1 / view.speed - 1), highestSlownessPenalty);
}

double occupancyOf(const PlacementView& view, const AvailabilityZone& ownZone)
{
    auto occupied = static_cast<double>(view.requests + 1) / usableSlots(view) + slownessPenalty(view);
    return occupied + (view.zone == ownZone ? 0 : otherZonePenalty);
}

std::optional<size_t> chooseLeastOccupied(std::span<const PlacementView> views, const AvailabilityZone& ownZone)
{
    std::optional<size_t> choice;
    auto best = std::numeric_limits<double>::max();
    for (size_t i = 0; i < views.size(); ++i) {
        const auto& view = views[i];
        if (!isEligible(view))
            continue;
        auto occupied = occupancyOf(view, ownZone);
        if (occupied >= best)
            continue;
        best = occupied;
        choice = i;
    }
    return choice;
}

std::optional<Duration> expectedSlotWait(std::span<const PlacementView> views, Duration occupancy)
{
    double slots = 0;
    double limits = 0;
    double requests = 0;
    for (const auto& view : views) {
        if (!isUsable(view))
            continue;
        slots += view.slots;
        limits += limitOf(view);
        requests += view.requests;
    }
    if (limits <= 0 || requests >= slots * fullSlotMultiple)
        return std::nullopt;
    return fromSeconds(std::max(requests + 1 - limits, 0.0) / limits * toSeconds(occupancy));
}

} // namespace chestnut
