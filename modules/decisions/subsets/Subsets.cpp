#include "decisions/subsets/Subsets.h"

#include "base/digest/Digest.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <map>

namespace chestnut {

namespace {

    /** Other zones get one in this many replicas of the subset, so that the loss of the own zone leaves usable replicas. */
    constexpr size_t otherZonesDivisor = 4;

    enum class Proximity : uint8_t {
        OwnZone,
        OwnRegion,
        OtherRegion,
    };
    constexpr size_t proximities = 3;

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

    struct Location {
        AvailabilityZone zone;
        Region region;

        auto operator<=>(const Location&) const = default;
    };

    Proximity proximityOf(const Location& replica, const Location& daemon)
    {
        if (replica.zone == daemon.zone)
            return Proximity::OwnZone;
        return replica.region == daemon.region ? Proximity::OwnRegion : Proximity::OtherRegion;
    }

    /** Replicas of one subset by proximity, in the order in which chooseSubset() takes them. */
    std::array<double, proximities> expectedTaken(const std::array<double, proximities>& available, double size)
    {
        auto [own, region, other] = available;
        auto others = region + other;
        auto reserved = std::min(others, std::max(1.0, std::floor(size / otherZonesDivisor)));
        auto fromOwn = size >= minimumSubsetZones && own + reserved > size ? size - reserved : std::min(own, size);
        auto fromRegion = std::min(region, size - fromOwn);
        auto fromOther = std::min(other, size - fromOwn - fromRegion);
        return { fromOwn, fromRegion, fromOther };
    }

    /** The probability that the subset of a daemon at this location contains a given replica of each proximity. Within
        one proximity the rendezvous hash takes each replica with the same probability. */
    std::array<double, proximities> inclusionProbabilities(const Location& daemon, const std::map<Location, double>& replicas, double size)
    {
        std::array<double, proximities> available {};
        for (const auto& [location, count] : replicas)
            available[static_cast<size_t>(proximityOf(location, daemon))] += count;
        auto taken = expectedTaken(available, size);
        for (size_t i = 0; i < proximities; ++i)
            taken[i] = available[i] > 0 ? taken[i] / available[i] : 0;
        return taken;
    }

} // namespace

double daemonsSharing(std::span<const MemberRecord> members, const MemberRecord& self, std::span<const SubsetCandidate> candidates, size_t size)
{
    std::map<Location, double> replicas;
    for (const auto& candidate : candidates)
        ++replicas[{ candidate.zone, candidate.region }];
    std::map<Location, double> daemons { { { self.zone, self.region }, 1 } };
    for (const auto& member : members) {
        if (member.id != self.id && member.state == MemberState::Ready)
            ++daemons[{ member.zone, member.region }];
    }
    std::map<Location, double> sharing; // by location of the replica
    for (const auto& [daemon, count] : daemons) {
        auto probabilities = inclusionProbabilities(daemon, replicas, static_cast<double>(size));
        for (const auto& [location, ignored] : replicas)
            sharing[location] += count * probabilities[static_cast<size_t>(proximityOf(location, daemon))];
    }
    Location own { self.zone, self.region };
    auto ownProbabilities = inclusionProbabilities(own, replicas, static_cast<double>(size));
    double weight = 0;
    double sum = 0;
    for (const auto& [location, count] : replicas) {
        auto used = count * ownProbabilities[static_cast<size_t>(proximityOf(location, own))];
        weight += used;
        sum += used * sharing[location];
    }
    return weight > 0 ? std::max(1.0, sum / weight) : 1;
}

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

} // namespace chestnut
