#include "processes/ClusterSteps.h"

#include <csignal>
#include <doctest/doctest.h>
#include <future>

using namespace chestnut;
using namespace chestnut::test;
using nlohmann::json;

namespace {

int runningCallsOn(ProcessCluster& cluster, size_t server)
{
    auto load = cluster.fetchJson(cluster.serverEndpoint(server), "/load");
    return load.is_object() ? load.value("running", -1) : -1;
}

/** Executions of keyed and other calls on one server. */
json executionsOn(ProcessCluster& cluster, size_t server)
{
    return cluster.fetchJson(cluster.serverEndpoint(server), "/control/executions");
}

size_t countAnswered(const std::vector<KeyedCall>& calls)
{
    size_t count = 0;
    for (const auto& call : calls)
        count += call.kind == "answered" ? 1 : 0;
    return count;
}

/** Lets the server leave while calls run on it. Checks that they finish and that none starts there after the time limit
    of H7. */
void checkLeaving(ProcessCluster& cluster, size_t server, const std::function<bool()>& leave)
{
    REQUIRE(setFaults(cluster, cluster.serverEndpoint(server), { { "serviceMs", 4000 } }));
    std::vector<std::future<KeyedCall>> calls;
    for (size_t i = 0; i < 12; ++i)
        calls.push_back(std::async(std::launch::async, [&cluster, i] { return book(cluster, i % cluster.daemonCount(), newKey()); }));
    REQUIRE(eventually([&] { return runningCallsOn(cluster, server) > 0; }));
    REQUIRE(leave());
    constexpr std::chrono::seconds maximumLeavingDelay(5);
    std::this_thread::sleep_for(maximumLeavingDelay);
    for (auto& call : calls)
        CHECK(call.get().kind == "answered");
    // Waits for calls of the background load that started within this time.
    REQUIRE(eventually([&] { return runningCallsOn(cluster, server) == 0; }));
    auto before = executionsOn(cluster, server);
    auto served = countServedCalls(cluster);
    CHECK(eventually([&] { return countServedCalls(cluster) > served + 30; }));
    for (size_t i = 0; i < cluster.daemonCount(); ++i)
        CHECK(book(cluster, i, newKey()).kind == "answered");
    CHECK(executionsOn(cluster, server) == before);
    REQUIRE(setFaults(cluster, cluster.serverEndpoint(server), { { "serviceMs", 10 } }));
}

} // namespace

