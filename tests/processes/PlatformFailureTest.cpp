#include "processes/ClusterSteps.h"

#include <algorithm>
#include <atomic>
#include <csignal>
#include <doctest/doctest.h>
#include <future>

using namespace chestnut;
using namespace chestnut::test;
using nlohmann::json;

namespace {

/** Polls the revisions of all daemons and records each one that reverts (H9). */
class RevisionMonitor {
public:
    explicit RevisionMonitor(ProcessCluster& cluster)
        : m_thread([this, &cluster] { run(cluster); })
    {
    }
    RevisionMonitor(const RevisionMonitor&) = delete;
    RevisionMonitor& operator=(const RevisionMonitor&) = delete;
    ~RevisionMonitor()
    {
        if (m_thread.joinable())
            finish();
    }

    std::string finish()
    {
        m_isStopped = true;
        m_thread.join();
        return m_reverted;
    }

private:
    void run(ProcessCluster& cluster)
    {
        std::map<size_t, uint64_t> newest;
        while (!m_isStopped) {
            for (size_t i = 0; i < cluster.daemonCount(); ++i) {
                auto revision = revisionOf(cluster, i);
                if (revision != 0 && revision < newest[i])
                    m_reverted += "d" + std::to_string(i) + " from " + std::to_string(newest[i]) + " to " + std::to_string(revision) + "\n";
                newest[i] = std::max(newest[i], revision);
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(100));
        }
    }

    std::atomic<bool> m_isStopped { false };
    std::string m_reverted;
    std::thread m_thread;
};

json accountTicket(int number, const std::string& account)
{
    // A change of an account's weight sends no orders to engines.
    return { { "number", number }, { "accounts", { { "a" + account, { { "weight", number } } } } } };
}

HttpResponse submitTicket(ProcessCluster& cluster, const json& ticket, size_t daemon)
{
    HttpRequest request { "POST", "/tickets", {}, ticket.dump() };
    auto response = cluster.send(cluster.operators(daemon), request);
    return response ? *response : HttpResponse { 0, {}, "" };
}

void setOutage(ProcessCluster& cluster, bool isOutage)
{
    REQUIRE(setFaults(cluster, cluster.keyValueEndpoint(), { { "outage", isOutage } }));
}

} // namespace

// Guards against requests that fail because the key-value service is down, false outcomes of tickets and calls (H5), and
// configurations that revert (H9). A daemon started during the outage takes the newest configuration from a peer.
TEST_CASE("daemons keep serving and refuse tickets while the key-value service is down" * doctest::test_suite("platform"))
{
    ProcessCluster cluster(fastShape("outage"));
    REQUIRE(cluster.start());
    RevisionMonitor monitor(cluster);
    REQUIRE(cluster.submit(accountTicket(2, "x"), 0) == 200);
    REQUIRE(eventually([&] { return allHaveRevision(cluster, revisionOf(cluster, 0)); }, 17));
    auto revision = revisionOf(cluster, 0);
    setOutage(cluster, true);

    auto calls = bookConcurrently(cluster, 18, 6, [] {});
    CHECK(findContradictions(cluster, calls) == "");
    for (const auto& call : calls)
        CHECK(call.outcome == "not_run");
    {
        BackgroundLoad load(cluster);
        auto served = countServedCalls(cluster);
        CHECK(eventually([&] { return countServedCalls(cluster) > served + 40; }));
        for (size_t i = 0; i < cluster.daemonCount(); ++i) {
            CHECK(complete(cluster, i, "in the outage " + std::to_string(i)).isExpectedText);
            auto refusal = submitTicket(cluster, accountTicket(3, "y"), i);
            INFO(refusal.body);
            CHECK(refusal.status == 503);
            // Both outcomes are correct: the ticket is in force nowhere, and its number can be submitted again.
            CHECK((outcomeOf(refusal) == "not_run" || outcomeOf(refusal) == "unknown"));
        }
        cluster.daemon(5).signal(SIGKILL);
        cluster.daemon(5).wait(10);
        cluster.startDaemon(5);
        CHECK(eventually([&] { return cluster.isReady(5); }));
        CHECK(revisionOf(cluster, 5) == revision);
        CHECK(complete(cluster, 5, "at the new daemon").isExpectedText);
        auto summary = load.finish();
        INFO(summary.dump(1));
        CHECK(summary["wrong_answers"] == 0);
        CHECK(summary["duplicate_tokens"] == 0);
        CHECK(summary["interrupted"] == 0);
        // Only calls with shared keys, or with keys of the killed daemon, are refused.
        CHECK(findUnexpectedRefusals(summary, { "claim_unavailable/not_run", "claim_unavailable/unknown", "platform_unavailable/not_run", "platform_unavailable/unknown", "outcome_unknown/unknown", "already_run/unknown" }) == "");
    }

    CHECK(allHaveRevision(cluster, revision));
    setOutage(cluster, false);
    CHECK(eventually([&] {
        for (size_t i = 0; i < cluster.daemonCount(); ++i) {
            if (book(cluster, i, newKey()).kind != "answered")
                return false;
        }
        return true;
    }));
    CHECK(revisionOf(cluster, 0) == revision);
    // Each daemon reconnects with jitter, up to 5 s after the recovery; until then it refuses tickets with outcome not_run.
    CHECK(eventually([&] { return cluster.submit(accountTicket(3, "y"), 4) == 200; }));
    CHECK(eventually([&] { return allHaveRevision(cluster, revision + 1); }, 17));
    CHECK(monitor.finish() == "");
    CHECK(findContradictions(cluster, {}) == "");
}

