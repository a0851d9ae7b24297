#include "decisions/leases/Lease.h"

#include "base/digest/Digest.h"

#include <algorithm>

namespace chestnut {

namespace {

    bool isReady(const MemberRecord& member)
    {
        return member.state == MemberState::Ready;
    }

    std::optional<DaemonId> highestScoringMember(const std::string& key, std::span<const MemberRecord> members, const Region* region)
    {
        std::optional<DaemonId> best;
        uint64_t bestScore = 0;
        for (const auto& member : members) {
            if (!isReady(member) || (region && member.region != *region))
                continue;
            auto score = rendezvousScore(key, member.id.value());
            if (!best || score > bestScore) {
                best = member.id;
                bestScore = score;
            }
        }
        return best;
    }

} // namespace

TimePoint leaseEnd(const Lease& lease)
{
    return lease.renewedAt + leaseDuration;
}

bool isHeld(const Lease& lease, TimePoint now)
{
    return now < leaseEnd(lease);
}

bool mayOrder(const Lease& lease, TimePoint now)
{
    return now >= lease.ordersAllowedFrom && now + orderTimeout + leaseMargin < leaseEnd(lease);
}

EngineGroupId groupOf(const EngineSpec& engine)
{
    return EngineGroupId(engine.zone.value() + "/" + engine.model.value());
}

std::optional<DaemonId> preferredHolder(const EngineGroupId& group, const Region& region, std::span<const MemberRecord> members)
{
    auto key = "lease/" + group.value();
    if (auto holder = highestScoringMember(key, members, &region))
        return holder;
    return highestScoringMember(key, members, nullptr);
}

bool isConfigurationWatcher(const DaemonId& self, std::span<const MemberRecord> members)
{
    auto own = std::ranges::find(members, self, &MemberRecord::id);
    if (own == members.end())
        return true;
    auto key = "configuration/" + own->zone.value();
    auto ownScore = rendezvousScore(key, self.value());
    size_t ahead = 0;
    for (const auto& member : members) {
        bool isCandidate = member.state == MemberState::Ready || member.state == MemberState::Joining;
        if (isCandidate && member.zone == own->zone && member.id != self && rendezvousScore(key, member.id.value()) > ownScore)
            ++ahead;
    }
    return ahead < configurationWatchersPerZone;
}

} // namespace chestnut