// Guards against a call that is not idempotent but runs twice, because its server died, its response was lost or its
// caller sent it to two daemons at the same time (H6), and against a false "not run" (H5).
TEST_CASE("calls that are not idempotent run at most once" * doctest::test_suite("services"))
{
    ProcessCluster cluster(fastShape("services"));
    REQUIRE(cluster.start());

    SUBCASE("a backend server is killed and restarted")
    {
        for (size_t i = 0; i < cluster.serverCount(); ++i)
            REQUIRE(setFaults(cluster, cluster.serverEndpoint(i), { { "serviceMs", 200 } }));
        auto calls = bookConcurrently(cluster, 120, 12, [&] {
            for (size_t victim = 0; victim < 2; ++victim) {
                CHECK(eventually([&] { return runningCallsOn(cluster, victim) > 0; }));
                cluster.backendServer(victim).signal(SIGKILL);
                cluster.backendServer(victim).wait(10);
                cluster.startBackendServer(victim);
                CHECK(eventually([&] { return runningCallsOn(cluster, victim) >= 0; }));
            }
        });
        CHECK(findContradictions(cluster, calls) == "");
        CHECK(countAnswered(calls) > 60);
    }

    SUBCASE("a backend server crashes before and after executions and loses responses")
    {
        REQUIRE(setFaults(cluster, cluster.serverEndpoint(0), { { "lostAnswers", 5 } }));
        REQUIRE(setFaults(cluster, cluster.serverEndpoint(1), { { "crashAfterExecution", 5 } }));
        REQUIRE(setFaults(cluster, cluster.serverEndpoint(2), { { "crashBeforeExecution", 5 } }));
        auto calls = bookConcurrently(cluster, 90, 6, [&] {
            CHECK(cluster.backendServer(1).wait(60).has_value());
            cluster.startBackendServer(1);
            CHECK(cluster.backendServer(2).wait(60).has_value());
            cluster.startBackendServer(2);
        });
        CHECK(findContradictions(cluster, calls) == "");
        size_t unknown = 0;
        // Each call without a result is retried with its key at another daemon, as callers do.
        for (size_t i = 0; i < calls.size(); ++i) {
            if (calls[i].kind == "answered")
                continue;
            ++unknown;
            auto before = countExecutions(cluster)[calls[i].key];
            auto retry = book(cluster, (i + 1) % cluster.daemonCount(), calls[i].key);
            INFO(retry.key << " " << retry.kind << "/" << retry.outcome << " after " << calls[i].kind << "/" << calls[i].outcome);
            bool isConsistent = calls[i].outcome == "not_run" || (retry.outcome == "unknown" && countExecutions(cluster)[calls[i].key] == before);
            CHECK(isConsistent);
        }
        CHECK(unknown >= 7);
        CHECK(findContradictions(cluster, calls) == "");
    }

    SUBCASE("the same key is sent to two daemons at the same time")
    {
        for (size_t i = 0; i < 30; ++i) {
            auto key = newKey();
            auto send = [&cluster, &key](size_t daemon) { return std::async(std::launch::async, [&cluster, &key, daemon] { return book(cluster, daemon, key); }); };
            auto first = send(i % cluster.daemonCount());
            auto second = send((i + 1 + i / 6) % cluster.daemonCount());
            std::vector<KeyedCall> pair { first.get(), second.get() };
            INFO(pair[0].kind << " " << pair[1].kind);
            CHECK(countAnswered(pair) >= 1);
            for (const auto& call : pair)
                CHECK((call.kind == "answered" || call.outcome == "unknown"));
            CHECK(findContradictions(cluster, pair) == "");
        }
    }
}

// Guards against new calls to a backend server that leaves (H7) and against interruption of its running calls (H2).
TEST_CASE("a backend server that leaves by ticket or by VM list finishes its calls and receives no new ones" * doctest::test_suite("services"))
{
    auto shape = fastShape("leaving");
    shape.backendServers = 4;
    ProcessCluster cluster(shape);
    REQUIRE(cluster.start());
    BackgroundLoad load(cluster);
    auto byTicket = [&] {
        auto server = cluster.serverObject(0);
        server["membership"] = "leaving";
        return cluster.submit({ { "number", 2 }, { "backend_servers", { { "o0", server } } } }, 3) == 200;
    };
    auto byVmList = [&] {
        json nodes { { { "id", "vm1" }, { "address", cluster.serverEndpoint(1).address }, { "zone", "b" }, { "state", "leaving" } } };
        return cluster.postJson(cluster.keyValueEndpoint(), "/control/nodes", nodes);
    };
    checkLeaving(cluster, 0, byTicket);
    checkLeaving(cluster, 1, byVmList);
    auto summary = load.finish();
    INFO(summary.dump(1));
    CHECK(summary["answered_once"] == summary["sent"]);
    CHECK(summary["wrong_answers"] == 0);
}

// Guards against tests whose first call to a stand-in fails because its process does not listen yet: daemons are ready without it.
TEST_CASE("a cluster counts as started only when its stand-ins listen" * doctest::test_suite("services"))
{
    auto shape = fastShape("late_servers");
    shape.daemons = 1;
    shape.serviceFlags.emplace_back("--listen_delay_ms=6000");
    ProcessCluster cluster(shape);
    REQUIRE(cluster.start());
    for (size_t i = 0; i < cluster.serverCount(); ++i)
        CHECK(setFaults(cluster, cluster.serverEndpoint(i), { { "serviceMs", 10 } }));
}
