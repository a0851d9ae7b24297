#include "MembershipWorld.h"

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
std::optional<size_t> spreadRevision(MembershipWorld& world, Revision revision)
{
    world.nodes[0].table.self.revision = revision;
    return world.runUntil([&] { return world.everyoneKnowsRevision(revision); }, roundLimit);
}

void measure(size_t members, size_t zones, size_t regions)
{
    std::printf("%zu members, %zu zones, %zu regions\n", members, zones, regions);
    MembershipWorld world(members, zones, regions, members);
    world.introduceAll();
    for (size_t i = 0; i < 15; ++i)
        world.runRound();
    size_t suspicions = 0;
    constexpr size_t quietRounds = 30;
    for (size_t i = 0; i < quietRounds; ++i) {
        world.runRound();
        suspicions += world.suspicionsOfRunning();
    }
    auto pairs = static_cast<double>(members * (members - 1) * quietRounds);
    std::printf("  %-44s %.3g %%\n", "views in which a running member is suspected", 100 * static_cast<double>(suspicions) / pairs);
    printRounds("new revision known to all", spreadRevision(world, 2));
    auto traffic = world.measureTraffic(30);
    std::printf("  %-44s %.0f mean, %.0f largest, %.1f messages/s\n", "bytes/s sent by one daemon", traffic.mean, traffic.largest, traffic.messages);
    std::printf("  %-44s %zu\n", "running members removed", world.removalsOfRunning);
    world.nodes[1].runs = false;
    auto dead = world.nodes[1].table.self.id;
    printRounds("dead member removed everywhere", world.runUntil([&] { return world.nobodyKnows(dead); }, roundLimit));
}

void measureColdStart(size_t members, size_t zones, size_t regions)
{
    MembershipWorld world(members, zones, regions, members);
    auto joined = world.runUntil([&] { return world.everyoneKnows(members); }, roundLimit);
    std::printf("cold start of %zu members\n", members);
    printRounds("all know all, from the VM list alone", joined);
    std::printf("  %-44s %zu\n", "running members removed", world.removalsOfRunning);
}

void measurePartition(size_t members, size_t zones, size_t regions, size_t partitionRounds)
{
    MembershipWorld world(members, zones, regions, members);
    world.introduceAll();
    world.allows = [](const auto& from, const auto& to) { return from.table.self.region == to.table.self.region; };
    for (size_t i = 0; i < partitionRounds; ++i)
        world.runRound();
    std::printf("%zu members, %zu regions, partitioned for %zu rounds\n", members, regions, partitionRounds);
    std::printf("  %-44s %zu of %zu\n", "members known to the first", world.nodes[0].table.others.size() + 1, members);
    world.allows = [](const auto&, const auto&) { return true; };
    world.removalsOfRunning = 0;
    printRounds("all know all after healing", world.runUntil([&] { return world.everyoneKnows(members); }, roundLimit));
    std::printf("  %-44s %zu\n", "running members removed after healing", world.removalsOfRunning);
}

} // namespace

/** With any argument, only the partition of 330 members is measured. */
int main(int argumentCount, char** /*arguments*/)
{
    if (argumentCount > 1) {
        measurePartition(330, 8, 3, 30);
        return 0;
    }
    auto start = std::chrono::steady_clock::now();
    measure(6, 3, 1);
    measure(50, 4, 1);
    measure(330, 8, 3);
    measurePartition(12, 4, 2, 3600);
    measurePartition(330, 8, 3, 30);
    measureColdStart(6, 3, 1);
    measureColdStart(50, 4, 1);
    measureColdStart(330, 8, 3);
    std::printf("elapsed %.1f s\n", std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count());
}
