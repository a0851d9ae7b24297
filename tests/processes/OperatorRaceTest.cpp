#include "processes/ClusterSteps.h"

#include <doctest/doctest.h>
#include <fstream>

using namespace chestnut;
using namespace chestnut::test;
using nlohmann::json;

namespace {

constexpr const char* operatorProgram = "programs/chestnutroute/chestnutroute";
constexpr int exitSuccess = 0;
constexpr int exitRefused = 1;

struct ExitCodes {
    int first = -1;
    int second = -1;

    std::string text() const { return std::to_string(first) + " " + std::to_string(second); }
};

/** Submits two tickets at the same time to two daemons; returns the exit codes of the operator program. */
ExitCodes submitConcurrently(ProcessCluster& cluster, size_t round, const json& first, const json& second)
{
    std::vector<std::unique_ptr<ChildProcess>> processes;
    for (const auto* ticket : { &first, &second }) {
        auto index = processes.size();
        auto path = cluster.folder() + "/ticket" + std::to_string(round) + "." + std::to_string(index) + ".json";
        std::ofstream(path) << ticket->dump();
        auto daemon = formatEndpoint(cluster.operators((round + index) % cluster.daemonCount()));
        processes.push_back(cluster.startProgram(operatorProgram, { "--daemon=" + daemon, "submit", path }));
    }
    auto firstCode = processes[0]->wait(60);
    auto secondCode = processes[1]->wait(60);
    return { firstCode.value_or(-1), secondCode.value_or(-1) };
}

json ticket(size_t number, size_t weight)
{
    return { { "number", number }, { "accounts", { { "shared", { { "weight", weight } } } } } };
}

} // namespace

// Guards against two conflicting tickets that are both reported as accepted, and against lost changes (H9).
TEST_CASE("tickets submitted at the same time with equal or different numbers are reported truthfully" * doctest::test_suite("operators"))
{
    ProcessCluster cluster(fastShape("operators"));
    REQUIRE(cluster.start());
    constexpr size_t rounds = 8;
    size_t number = 2;
    auto first = revisionOf(cluster, 0);
    uint64_t accepted = 0;
    for (size_t round = 0; round < rounds; ++round, ++number) {
        auto codes = submitConcurrently(cluster, round, ticket(number, 1), ticket(number, 2));
        INFO("same number, other content: " << codes.text());
        CHECK((codes.text() == "0 1" || codes.text() == "1 0"));
        ++accepted;
    }
    for (size_t round = 0; round < rounds; ++round, ++number) {
        auto codes = submitConcurrently(cluster, round, ticket(number, 3), ticket(number, 3));
        INFO("same ticket: " << codes.text());
        CHECK(codes.text() == "0 0");
        ++accepted;
    }
    for (size_t round = 0; round < rounds; ++round, number += 2) {
        auto codes = submitConcurrently(cluster, round, ticket(number, 4), ticket(number + 1, 5));
        INFO("different numbers: " << codes.text());
        CHECK((codes.first == exitSuccess || codes.first == exitRefused));
        CHECK(codes.second == exitSuccess);
        accepted += codes.first == exitSuccess ? 2 : 1;
        auto list = cluster.runProgram(operatorProgram, { "--daemon=" + cluster.operatorList(), "--json", "show", std::to_string(number) });
        CHECK((list.exitCode == exitSuccess) == (codes.first == exitSuccess));
    }
    CHECK(eventually([&] { return allHaveRevision(cluster, first + accepted); }, 17));
    CHECK(revisionOf(cluster, 0) == first + accepted);

    auto stale = cluster.runProgram(operatorProgram, { "--daemon=" + cluster.operatorList(), "submit", cluster.folder() + "/ticket0.0.json" });
    CHECK((stale.exitCode == exitSuccess || stale.exitCode == exitRefused));
    CHECK(revisionOf(cluster, 0) == first + accepted);
    auto usage = cluster.runProgram(operatorProgram, { "--daemon=" + cluster.operatorList(), "submit" });
    CHECK(usage.exitCode == 2);
    auto unreachable = cluster.runProgram(operatorProgram, { "--daemon=127.0.0.1:1", "fleet" });
    CHECK(unreachable.exitCode == 3);
}
