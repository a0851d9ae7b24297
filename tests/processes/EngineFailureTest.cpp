#include "processes/ClusterSteps.h"

#include <csignal>
#include <doctest/doctest.h>

using namespace chestnut;
using namespace chestnut::test;
using nlohmann::json;

namespace {

bool isBusy(ProcessCluster& cluster, size_t engine)
{
    auto load = cluster.fetchJson(cluster.engineEndpoint(engine), "/load");
    return load.is_object() && load.value("running", 0) > 0;
}

void checkAllAnswered(const json& summary)
{
    INFO(summary.dump(1));
    CHECK(summary.value("sent", 0) > 20);
    CHECK(summary["answered_once"] == summary["sent"]);
    CHECK(summary["wrong_answers"] == 0);
    CHECK(summary["duplicate_tokens"] == 0);
}

/** Restarts engines that ended and returns their number. */
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
TEST_CASE("an engine is killed in streams and each token arrives once" * doctest::test_suite("engines"))
{
    auto shape = fastShape("engine_killed");
    shape.engines = 4;
    shape.engineFlags = { "--decode_tokens_per_second=50", "--prefill_tokens_per_second=40000" };
    ProcessCluster cluster(shape);
    REQUIRE(cluster.start());
    BackgroundLoad load(cluster);
    for (size_t victim : { size_t { 0 }, size_t { 2 } }) {
        CHECK(eventually([&] { return isBusy(cluster, victim); }));
        cluster.engine(victim).signal(SIGKILL);
        CHECK(cluster.engine(victim).wait(10) == 128 + SIGKILL);
        auto served = servedCalls(cluster);
        CHECK(eventually([&] { return servedCalls(cluster) > served + 10; }));
        cluster.startEngine(victim);
        CHECK(eventually([&] { return isBusy(cluster, victim); }));
    }
    checkAllAnswered(load.finish());
}

// Guards against an answer that reaches another caller, and against answers taken for lost because they are late (H4).
TEST_CASE("crossed and late answers never reach another caller" * doctest::test_suite("engines"))
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
    auto served = servedCalls(cluster);
    CHECK(eventually([&] { return servedCalls(cluster) > served + 30; }));
    for (size_t i = 0; i < cluster.engineCount(); ++i)
        REQUIRE(setFaults(cluster, cluster.engineEndpoint(i), { { "lateAnswerMs", 0 } }));
    checkAllAnswered(load.finish());
}

// Guards against one request that crashes engine after engine, also when its caller retries it at other daemons at once.
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
        auto answer = complete(cluster, attempt % cluster.daemonCount(), "a POISON prompt");
        CHECK(answer.status >= 400);
        kinds.insert(answer.kind + "/" + answer.outcome);
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
        CHECK(complete(cluster, i, "an innocent prompt " + std::to_string(i)).isRightText);
    }
    CHECK(restartCrashed(cluster) == 0);
    checkAllAnswered(load.finish());
}

// Guards against an engine that stays in a half-done or old state after it crashed during a change that a ticket orders,
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
    CHECK(eventually([&] { return runsRole(cluster, 0, "decode"); }, 90));
    CHECK(conflictingOrders(cluster, 0) == "");
    auto isRunning = [&] {
        auto status = cluster.fetchJson(cluster.operators(2), "/tickets/2");
        return status.is_object() && status.dump().find("running") != std::string::npos;
    };
    CHECK(eventually(isRunning));
    checkAllAnswered(load.finish());
}
