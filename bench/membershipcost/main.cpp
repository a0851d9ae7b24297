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

/** Sets a revision at one node; nodes that receive it apply it in the next round, as the configuration service does. */
std::optional<size_t> spreadRevision(MembershipSimulation& simulation, Revision revision)
{
    simulation.nodes[0].table.self.revision = revision;
    return simulation.runUntil([&] { return simulation.revisionReachedAll(revision); }, roundLimit);
}

void measure(size_t members, size_t zones, size_t regions)
{
    std::printf("%zu members, %zu zones, %zu regions\n", members, zones, regions);
    MembershipSimulation simulation(members, zones, regions, members);
    simulation.fillAllTables();
    for (size_t i = 0; i < 15; ++i)
        simulation.runRound();
    size_t suspicions = 0;
    constexpr size_t observedRounds = 30;
    for (size_t i = 0; i < observedRounds; ++i) {
        simulation.runRound();
        suspicions += simulation.falseSuspicions();
    }
    auto pairs = static_cast<double>(members * (members - 1) * observedRounds);
    std::printf("  %-44s %.3g %%\n", "views in which a running member is suspected", 100 * static_cast<double>(suspicions) / pairs);
    printRounds("new revision at all members", spreadRevision(simulation, 2));
    auto traffic = simulation.measureTraffic(30);
    std::printf("  %-44s %.0f mean, %.0f largest, %.1f messages/s\n", "bytes/s sent by one daemon", traffic.mean, traffic.largest, traffic.messages);
    std::printf("  %-44s %zu\n", "running members removed", simulation.falseRemovals);
    simulation.nodes[1].runs = false;
    auto stopped = simulation.nodes[1].table.self.id;
    printRounds("stopped member removed everywhere", simulation.runUntil([&] { return simulation.isRemovedEverywhere(stopped); }, roundLimit));
}

void measureColdStart(size_t members, size_t zones, size_t regions)
{
    MembershipSimulation simulation(members, zones, regions, members);
    auto joined = simulation.runUntil([&] { return simulation.allTablesHaveMembers(members); }, roundLimit);
    std::printf("cold start of %zu members\n", members);
    printRounds("all tables complete, from the VM list alone", joined);
    std::printf("  %-44s %zu\n", "running members removed", simulation.falseRemovals);
}

/** Rounds of a partition that are simulated; the rest is skipped, because nothing changes once both sides have removed
    each other. */
constexpr size_t maximumSimulatedRounds = 60;

void simulatePartition(MembershipSimulation& simulation, size_t partitionRounds)
{
    simulation.allows = [](const auto& from, const auto& to) { return from.table.self.region == to.table.self.region; };
    auto simulated = std::min(partitionRounds, maximumSimulatedRounds);
    for (size_t i = 0; i < simulated; ++i)
        simulation.runRound();
    simulation.skipIdleTime(heartbeatPeriod * static_cast<Duration::rep>(partitionRounds - simulated));
    simulation.allows = [](const auto&, const auto&) { return true; };
}

/** @param seed a seed other than the member count repeats the measurement with other random choices */
void measurePartition(size_t members, size_t zones, size_t regions, size_t partitionRounds, uint64_t seed)
{
    MembershipSimulation simulation(members, zones, regions, seed);
    simulation.fillAllTables();
    simulatePartition(simulation, partitionRounds);
    std::printf("%zu members, %zu regions, partitioned for %zu rounds, seed %zu\n", members, regions, partitionRounds, static_cast<size_t>(seed));
    std::printf("  %-44s %zu of %zu\n", "members in the table of the first", simulation.nodes[0].table.others.size() + 1, members);
    simulation.falseRemovals = simulation.suspicions = simulation.renewals = 0;
    simulation.resetTraffic();
    auto roundsToHeal = simulation.runUntil([&] { return simulation.allTablesHaveMembers(members); }, roundLimit);
    auto traffic = simulation.trafficSince(roundsToHeal.value_or(roundLimit));
    printRounds("all tables complete after healing", roundsToHeal);
    std::printf("  %-44s %zu\n", "running members removed after healing", simulation.falseRemovals);
    std::printf("  %-44s %zu\n", "running members suspected after healing", simulation.suspicions);
    std::printf("  %-44s %zu\n", "new incarnations after healing", simulation.renewals);
    std::printf("  %-44s %.0f mean, %.0f largest, %.1f messages/s\n", "bytes/s sent by one daemon", traffic.mean, traffic.largest, traffic.messages);
    printRounds("new revision at all members", spreadRevision(simulation, 2));
}

void measureDeparture(size_t members, size_t zones, size_t regions)
{
    MembershipSimulation simulation(members, zones, regions, members);
    simulation.fillAllTables();
    for (size_t i = 0; i < 15; ++i)
        simulation.runRound();
    auto departed = simulation.nodes[1].table.self.id;
    simulation.leave(simulation.nodes[1]);
    std::printf("planned stop among %zu members\n", members);
    printRounds("removed everywhere", simulation.runUntil([&] { return simulation.isRemovedEverywhere(departed); }, roundLimit));
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
    measureDeparture(330, 8, 3);
    measureColdStart(6, 3, 1);
    measureColdStart(50, 4, 1);
    measureColdStart(330, 8, 3);
    std::printf("elapsed %.1f s\n", std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count());
}
