#include "decisions/placement/DecodePlacement.h"

#include <algorithm>
#include <limits>

namespace chestnut {

namespace {

    /** Work as a multiple of the slots beyond which further requests are refused. Engines queue only some requests beyond their
        slots, and a prompt whose decode is refused has been read in vain. */
    constexpr double fullSlotMultiple = 2.5;
    /** Requests at one engine, as a multiple of its slots, up to which the most urgent requests are sent there: its queue keeps its slots
        busy while the counts of the daemons are old. */
    constexpr double roomMultiple = 2;

    double roomOf(const PlacementView& view, const DecodeNeed& need)
    {
        auto limit = need.hasMoreUrgent ? limitOf(view) : limitOf(view) * roomMultiple;
        if (view.requestsAtRefusal > 0)
            limit = std::min<double>(limit, std::max(view.requestsAtRefusal, view.slots));
        return limit - view.requests;
    }

    /** One request more or less at an engine of the same zone is less than what others send unseen. */
    bool isAsGood(const PlacementView& view, const PlacementView& best, const AvailabilityZone& ownZone)
    {
        auto difference = occupancyOf(view, ownZone) - occupancyOf(best, ownZone);
        return difference <= 0 || (view.zone == best.zone && difference <= 1 / usableSlots(view));
    }

    bool hasRoom(const PlacementView& view, const DecodeNeed& need)
    {
        return isEligible(view) && roomOf(view, need) > 0;
    }

    std::optional<size_t> chooseWithRoom(std::span<const PlacementView> views, const DecodeNeed& need)
    {
        std::optional<size_t> best;
        for (size_t i = 0; i < views.size(); ++i) {
            if (hasRoom(views[i], need) && (!best || occupancyOf(views[i], need.ownZone) < occupancyOf(views[*best], need.ownZone)))
                best = i;
        }
        if (!best)
            return std::nullopt;
        std::vector<size_t> equals;
        for (size_t i = 0; i < views.size(); ++i) {
            if (hasRoom(views[i], need) && isAsGood(views[i], views[*best], need.ownZone))
                equals.push_back(i);
        }
        return equals[need.choice % equals.size()];
    }

    /** Slots that requests at the rate that the engine takes keep occupied. */
    double occupiedAtRateLimit(const PlacementView& view, Duration occupancy)
    {
        if (!view.rateLimit || occupancy <= Duration::zero())
            return view.slots;
        return std::clamp(*view.rateLimit * toSeconds(occupancy), 1.0, std::max<double>(view.slots, 1));
    }

} // namespace

DecodeDecision placeDecode(std::span<const PlacementView> views, const DecodeNeed& need)
{
    double slots = 0;
    double freeSlots = 0;
    double ahead = need.waitingAhead;
    for (const auto& view : views) {
        if (view.isEjected)
            continue;
        slots += occupiedAtRateLimit(view, need.occupancy);
        freeSlots += view.slots - std::min(view.requests, view.slots);
        ahead += view.requests - std::min(view.lessUrgentRequests, view.requests);
    }
    auto usable = slots - std::min<double>(need.keptFree, slots);
    if (usable == 0)
        return {};
    auto occupancy = toSeconds(need.occupancy);
    if (occupancy > 0)
        ahead = std::max(ahead - usable * toSeconds(need.startsIn) / occupancy, 0.0);
    auto wait = fromSeconds(std::max(ahead + 1 - usable, 0.0) / usable * occupancy);
    auto startedMeanwhile = combinedRateLimit(views).value_or(0) * toSeconds(need.startsIn);
    wait = std::max(wait, expectedRateWait(views, std::max(need.waitingAhead - startedMeanwhile, 0.0)));
    if (ahead >= usable * fullSlotMultiple || wait + need.startsIn > need.timeLeft)
        return { DecodeAction::Refuse, 0, wait };
    auto leavesEnough = need.keptFree == 0 || freeSlots > need.keptFree;
    if (auto engine = leavesEnough ? chooseWithRoom(views, need) : std::nullopt)
        return { DecodeAction::Call, *engine, wait };
    return { DecodeAction::Wait, 0, wait };
}

std::optional<size_t> lastResortEngine(std::span<const PlacementView> views, const AvailabilityZone& ownZone)
{
    std::optional<size_t> choice;
    for (size_t i = 0; i < views.size(); ++i) {
        const auto& view = views[i];
        if (!isEligible(view) || isRefusing(view))
            continue;
        if (!choice || occupancyOf(view, ownZone) < occupancyOf(views[*choice], ownZone))
            choice = i;
    }
    return choice;
}

} // namespace chestnut
