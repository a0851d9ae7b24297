#include "MembershipSimulation.h"

#include <algorithm>
#include <chrono>
#include <cstdio>

using namespace chestnut;

namespace {

constexpr size_t roundLimit = 90;

void printRounds(const char* name, std::optional<size_t> rounds)
{
    if (rounds)
        std::printf("  %-44s %zu rounds\n", name, *rounds);
    else
        std::printf("  %-44s not within %zu rounds\n", name, roundLimit);
}

/** Sets a revision at one node; nodes that heard of it apply it in the next round, as the configuration service does. */
std::optional<size_t> spreadRevision(MembershipSimulation& world, Revision revision)
{
    world.nodes[0].table.self.revision = revision;
    return world.runUntil([&] { return world.revisionReachedAll(revision); }, roundLimit);
}

void measure(size_t members, size_t zones, size_t regions)
{
    std::printf("%zu members, %zu zones, %zu regions\n", members, zones, regions);
    MembershipSimulation world(members, zones, regions, members);
    world.fillAllTables();
    for (size_t i = 0; i < 15; ++i)
        world.runRound();
    size_t suspicions = 0;
    constexpr size_t quietRounds = 30;
    for (size_t i = 0; i < quietRounds; ++i) {
        world.runRound();
        suspicions += world.falseSuspicions();
    }
    auto pairs = static_cast<double>(members * (members - 1) * quietRounds);
    std::printf("  %-44s %.3g %%\n", "views in which a running member is suspected", 100 * static_cast<double>(suspicions) / pairs);
    printRounds("new revision known to all", spreadRevision(world, 2));
    auto traffic = world.measureTraffic(30);
    std::printf("  %-44s %.0f mean, %.0f largest, %.1f messages/s\n", "bytes/s sent by one daemon", traffic.mean, traffic.largest, traffic.messages);
    std::printf("  %-44s %zu\n", "running members removed", world.falseRemovals);
    world.nodes[1].runs = false;
    auto dead = world.nodes[1].table.self.id;
    printRounds("dead member removed everywhere", world.runUntil([&] { return world.isRemovedEverywhere(dead); }, roundLimit));
}

void measureColdStart(size_t members, size_t zones, size_t regions)
{
    MembershipSimulation world(members, zones, regions, members);
    auto joined = world.runUntil([&] { return world.allTablesHaveMembers(members); }, roundLimit);
    std::printf("cold start of %zu members\n", members);
    printRounds("all know all, from the VM list alone", joined);
    std::printf("  %-44s %zu\n", "running members removed", world.falseRemovals);
}

/** Rounds apart that are simulated; the rest of the time is skipped, because nothing changes once both sides have removed
    each other. */
constexpr size_t simulatedRoundsApart = 60;

void cutRegions(MembershipSimulation& world, size_t roundsApart)
{
    world.allows = [](const auto& from, const auto& to) { return from.table.self.region == to.table.self.region; };
    auto simulated = std::min(roundsApart, simulatedRoundsApart);
    for (size_t i = 0; i < simulated; ++i)
        world.runRound();
    world.skipIdleTime(heartbeatPeriod * static_cast<Duration::rep>(roundsApart - simulated));
    world.allows = [](const auto&, const auto&) { return true; };
}

/** @param seed differs from the member count to repeat a measurement with another history */
void measurePartition(size_t members, size_t zones, size_t regions, size_t partitionRounds, uint64_t seed)
{
    MembershipSimulation world(members, zones, regions, seed);
    world.fillAllTables();
    cutRegions(world, partitionRounds);
    std::printf("%zu members, %zu regions, partitioned for %zu rounds, seed %zu\n", members, regions, partitionRounds, static_cast<size_t>(seed));
    std::printf("  %-44s %zu of %zu\n", "members known to the first", world.nodes[0].table.others.size() + 1, members);
    world.falseRemovals = world.suspicions = world.renewals = 0;
    world.resetTraffic();
    auto healed = world.runUntil([&] { return world.allTablesHaveMembers(members); }, roundLimit);
    auto traffic = world.trafficSince(healed.value_or(roundLimit));
    printRounds("all know all after healing", healed);
    std::printf("  %-44s %zu\n", "running members removed after healing", world.falseRemovals);
    std::printf("  %-44s %zu\n", "running members suspected after healing", world.suspicions);
    std::printf("  %-44s %zu\n", "new incarnations after healing", world.renewals);
    std::printf("  %-44s %.0f mean, %.0f largest, %.1f messages/s\n", "bytes/s sent by one daemon", traffic.mean, traffic.largest, traffic.messages);
    printRounds("new revision known to all", spreadRevision(world, 2));
}

void measureLeave(size_t members, size_t zones, size_t regions)
{
    MembershipSimulation world(members, zones, regions, members);
    world.fillAllTables();
    for (size_t i = 0; i < 15; ++i)
        world.runRound();
    auto left = world.nodes[1].table.self.id;
    world.leave(world.nodes[1]);
    std::printf("planned stop among %zu members\n", members);
    printRounds("removed everywhere", world.runUntil([&] { return world.isRemovedEverywhere(left); }, roundLimit));
}

} // namespace

/** With any argument, only the cold start of 330 members and an hour of partition between them are measured. */
int main(int argumentCount, char** /*arguments*/)
{
    if (argumentCount > 1) {
        measureColdStart(330, 8, 3);
        for (uint64_t seed : { 330, 331, 332 })
            measurePartition(330, 8, 3, 3600, seed);
        return 0;
    }
    auto start = std::chrono::steady_clock::now();
    measure(6, 3, 1);
    measure(50, 4, 1);
    measure(330, 8, 3);
    measurePartition(12, 4, 2, 3600, 12);
    measurePartition(330, 8, 3, 30, 330);
    measurePartition(330, 8, 3, 3600, 330);
    measureLeave(330, 8, 3);
    measureColdStart(6, 3, 1);
    measureColdStart(50, 4, 1);
    measureColdStart(330, 8, 3);
    std::printf("elapsed %.1f s\n", std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count());
}