// Guards against a ticket that is reported as not run although it was accepted, when the outage begins while the ticket
// is being submitted (H5, H9).
TEST_CASE("the reported outcome of a ticket is true when an outage begins during its submission" * doctest::test_suite("platform"))
{
    ProcessCluster cluster(fastShape("outage_in_ticket"));
    REQUIRE(cluster.start());
    RevisionMonitor monitor(cluster);
    constexpr int lastTicket = 7;
    uint64_t accepted = revisionOf(cluster, 0);
    for (int number = 2; number <= lastTicket; ++number) {
        auto daemon = static_cast<size_t>(number) % cluster.daemonCount();
        REQUIRE(setFaults(cluster, cluster.keyValueEndpoint(), { { "latency_ms", 150 } }));
        auto submission = std::async(std::launch::async, [&] { return submitTicket(cluster, accountTicket(number, "z"), daemon); });
        std::this_thread::sleep_for(std::chrono::milliseconds(70 * number));
        setOutage(cluster, true);
        auto responseDuring = submission.get();
        REQUIRE(setFaults(cluster, cluster.keyValueEndpoint(), { { "outage", false }, { "latency_ms", 0 } }));
        HttpResponse responseAfter;
        REQUIRE(eventually([&] { return (responseAfter = submitTicket(cluster, accountTicket(number, "z"), (daemon + 1) % cluster.daemonCount())).status == 200; }));
        auto wasAlreadyAccepted = json::parse(responseAfter.body).value("repeat", false);
        INFO(number << ": " << responseDuring.status << " " << responseDuring.body << ", then " << responseAfter.body);
        if (responseDuring.status == 200)
            CHECK(wasAlreadyAccepted);
        if (outcomeOf(responseDuring) == "not_run")
            CHECK_FALSE(wasAlreadyAccepted);
        CHECK((responseDuring.status == 200 || responseDuring.status == 503));
        ++accepted;
    }
    CHECK(eventually([&] { return allHaveRevision(cluster, accepted); }, 17));
    CHECK(revisionOf(cluster, 0) == accepted);
    CHECK(monitor.finish() == "");
}

// Guards against tickets applied twice and calls run twice because the response to their write was lost (H6, H9).
TEST_CASE("tickets and calls take effect once when responses of the key-value service are lost" * doctest::test_suite("platform"))
{
    ProcessCluster cluster(fastShape("lost_answers"));
    REQUIRE(cluster.start());
    RevisionMonitor monitor(cluster);
    auto first = revisionOf(cluster, 0);
    REQUIRE(setFaults(cluster, cluster.keyValueEndpoint(), { { "lose_share", 0.5 } }));
    constexpr int lastTicket = 9;
    for (int number = 2; number <= lastTicket; ++number) {
        size_t daemon = static_cast<size_t>(number) % cluster.daemonCount();
        auto isAccepted = [&] {
            auto response = submitTicket(cluster, accountTicket(number, std::to_string(number)), daemon++ % cluster.daemonCount());
            INFO(response.body);
            CHECK((response.status == 200 || response.status == 503));
            return response.status == 200;
        };
        CHECK(eventually(isAccepted));
    }
    auto calls = bookConcurrently(cluster, 60, 6, [] {});
    CHECK(findContradictions(cluster, calls) == "");
    CHECK(std::ranges::count(calls, "answered", &KeyedCall::kind) > 0);
    REQUIRE(setFaults(cluster, cluster.keyValueEndpoint(), { { "lose_share", 0.0 } }));
    // One revision for each ticket: none was applied twice.
    CHECK(eventually([&] { return allHaveRevision(cluster, first + lastTicket - 1); }, 17));
    for (size_t i = 0; i < cluster.daemonCount(); ++i)
        CHECK(revisionOf(cluster, i) == first + lastTicket - 1);
    CHECK(eventually([&] { return book(cluster, 0, newKey()).kind == "answered"; }));
    CHECK(monitor.finish() == "");
}
