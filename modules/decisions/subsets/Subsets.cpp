#include "decisions/subsets/Subsets.h"

#include "base/digest/Digest.h"

#include <algorithm>

namespace chestnut {

namespace {

    /** Share of the subset that other zones get, so that the loss of the own zone leaves usable replicas. */
    constexpr size_t otherZonesDivisor = 4;

    enum class Proximity : uint8_t {
        OwnZone,
        OwnRegion,
        OtherRegion,
    };

    struct Ranked {
        Proximity proximity = Proximity::OtherRegion;
        uint64_t score = 0;
        const SubsetCandidate* candidate = nullptr;
    };

    bool isPreferred(const Ranked& left, const Ranked& right)
    {
        if (left.proximity != right.proximity)
            return left.proximity < right.proximity;
        if (left.score != right.score)
            return left.score > right.score;
        return left.candidate->id < right.candidate->id;
    }

    Proximity proximityOf(const SubsetCandidate& candidate, const AvailabilityZone& zone, const Region& region)
    {
        if (candidate.zone == zone)
            return Proximity::OwnZone;
        return candidate.region == region ? Proximity::OwnRegion : Proximity::OtherRegion;
    }

    /** Moves other zones' best replicas forward when the own zone alone would fill the subset. */
    void limitOwnZone(std::vector<Ranked>& ranked, size_t size)
    {
        auto firstOther = std::ranges::find_if(ranked, [](const Ranked& entry) { return entry.proximity != Proximity::OwnZone; });
        auto others = static_cast<size_t>(ranked.end() - firstOther);
        auto reserved = std::min(others, std::max<size_t>(1, size / otherZonesDivisor));
        auto own = static_cast<size_t>(firstOther - ranked.begin());
        if (size < minimumSubsetZones || own + reserved <= size)
            return;
        std::rotate(ranked.begin() + static_cast<std::ptrdiff_t>(size - reserved), firstOther,
            firstOther + static_cast<std::ptrdiff_t>(reserved));
    }

} // namespace

std::vector<ReplicaId> chooseSubset(const DaemonId& daemon, const AvailabilityZone& zone, const Region& region, std::span<const SubsetCandidate> candidates, size_t size)
{
    std::vector<Ranked> ranked;
    ranked.reserve(candidates.size());
    for (const auto& candidate : candidates)
        ranked.push_back({ proximityOf(candidate, zone, region), rendezvousScore(daemon.value(), candidate.id.value()), &candidate });
    std::ranges::sort(ranked, isPreferred);
    limitOwnZone(ranked, size);
    std::vector<ReplicaId> result;
    for (size_t index = 0; index < std::min(size, ranked.size()); index++)
        result.push_back(ranked[index].candidate->id);
    return result;
}

double daemonsPerReplica(size_t daemons, size_t replicas, size_t size)
{
    auto all = static_cast<double>(daemons);
    auto used = static_cast<double>(std::min(size, replicas));
    return std::max(1.0, all * used / std::max(1.0, static_cast<double>(replicas)));
}

} // namespace chestnut
