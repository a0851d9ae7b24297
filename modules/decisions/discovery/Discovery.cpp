#include "decisions/discovery/Discovery.h"

#include "base/digest/Digest.h"

#include <algorithm>
#include <cmath>

namespace chestnut {

namespace {

    /** A member at or above this load is an entry point only when the region has no other one. */
    constexpr uint32_t fullPermille = 950;
    /** Weights change in steps, so that a small change of load reassigns no account. */
    constexpr uint32_t weightStepPermille = 250;

    enum class Preference : uint8_t {
        OwnZone,
        OwnRegion,
        OwnRegionFull,
        OtherRegion,
        OtherRegionFull,
    };

    struct Ranked {
        Preference preference = Preference::OtherRegionFull;
        double score = 0;
        const MemberRecord* member = nullptr;
    };

    Region regionOf(const AvailabilityZone& zone, std::span<const MemberRecord> members)
    {
        auto member = std::ranges::find(members, zone, &MemberRecord::zone);
        return member == members.end() ? Region() : member->region;
    }

    Preference preferenceOf(const MemberRecord& member, const AvailabilityZone& zone, const Region& region)
    {
        auto isFull = member.loadPermille >= fullPermille;
        // A caller from an unknown zone has no region, so no region is preferred.
        if (!region.empty() && member.region != region)
            return isFull ? Preference::OtherRegionFull : Preference::OtherRegion;
        if (isFull)
            return Preference::OwnRegionFull;
        return member.zone == zone ? Preference::OwnZone : Preference::OwnRegion;
    }

    /** Weighted rendezvous score: a change of one weight reassigns only accounts of that member. */
    double weightedScore(const AccountId& account, const MemberRecord& member)
    {
        constexpr double hashRange = 18446744073709551616.0;
        auto hash = static_cast<double>(rendezvousScore(account.value(), member.id.value()));
        auto uniform = (hash + 1) / (hashRange + 2);
        auto steps = std::min(member.loadPermille / weightStepPermille, 3U);
        auto weight = static_cast<double>(4 - steps);
        return -weight / std::log(uniform);
    }

    bool isBefore(const Ranked& left, const Ranked& right)
    {
        if (left.preference != right.preference)
            return left.preference < right.preference;
        if (left.score != right.score)
            return left.score > right.score;
        return left.member->id < right.member->id;
    }

    std::vector<Ranked> rankMembers(const AccountId& account, const AvailabilityZone& zone, std::span<const MemberRecord> members)
    {
        auto region = regionOf(zone, members);
        std::vector<Ranked> ranked;
        for (const auto& member : members) {
            if (member.state == MemberState::Ready)
                ranked.push_back({ preferenceOf(member, zone, region), weightedScore(account, member), &member });
        }
        std::ranges::sort(ranked, isBefore);
        return ranked;
    }

    /** Moves a member of another zone into the list if all entry points are in the first zone, so that callers have an
        address left when that zone is lost. */
    void spreadZones(std::vector<Ranked>& ranked)
    {
        if (ranked.size() <= entryPointCount)
            return;
        auto firstZone = ranked.front().member->zone;
        auto other = std::ranges::find_if(ranked, [&](const Ranked& entry) { return entry.member->zone != firstZone; });
        auto last = ranked.begin() + (entryPointCount - 1);
        if (other != ranked.end() && other > last)
            std::rotate(last, other, other + 1);
    }

} // namespace

std::vector<EntryPoint> entryPoints(const AccountId& account, const AvailabilityZone& callerZone, std::span<const MemberRecord> members)
{
    auto ranked = rankMembers(account, callerZone, members);
    spreadZones(ranked);
    std::vector<EntryPoint> result;
    for (size_t index = 0; index < std::min(entryPointCount, ranked.size()); index++)
        result.push_back({ ranked[index].member->callerAddress, ranked[index].member->zone });
    return result;
}

Duration validityOf(std::span<const EntryPoint> points)
{
    return points.size() < entryPointCount ? shortDiscoveryValidity : discoveryValidity;
}

} // namespace chestnut
