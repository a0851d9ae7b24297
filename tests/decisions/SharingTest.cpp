#include "decisions/subsets/Subsets.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <map>

using namespace chestnut;

namespace {

constexpr int zones = 8;

AvailabilityZone zoneOf(int index) { return AvailabilityZone("z" + std::to_string(index % zones)); }
Region regionOf(int index) { return Region("r" + std::to_string(index % zones / 3)); }

std::vector<MemberRecord> daemonsOf(int count)
{
    std::vector<MemberRecord> members;
    members.reserve(static_cast<size_t>(count));
    for (int i = 0; i < count; ++i)
        members.push_back({ DaemonId("d" + std::to_string(i)), 1, 0, MemberState::Ready, zoneOf(i), regionOf(i), "", "", 0, 0 });
    return members;
}

std::vector<SubsetCandidate> replicasOf(int count)
{
    std::vector<SubsetCandidate> replicas;
    replicas.reserve(static_cast<size_t>(count));
    for (int i = 0; i < count; ++i)
        replicas.push_back({ ReplicaId("e" + std::to_string(i)), zoneOf(i), regionOf(i) });
    return replicas;
}

/** Mean number of daemons whose subset contains a replica of this daemon's subset, counted over all daemons. */
double countedSharing(const std::vector<MemberRecord>& members, const MemberRecord& self, const std::vector<SubsetCandidate>& replicas)
{
    std::map<ReplicaId, double> holders;
    for (const auto& member : members) {
        for (const auto& id : chooseSubset(member.id, member.zone, member.region, replicas))
            ++holders[id];
    }
    double sum = 0;
    auto own = chooseSubset(self.id, self.zone, self.region, replicas);
    for (const auto& id : own)
        sum += holders[id];
    return sum / static_cast<double>(own.size());
}

} // namespace

// Guards against daemons that together send more to a replica than it can run, or leave most of its capacity unused.
TEST_CASE("the expected number of daemons that share a replica agrees with their subsets")
{
    auto few = daemonsOf(6);
    CHECK(daemonsSharing(few, few[0], replicasOf(14)) == doctest::Approx(6));
    auto members = daemonsOf(330);
    auto replicas = replicasOf(130);
    double expected = 0;
    double counted = 0;
    for (const auto& self : members) {
        expected += daemonsSharing(members, self, replicas) / 330;
        counted += countedSharing(members, self, replicas) / 330;
    }
    MESSAGE("330 daemons, 130 replicas: expected " << expected << ", counted " << counted << ", even share " << 330.0 * 24 / 130);
    CHECK(expected == doctest::Approx(330.0 * 24 / 130).epsilon(0.15));
    CHECK(expected == doctest::Approx(counted).epsilon(0.1));
}

// Guards against counting daemons that accept no requests, and against a division by zero.
TEST_CASE("only ready daemons and this one share a replica")
{
    auto members = daemonsOf(6);
    members[1].state = MemberState::Leaving;
    members[2].state = MemberState::Dropped;
    members[0].state = MemberState::Joining;
    CHECK(daemonsSharing(members, members[0], replicasOf(14)) == doctest::Approx(4));
    CHECK(daemonsSharing({}, members[0], {}) == 1);
}
