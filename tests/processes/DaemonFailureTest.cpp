#include "processes/ClusterSteps.h"

#include <csignal>
#include <doctest/doctest.h>
#include <future>

using namespace chestnut;
using namespace chestnut::test;
using nlohmann::json;

namespace {

/** Maximum time until an unresponsive member is removed and until a returning one is readmitted, on a busy machine. */
constexpr double membershipTimeout = 60;

size_t countReadyMembers(ProcessCluster& cluster, size_t daemon)
{
    size_t ready = 0;
    auto fleet = cluster.fetchJson(cluster.operators(daemon), "/fleet");
    if (!fleet.is_object())
        return 0;
    for (const auto& member : fleet.value("members", json::array()))
        ready += member.value("state", "") == "ready" ? 1 : 0;
    return ready;
}

size_t countFencingNumbers(ProcessCluster& cluster, size_t engine)
{
    std::set<uint64_t> numbers;
    for (const auto& entry : ordersOf(cluster, engine))
        numbers.insert(entry["order"].value("fencing_number", uint64_t { 0 }));
    return numbers.size();
}

} // namespace

// Guards against requests that are lost, answered twice or run twice when an entry VM fails and returns (H4, H6).
TEST_CASE("a daemon is killed under load and restarted with the same id" * doctest::test_suite("daemons"))
{
    ProcessCluster cluster(fastShape("daemon_killed"));
    REQUIRE(cluster.start());
    BackgroundLoad load(cluster);
    for (size_t victim : { size_t { 0 }, size_t { 4 } }) {
        cluster.daemon(victim).signal(SIGKILL);
        CHECK(cluster.daemon(victim).wait(10) == 128 + SIGKILL);
        CHECK(eventually([&] { return countReadyMembers(cluster, 1) == cluster.daemonCount() - 1; }, membershipTimeout));
        auto served = countServedCalls(cluster);
        CHECK(eventually([&] { return countServedCalls(cluster) > served + 3; }));
        cluster.startDaemon(victim);
        CHECK(eventually([&] { return cluster.isReady(victim); }));
        CHECK(eventually([&] { return countReadyMembers(cluster, 1) == cluster.daemonCount(); }, membershipTimeout));
        CHECK(complete(cluster, victim, "after the restart").isExpectedText);
        CHECK(book(cluster, victim, newKey()).kind == "answered");
    }
    auto summary = load.finish();
    INFO(summary.dump(1));
    CHECK(summary.value("sent", 0) > 50);
    CHECK(summary["wrong_answers"] == 0);
    CHECK(summary["duplicate_tokens"] == 0);
    CHECK(summary["interrupted"] == 0);
    // The result of a call that the killed daemon may have sent to a backend server is lost.
    CHECK(findUnexpectedRefusals(summary, { "already_run/unknown", "outcome_unknown/unknown" }) == "");
    CHECK(findContradictions(cluster, {}) == "");
}

// Guards against orders of a holder that lost its lease while it was paused (H3), with engines that check fencing numbers
// (e0) and engines that ignore them (e3) in the group of the same holder, and against conflicting orders (H1).
TEST_CASE("a paused holder's orders have no effect after its lease ended" * doctest::test_suite("authority"))
{
    auto shape = fastShape("daemon_paused");
    shape.engines = 6;
    shape.enginesIgnoringFencing = { 3, 4, 5 };
    ProcessCluster cluster(shape);
    REQUIRE(cluster.start());
    std::optional<size_t> holder;
    REQUIRE(eventually([&] { return (holder = leaseHolderOf(cluster, 0)).has_value(); }));
    size_t other = *holder == 0 ? 1 : 0;
    auto ticket = [&](int number, const std::string& role) {
        return json { { "number", number }, { "engines", { { "e0", cluster.engineObject(0, role) }, { "e3", cluster.engineObject(3, role) } } } };
    };
    auto bothRun = [&](const std::string& role) { return isReadyInRole(cluster, 0, role) && isReadyInRole(cluster, 3, role); };

    // The pause begins immediately after the ticket, while the holder prepares its orders.
    int number = 1;
    for (const auto* firstRole : { "decode", "prefill" }) {
        REQUIRE(cluster.submit(ticket(++number, firstRole), *holder) == 200);
        cluster.daemon(*holder).signal(SIGSTOP);
        CHECK(eventually([&] { return bothRun(firstRole); }, 90));
        REQUIRE(cluster.submit(ticket(++number, "mixed"), other) == 200);
        CHECK(eventually([&] { return bothRun("mixed"); }, 90));
        cluster.daemon(*holder).signal(SIGCONT);
        CHECK(eventually([&] { return countReadyMembers(cluster, other) == cluster.daemonCount(); }, membershipTimeout));
        CHECK(eventually([&] { return revisionOf(cluster, *holder) == revisionOf(cluster, other); }));
        CHECK(eventually([&] { return bothRun("mixed"); }));
        for (size_t engine = 0; engine < cluster.engineCount(); ++engine)
            CHECK(findConflictingOrders(cluster, engine) == "");
        // Meanwhile another holder sent orders to the engines under its own fencing number.
        for (size_t engine : { size_t { 0 }, size_t { 3 } })
            CHECK(countFencingNumbers(cluster, engine) > 1);
        REQUIRE(eventually([&] { return (holder = leaseHolderOf(cluster, 0, other)).has_value(); }));
        other = *holder == 0 ? 1 : 0;
    }
}

// Guards against calls that get no answer because their daemon exits at the end of its shutdown time.
TEST_CASE("a call that outlasts the shutdown of its daemon is answered as a call that may have run" * doctest::test_suite("rolling"))
{
    auto shape = fastShape("outlasting");
    shape.daemons = 1;
    shape.shutdownTimeout = "15s";
    ProcessCluster cluster(shape);
    REQUIRE(cluster.start());
    for (size_t i = 0; i < cluster.serverCount(); ++i)
        REQUIRE(setFaults(cluster, cluster.serverEndpoint(i), { { "serviceMs", 60000 } }));
    auto call = std::async(std::launch::async, [&cluster] { return book(cluster, 0, newKey()); });
    std::this_thread::sleep_for(std::chrono::seconds(1));
    cluster.daemon(0).signal(SIGTERM);
    CHECK(cluster.daemon(0).wait(20) == 0);
    auto answer = call.get();
    CHECK(answer.status == 504);
    CHECK(answer.outcome == "unknown");
}

// Guards against requests interrupted by a planned change: a rolling replacement of all entry VMs (H2, H8).
TEST_CASE("daemons are replaced one after another under load" * doctest::test_suite("rolling"))
{
    ProcessCluster cluster(fastShape("rolling"));
    REQUIRE(cluster.start());
    BackgroundLoad load(cluster, 8);
    // A graceful stop waits 10 s for cached discovery responses to expire, and for the longest request.
    constexpr double stopTimeout = 90;
    for (size_t i = 0; i < cluster.daemonCount(); ++i) {
        cluster.daemon(i).signal(SIGTERM);
        CHECK(cluster.daemon(i).wait(stopTimeout) == 0);
        cluster.startDaemon(i);
        CHECK(eventually([&] { return cluster.isReady(i); }));
    }
    auto summary = load.finish();
    INFO(summary.dump(1));
    CHECK(summary.value("sent", 0) > 100);
    CHECK(summary["answered_once"] == summary["sent"]);
    CHECK(summary["wrong_answers"] == 0);
    CHECK(summary["duplicate_tokens"] == 0);
    CHECK(findContradictions(cluster, {}) == "");
}
