#include "MembershipSimulation.h"

#include <doctest/doctest.h>

using namespace chestnut;

namespace {

constexpr double bytesPerSecondLimit = 10'000;
/** A configuration is in force everywhere within 17 s. */
constexpr size_t revisionRoundLimit = 17;

struct FleetSize {
    size_t members;
    size_t zones;
    size_t regions;
};

} // namespace

// Guards against membership traffic that grows with the fleet, revisions that spread too slowly, running members that
// are removed, and dead ones that stay.
TEST_CASE("membership meets its targets at 6, 50 and 330 members")
{
    for (auto size : { FleetSize { 6, 3, 1 }, FleetSize { 50, 4, 1 }, FleetSize { 330, 8, 3 } }) {
        CAPTURE(size.members);
        MembershipSimulation world(size.members, size.zones, size.regions, 5);
        world.fillAllTables();
        for (size_t i = 0; i < 12; ++i)
            world.runRound();
        world.nodes[0].table.self.revision = 2;
        CHECK(world.runUntil([&] { return world.revisionReachedAll(2); }, revisionRoundLimit).has_value());
        CHECK(world.measureTraffic(10).largest < bytesPerSecondLimit);
        CHECK(world.falseRemovals == 0);
        world.nodes[1].runs = false;
        auto dead = world.nodes[1].table.self.id;
        // 10 s of silence, up to 7 s until the last counter has reached the slowest member.
        CHECK(world.runUntil([&] { return world.isRemovedEverywhere(dead); }, 17).has_value());
    }
}

// Guards against members of another region that stay in the table during a partition, or never return after it.
TEST_CASE("regions that were partitioned for an hour find each other again")
{
    MembershipSimulation world(12, 4, 2, 6);
    world.fillAllTables();
    world.allows = [](const auto& from, const auto& to) { return from.table.self.region == to.table.self.region; };
    for (size_t i = 0; i < 3600; ++i)
        world.runRound();
    CHECK(world.allTablesHaveMembers(6));
    world.allows = [](const auto&, const auto&) { return true; };
    CHECK(world.runUntil([&] { return world.allTablesHaveMembers(12); }, 60).has_value());
}

// Guards against a heal in which daemons remove running members, because each renewed member needs a full record everywhere,
// and against revisions that spread too slowly afterwards.
TEST_CASE("330 members in 3 regions find each other again after an hour apart")
{
    MembershipSimulation world(330, 8, 3, 7);
    world.fillAllTables();
    world.allows = [](const auto& from, const auto& to) { return from.table.self.region == to.table.self.region; };
    for (size_t i = 0; i < 25; ++i)
        world.runRound();
    world.skipIdleTime(std::chrono::hours(1));
    world.allows = [](const auto&, const auto&) { return true; };
    world.falseRemovals = 0;
    world.resetTraffic();
    auto healed = world.runUntil([&] { return world.allTablesHaveMembers(330); }, 30);
    REQUIRE(healed.has_value());
    CHECK(world.trafficSince(*healed).largest < bytesPerSecondLimit);
    CHECK(world.falseRemovals == 0);
    world.nodes[0].table.self.revision = 2;
    CHECK(world.runUntil([&] { return world.revisionReachedAll(2); }, revisionRoundLimit).has_value());
    world.leave(world.nodes[1]);
    auto left = world.nodes[1].table.self.id;
    // A planned stop is known everywhere before a crash would be, which takes 10 s of silence.
    CHECK(world.runUntil([&] { return world.isRemovedEverywhere(left); }, 9).has_value());
}
