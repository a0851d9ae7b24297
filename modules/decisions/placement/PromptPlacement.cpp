#include "decisions/placement/PromptPlacement.h"

#include "base/digest/Digest.h"

#include <algorithm>
#include <limits>

namespace chestnut {

namespace {

    /** Time of a prefill call beside reading: set-up, transfer and answer. */
    constexpr double fixedPrefillMilliseconds = 2;

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

    double millisecondsToRead(double tokens, const PlacementView& view)
    {
        return tokens / prefillTokensPerMillisecond * view.slowdown;
    }

} // namespace

uint64_t sharingKey(const PromptShape& prompt)
{
    return prompt.parts.size() < 2 ? 0 : prompt.parts[prompt.parts.size() - 2].id;
}

std::optional<PrefillChoice> choosePrefillEngine(const PromptShape& prompt, std::span<const PlacementView> views)
{
    auto key = sharingKey(prompt);
    auto shared = sharedTokens(prompt);
    auto home = key == 0 ? std::nullopt : homeOf(key, views);
    std::optional<PrefillChoice> choice;
    auto best = std::numeric_limits<double>::max();
    for (size_t i = 0; i < views.size(); ++i) {
        const auto& view = views[i];
        if (view.isEjected)
            continue;
        auto cached = home == i ? shared : std::min(view.cachedTokens, shared);
        auto missing = prompt.promptTokens - cached;
        auto time = fixedPrefillMilliseconds + millisecondsToRead(view.prefillTokens + missing, view);
        if (time >= best)
            continue;
        best = time;
        choice = PrefillChoice { i, missing, fromSeconds(time / 1000) };
    }
    return choice;
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

bool isSaturated(std::span<const PlacementView> views, double slotMultiple)
{
    double slots = 0;
    double requests = 0;
    for (const auto& view : views) {
        if (view.isEjected)
            continue;
        slots += view.slots;
        requests += view.requests;
    }
    return requests >= slots * slotMultiple;
}

} // namespace chestnut
