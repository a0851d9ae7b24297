#pragma once

#include "base/ids/StrongId.h"
#include "decisions/membership/Member.h"
#include "decisions/tickets/Configuration.h"

#include <span>
#include <string>
#include <vector>

namespace chestnut {

/** Maximum number of replicas of one model or service that a daemon uses. */
constexpr size_t subsetSize = 24;
constexpr size_t minimumSubsetZones = 2;

struct SubsetCandidate {
    ReplicaId id;
    AvailabilityZone zone;
    Region region;

    auto operator<=>(const SubsetCandidate&) const = default;
};

/** The replicas that this daemon uses: its own zone first, then its region, at least two zones where there are
    two. Each replica is used by about the same number of daemons. */
std::vector<ReplicaId> chooseSubset(const DaemonId&, const AvailabilityZone&, const Region&, std::span<const SubsetCandidate>, size_t size = subsetSize);

/** Expected number of ready daemons whose subset contains one replica of the candidates, at least 1: a daemon uses the
    replica's capacity divided by this number. The mean over the replicas of this daemon's own subset, because a region
    or zone with few daemons shares its replicas among fewer. This daemon counts as ready. The cost is one pass over the
    members; the subsets of the other daemons are not computed. */
double daemonsSharing(std::span<const MemberRecord> members, const MemberRecord& self, std::span<const SubsetCandidate>, size_t size = subsetSize);

} // namespace chestnut
