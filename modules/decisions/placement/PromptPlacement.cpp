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
        auto busy = static_cast<double>(std::ranges::count_if(views, [](const auto& view) { return view.prefillTokens + view.deferredTokens > 0; }));
        auto idle = static_cast<double>(views.size()) - busy;
        return std::clamp(busy / std::max(idle, 1.0), leastRepeatedWeight, mostRepeatedWeight);
    }

    bool isUsable(const PlacementView& view)
    {
        return !view.isEjected && (view.requestsAtRefusal == 0 || view.requests < view.requestsAtRefusal);
    }

    /** The engine that ends the prefill first, queued behind the work that is not deferred or behind all work. */
    std::optional<PrefillChoice> earliestEngine(const PromptShape& prompt, std::span<const PlacementView> views, const PrefillSpeed& speed, bool isDeferred)
    {
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
            auto queued = view.prefillTokens + (isDeferred ? view.deferredTokens : 0);
            auto repeated = missing - (prompt.promptTokens - shared);
            auto cost = (queued + missing + repeated * weight) * view.slowdown;
            if (cost >= best)
                continue;
            best = cost;
            auto expected = toSeconds(expectedPrefillTime(speed, queued + missing)) * view.slowdown;
            choice = PrefillChoice { i, missing, queued + missing, fromSeconds(expected), isDeferred };
        }
        return choice;
    }

} // namespace

uint64_t sharingKey(const PromptShape& prompt)
{
    return prompt.parts.size() < 2 ? 0 : prompt.parts[prompt.parts.size() - 2].id;
}

std::optional<PrefillChoice> choosePrefillEngine(const PromptShape& prompt, std::span<const PlacementView> views, const std::optional<PrefillSpeed>& speed, Duration onTime)
{
    if (!speed) {
        auto choice = earliestEngine(prompt, views, unknownSpeed, false);
        if (choice)
            choice->expectedTime.reset();
        return choice;
    }
    if (auto choice = earliestEngine(prompt, views, *speed, false); choice && choice->expectedTime <= onTime)
        return choice;
    return earliestEngine(prompt, views, *speed, true);
}

std::optional<size_t> chooseLeastOccupied(std::span<const PlacementView> views, const AvailabilityZone& ownZone)
{
    std::optional<size_t> choice;
    auto best = std::numeric_limits<double>::max();
    for (size_t i = 0; i < views.size(); ++i) {
        const auto& view = views[i];
        if (view.isEjected)
            continue;
        auto occupied = static_cast<double>(view.requests + 1) / std::max(view.slots, 1U) * view.slowdown;
        if (view.zone != ownZone)
            occupied += otherZonePenalty;
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
    double requests = 0;
    for (const auto& view : views) {
        if (!isUsable(view))
            continue;
        slots += view.slots;
        requests += view.requests;
    }
    if (requests >= slots * fullSlotMultiple)
        return std::nullopt;
    return fromSeconds(std::max(requests + 1 - slots, 0.0) / slots * toSeconds(occupancy));
}

} // namespace chestnut
