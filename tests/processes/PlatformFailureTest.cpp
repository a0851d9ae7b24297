#include "processes/ClusterSteps.h"

#include <algorithm>
#include <atomic>
#include <csignal>
#include <doctest/doctest.h>

using namespace chestnut;
using namespace chestnut::test;
using nlohmann::json;

namespace {

/** Follows the revisions of all daemons and remembers the first one that reverts (H9). */
class RevisionWatch {
public:
    explicit RevisionWatch(ProcessCluster& cluster)
        : m_thread([this, &cluster] { run(cluster); })
    {
    }
    RevisionWatch(const RevisionWatch&) = delete;
    RevisionWatch& operator=(const RevisionWatch&) = delete;
    ~RevisionWatch()
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
    // A weight of an account changes nothing at the engines.
    return { { "number", number }, { "accounts", { { "a" + account, { { "weight", number } } } } } };
}

HttpResponse submitFully(ProcessCluster& cluster, const json& ticket, size_t daemon)
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

// Guards against work that stops with the key-value service, false answers to tickets and calls (H5), and configurations
// that revert (H9). A daemon started meanwhile takes the newest configuration from a peer.
TEST_CASE("the key-value service is down during a whole request mix and a ticket" * doctest::test_suite("platform"))
{
    ProcessCluster cluster(fastShape("outage"));
    REQUIRE(cluster.start());
    RevisionWatch watch(cluster);
    REQUIRE(cluster.submit(accountTicket(2, "x"), 0) == 200);
    REQUIRE(eventually([&] { return allHaveRevision(cluster, revisionOf(cluster, 0)); }, 17));
    auto revision = revisionOf(cluster, 0);
    setOutage(cluster, true);

    auto calls = bookMany(cluster, 18, 6, [] {});
    CHECK(contradictions(cluster, calls) == "");
    for (const auto& call : calls)
        CHECK(call.outcome == "not_run");
    {
        BackgroundLoad load(cluster);
        auto served = servedCalls(cluster);
        CHECK(eventually([&] { return servedCalls(cluster) > served + 40; }));
        for (size_t i = 0; i < cluster.daemonCount(); ++i) {
            CHECK(complete(cluster, i, "in the outage " + std::to_string(i)).isRightText);
            auto refusal = submitFully(cluster, accountTicket(3, "y"), i);
            INFO(refusal.body);
            CHECK(refusal.status == 503);
            // Nothing of the ticket can have reached the service.
            CHECK((outcomeOf(refusal) == "not_run" || outcomeOf(refusal) == "unknown"));
        }
        cluster.daemon(5).signal(SIGKILL);
        cluster.daemon(5).wait(10);
        cluster.startDaemon(5);
        CHECK(eventually([&] { return cluster.isReady(5); }));
        CHECK(revisionOf(cluster, 5) == revision);
        CHECK(complete(cluster, 5, "at the new daemon").isRightText);
        auto summary = load.finish();
        INFO(summary.dump(1));
        CHECK(summary["wrong_answers"] == 0);
        CHECK(summary["duplicate_tokens"] == 0);
        CHECK(summary["interrupted"] == 0);
        // Only calls with shared keys, or with keys of the killed daemon, are refused.
        CHECK(otherRefusals(summary, { "claim_unavailable/not_run", "claim_unavailable/unknown", "platform_unavailable/not_run", "platform_unavailable/unknown", "outcome_unknown/unknown", "already_run/unknown" }) == "");
    }

    setOutage(cluster, false);
    CHECK(eventually([&] {
        for (size_t i = 0; i < cluster.daemonCount(); ++i) {
            if (book(cluster, i, newKey()).kind != "answered")
                return false;
        }
        return true;
    }));
    CHECK(revisionOf(cluster, 0) == revision);
    CHECK(cluster.submit(accountTicket(3, "y"), 4) == 200);
    CHECK(eventually([&] { return allHaveRevision(cluster, revision + 1); }, 17));
    CHECK(watch.finish() == "");
    CHECK(contradictions(cluster, {}) == "");
}

// Guards against tickets applied twice and calls run twice because the answer to their write was lost (H6, H9).
TEST_CASE("answers of the key-value service are lost at tickets and claims" * doctest::test_suite("platform"))
{
    ProcessCluster cluster(fastShape("lost_answers"));
    REQUIRE(cluster.start());
    RevisionWatch watch(cluster);
    auto first = revisionOf(cluster, 0);
    REQUIRE(setFaults(cluster, cluster.keyValueEndpoint(), { { "lose_share", 0.5 } }));
    constexpr int lastTicket = 9;
    for (int number = 2; number <= lastTicket; ++number) {
        size_t daemon = static_cast<size_t>(number) % cluster.daemonCount();
        auto isAccepted = [&] {
            auto response = submitFully(cluster, accountTicket(number, std::to_string(number)), daemon++ % cluster.daemonCount());
            INFO(response.body);
            CHECK((response.status == 200 || response.status == 503));
            return response.status == 200;
        };
        CHECK(eventually(isAccepted));
    }
    auto calls = bookMany(cluster, 60, 6, [] {});
    CHECK(contradictions(cluster, calls) == "");
    CHECK(std::ranges::count(calls, "answered", &KeyedCall::kind) > 0);
    REQUIRE(setFaults(cluster, cluster.keyValueEndpoint(), { { "lose_share", 0.0 } }));
    // One revision for each ticket: none was applied twice.
    CHECK(eventually([&] { return allHaveRevision(cluster, first + lastTicket - 1); }, 17));
    for (size_t i = 0; i < cluster.daemonCount(); ++i)
        CHECK(revisionOf(cluster, i) == first + lastTicket - 1);
    CHECK(eventually([&] { return book(cluster, 0, newKey()).kind == "answered"; }));
    CHECK(watch.finish() == "");
}
