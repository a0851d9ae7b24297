#include "MembershipSimulation.h"

#include <doctest/doctest.h>

using namespace chestnut;

namespace {

constexpr double bytesPerSecondLimit = 10'000;
/** Target: all daemons apply a configuration within 17 s. One round takes 1 s. */
constexpr size_t revisionRoundLimit = 17;

struct FleetSize {
    size_t members;
    size_t zones;
    size_t regions;
};

} // namespace

// Guards against membership traffic that grows with the number of members, revisions that spread too slowly, running
// members that are removed, and failed ones that are not.
TEST_CASE("membership meets its targets at 6, 50 and 330 members")
{
    for (auto size : { FleetSize { 6, 3, 1 }, FleetSize { 50, 4, 1 }, FleetSize { 330, 8, 3 } }) {
        CAPTURE(size.members);
        MembershipSimulation simulation(size.members, size.zones, size.regions, 5);
        simulation.fillAllTables();
        for (size_t i = 0; i < 12; ++i)
            simulation.runRound();
        simulation.nodes[0].table.self.revision = 2;
        CHECK(simulation.runUntil([&] { return simulation.revisionReachedAll(2); }, revisionRoundLimit).has_value());
        CHECK(simulation.measureTraffic(10).largest < bytesPerSecondLimit);
        CHECK(simulation.falseRemovals == 0);
        simulation.nodes[1].runs = false;
        auto dead = simulation.nodes[1].table.self.id;
        // 10 s without a heartbeat, after up to 7 s until the last counter has reached all members.
        CHECK(simulation.runUntil([&] { return simulation.isRemovedEverywhere(dead); }, 17).has_value());
    }
}

// Guards against members of another region that are not removed during a partition, or do not rejoin after it.
TEST_CASE("two regions rejoin after a partition of one hour")
{
    MembershipSimulation simulation(12, 4, 2, 6);
    simulation.fillAllTables();
    simulation.allows = [](const auto& from, const auto& to) { return from.table.self.region == to.table.self.region; };
    for (size_t i = 0; i < 3600; ++i)
        simulation.runRound();
    CHECK(simulation.allTablesHaveMembers(6));
    simulation.allows = [](const auto&, const auto&) { return true; };
    CHECK(simulation.runUntil([&] { return simulation.allTablesHaveMembers(12); }, 60).has_value());
}

// Guards against daemons that remove running members after a partition, when all members have new incarnations and their
// full records must reach every daemon, and against revisions that spread too slowly afterwards.
TEST_CASE("330 members in 3 regions rejoin after a partition of one hour")
{
    MembershipSimulation simulation(330, 8, 3, 7);
    simulation.fillAllTables();
    simulation.allows = [](const auto& from, const auto& to) { return from.table.self.region == to.table.self.region; };
    for (size_t i = 0; i < 25; ++i)
        simulation.runRound();
    simulation.skipIdleTime(std::chrono::hours(1));
    simulation.allows = [](const auto&, const auto&) { return true; };
    simulation.falseRemovals = 0;
    simulation.resetTraffic();
    auto healed = simulation.runUntil([&] { return simulation.allTablesHaveMembers(330); }, 30);
    REQUIRE(healed.has_value());
    CHECK(simulation.trafficSince(*healed).largest < bytesPerSecondLimit);
    CHECK(simulation.falseRemovals == 0);
    simulation.nodes[0].table.self.revision = 2;
    CHECK(simulation.runUntil([&] { return simulation.revisionReachedAll(2); }, revisionRoundLimit).has_value());
    simulation.leave(simulation.nodes[1]);
    auto left = simulation.nodes[1].table.self.id;
    // A crash would be detected after 10 s without a heartbeat; a planned stop must reach all tables earlier.
    CHECK(simulation.runUntil([&] { return simulation.isRemovedEverywhere(left); }, 9).has_value());
}
