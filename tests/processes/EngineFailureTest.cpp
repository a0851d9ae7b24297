#include "processes/ClusterSteps.h"

#include <csignal>
#include <doctest/doctest.h>
#include <sstream>

using namespace chestnut;
using namespace chestnut::test;
using nlohmann::json;

namespace {

bool isBusy(ProcessCluster& cluster, size_t engine)
{
    auto load = cluster.fetchJson(cluster.engineEndpoint(engine), "/load");
    return load.is_object() && load.value("running", 0) > 0;
}

/** Counts the streams whose engine connection broke after the first token, from the logs of all daemons. */
size_t countBrokenStreams(ProcessCluster& cluster)
{
    size_t count = 0;
    for (size_t i = 0; i < cluster.daemonCount(); ++i) {
        std::istringstream output(fileContents(cluster.daemon(i).outputPath()));
        for (std::string line; std::getline(output, line);) {
            bool isBroken = line.find("name=attempt_failed") != std::string::npos && line.find("kind=backend_failed") != std::string::npos && line.find("tokens=0") == std::string::npos;
            count += isBroken ? 1 : 0;
        }
    }
    return count;
}

void checkAllAnswered(const json& summary)
{
    INFO(summary.dump(1));
    CHECK(summary.value("sent", 0) > 20);
    CHECK(summary["answered_once"] == summary["sent"]);
    CHECK(summary["wrong_answers"] == 0);
    CHECK(summary["duplicate_tokens"] == 0);
}

/** Restarts the engines whose process has ended, and returns their number. */
size_t restartCrashed(ProcessCluster& cluster)
{
    size_t crashed = 0;
    for (size_t i = 0; i < cluster.engineCount(); ++i) {
        if (cluster.engine(i).isRunning())
            continue;
        ++crashed;
        cluster.startEngine(i);
    }
    return crashed;
}

} // namespace

// Guards against streams that break, repeat tokens or lose tokens when their engine dies (H4).
TEST_CASE("each token is delivered once when engines are killed during streams" * doctest::test_suite("engines"))
{
    auto shape = fastShape("engine_killed");
    shape.engines = 4;
    shape.engineFlags = { "--decode_tokens_per_second=50", "--prefill_tokens_per_second=40000" };
    ProcessCluster cluster(shape);
    REQUIRE(cluster.start());
    BackgroundLoad load(cluster);
    constexpr size_t maximumKills = 8;
    for (size_t kills = 0; kills < 2 || (countBrokenStreams(cluster) == 0 && kills < maximumKills); ++kills) {
        auto victim = kills % cluster.engineCount();
        CHECK(eventually([&] { return isBusy(cluster, victim); }));
        cluster.engine(victim).signal(SIGKILL);
        CHECK(cluster.engine(victim).wait(10) == 128 + SIGKILL);
        auto served = countServedCalls(cluster);
        CHECK(eventually([&] { return countServedCalls(cluster) > served + 10; }));
        cluster.startEngine(victim);
        CHECK(eventually([&] { return isBusy(cluster, victim); }));
    }
    CHECK(countBrokenStreams(cluster) > 0);
    checkAllAnswered(load.finish());
}

// Guards against responses delivered to another caller, and against late responses that are treated as lost (H4).
TEST_CASE("crossed and late responses are never delivered to another caller" * doctest::test_suite("engines"))
{
    ProcessCluster cluster(fastShape("crossed"));
    REQUIRE(cluster.start());
    BackgroundLoad load(cluster, 20);
    constexpr uint32_t pairs = 5;
    for (size_t i = 0; i < cluster.engineCount(); ++i)
        REQUIRE(setFaults(cluster, cluster.engineEndpoint(i), { { "crossedAnswers", pairs } }));
    auto crossingsLeft = [&] {
        uint32_t left = 0;
        for (size_t i = 0; i < cluster.engineCount(); ++i) {
            HttpRequest request { "POST", "/control/faults", {}, "{}" };
            auto response = cluster.send(cluster.engineEndpoint(i), request);
            left += response ? json::parse(response->body).value("crossedAnswers", 0U) : 0;
        }
        return left;
    };
    CHECK(eventually([&] { return crossingsLeft() < pairs; }, 30));
    for (size_t i = 0; i < cluster.engineCount(); ++i)
        REQUIRE(setFaults(cluster, cluster.engineEndpoint(i), { { "crossedAnswers", 0 }, { "lateAnswerMs", 1500 } }));
    auto served = countServedCalls(cluster);
    CHECK(eventually([&] { return countServedCalls(cluster) > served + 30; }));
    for (size_t i = 0; i < cluster.engineCount(); ++i)
        REQUIRE(setFaults(cluster, cluster.engineEndpoint(i), { { "lateAnswerMs", 0 } }));
    checkAllAnswered(load.finish());
}

// Guards against a request that crashes engine after engine, even if its caller retries at other daemons immediately.
TEST_CASE("a prompt that crashes its engines is quarantined on all daemons after two engines" * doctest::test_suite("engines"))
{
    auto shape = fastShape("poison");
    shape.engines = 4;
    shape.engineFlags.emplace_back("--crash_prompt=POISON");
    ProcessCluster cluster(shape);
    REQUIRE(cluster.start());
    BackgroundLoad load(cluster);
    size_t crashed = 0;
    std::set<std::string> kinds;
    for (size_t attempt = 0; attempt < 2 * cluster.daemonCount(); ++attempt) {
        auto result = complete(cluster, attempt % cluster.daemonCount(), "a POISON prompt");
        CHECK(result.status >= 400);
        kinds.insert(result.kind + "/" + result.outcome);
        crashed += restartCrashed(cluster);
    }
    std::string seen;
    for (const auto& kind : kinds)
        seen += kind + " ";
    INFO(seen);
    CHECK(crashed <= 2);
    CHECK(kinds.contains("suspect_request/not_run"));
    for (size_t i = 0; i < cluster.daemonCount(); ++i) {
        CHECK(complete(cluster, i, "a POISON prompt").kind == "suspect_request");
        CHECK(complete(cluster, i, "an innocent prompt " + std::to_string(i)).isExpectedText);
    }
    CHECK(restartCrashed(cluster) == 0);
    checkAllAnswered(load.finish());
}

// Guards against an engine that keeps an old or incomplete state after it crashed during a change ordered by a ticket,
// and against requests interrupted by the change itself (H1, H2).
TEST_CASE("an engine that crashes during a role change reaches the new role after its restart" * doctest::test_suite("engines"))
{
    auto shape = fastShape("crash_in_change");
    shape.engines = 6;
    ProcessCluster cluster(shape);
    REQUIRE(cluster.start());
    BackgroundLoad load(cluster);
    REQUIRE(setFaults(cluster, cluster.engineEndpoint(0), { { "crashDuringChange", true } }));
    REQUIRE(cluster.submit({ { "number", 2 }, { "engines", { { "e0", cluster.engineObject(0, "decode") } } } }, 1) == 200);
    REQUIRE(eventually([&] { return !cluster.engine(0).isRunning(); }, 90));
    cluster.startEngine(0);
    CHECK(eventually([&] { return isReadyInRole(cluster, 0, "decode"); }, 90));
    CHECK(findConflictingOrders(cluster, 0) == "");
    auto isRunning = [&] {
        auto status = cluster.fetchJson(cluster.operators(2), "/tickets/2");
        return status.is_object() && status.dump().find("running") != std::string::npos;
    };
    CHECK(eventually(isRunning));
    checkAllAnswered(load.finish());
}
