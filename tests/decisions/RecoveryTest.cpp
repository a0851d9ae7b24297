#include "decisions/ejection/Ejection.h"
#include "decisions/hedging/Hedging.h"
#include "decisions/quarantine/RequestQuarantine.h"
#include "decisions/retries/Retries.h"

#include <doctest/doctest.h>

#include <string>

using namespace chestnut;
using namespace std::chrono_literals;

namespace {

constexpr auto start = TimePoint(100s);

ReplicaId replica(int index)
{
    return ReplicaId("r" + std::to_string(index));
}

size_t ejectedCount(const LatencyGroup& group)
{
    size_t count = 0;
    for (const auto& [id, latency] : group.replicas)
        count += latency.health == ReplicaHealth::Ejected ? 1 : 0;
    return count;
}

} // namespace

// Guards against ejecting so many replicas that the rest is overloaded.
TEST_CASE("at most a third of the group is ejected and a recovered replica returns")
{
    LatencyGroup group;
    for (int index = 0; index < 9; index++) {
        for (int response = 0; response < 10; response++)
            recordResponse(group, replica(index), index < 4 ? 5 : 1, start);
    }
    CHECK(updateHealth(group, start).size() == 3);
    CHECK(ejectedCount(group) == 3);
    updateHealth(group, start + 4s);
    CHECK(ejectedCount(group) == 3);
    for (int index = 0; index < 4; index++) {
        for (int response = 0; response < 40; response++)
            recordResponse(group, replica(index), 1, start);
    }
    updateHealth(group, start + 6s);
    CHECK(ejectedCount(group) == 0);
    CHECK(group.replicas[replica(0)].health == ReplicaHealth::Probation);
    for (int response = 0; response < 3; response++)
        recordResponse(group, replica(0), 1, start + 7s);
    updateHealth(group, start + 8s);
    CHECK(group.replicas[replica(0)].health == ReplicaHealth::Healthy);
}

// Guards against a retry storm, a retry of a call that is not idempotent, and one that cannot finish in time.
TEST_CASE("retries are limited by outcome, budget, lost backends and deadline")
{
    RandomGenerator random(5);
    RetryBudget budget;
    RetryQuery query { .failure = ErrorKind::BackendFailed, .deadline = start + 10s, .expectedServiceTime = 1s };
    auto decision = decideRetry(query, budget, start, random);
    CHECK(decision.retry);
    CHECK(decision.budget.tokens == 9);
    CHECK_FALSE(decideRetry(query, { .tokens = 0.5 }, start, random).retry);
    auto lost = query;
    lost.backendsLost = 2;
    CHECK_FALSE(decideRetry(lost, budget, start, random).retry);
    auto late = query;
    late.expectedServiceTime = 11s;
    CHECK_FALSE(decideRetry(late, budget, start, random).retry);
    auto unsafe = query;
    unsafe.isIdempotent = false;
    CHECK_FALSE(decideRetry(unsafe, budget, start, random).retry);
    unsafe.failure = ErrorKind::ConnectFailed;
    CHECK(decideRetry(unsafe, budget, start, random).retry);
    CHECK(withRequest({ .tokens = 0 }).tokens == doctest::Approx(0.1));
}

// Guards against hedging long work or work that is not idempotent, and against hedges that exceed 5% of the requests.
TEST_CASE("hedges start after the learned quantile and within the budget")
{
    LatencyQuantiles quantiles;
    HedgeBudget budget { .requests = 100, .hedges = 0 };
    HedgeQuery query { .isIdempotent = true, .expectedLatency = 100ms };
    CHECK_FALSE(hedgeDelay(query, quantiles, budget).has_value());
    for (int sample = 0; sample < 2000; sample++)
        addSample(quantiles, sample % 10 == 0 ? 3 : 1);
    auto delay = hedgeDelay(query, quantiles, budget);
    REQUIRE(delay.has_value());
    CHECK(*delay >= 300ms);
    CHECK(*delay < 350ms);
    CHECK_FALSE(hedgeDelay(query, quantiles, { .requests = 100, .hedges = 5 }).has_value());
    query.isIdempotent = false;
    CHECK_FALSE(hedgeDelay(query, quantiles, budget).has_value());
}

// Guards against a poison request that crashes one backend after another, and against quarantining the requests that ran
// beside it.
TEST_CASE("two losses quarantine a request and clear those that ran beside it")
{
    QuarantineTable table;
    auto poison = digestOf("poison");
    auto beside = digestOf("beside");
    recordLoss(table, replica(1), std::vector { poison, beside }, start);
    CHECK_FALSE(isQuarantined(table, poison, start));
    CHECK(mustRunIsolated(table, poison, start));
    CHECK(mustRunIsolated(table, beside, start));
    recordLoss(table, replica(9), std::vector { digestOf("other") }, start + 1s);
    CHECK(mustRunIsolated(table, poison, start + 1s));
    recordLoss(table, replica(2), std::vector { poison }, start + 5s);
    CHECK(isQuarantined(table, poison, start + 5s));
    CHECK_FALSE(mustRunIsolated(table, beside, start + 5s));
    CHECK_FALSE(isQuarantined(table, poison, start + 5s + quarantineTime));
    QuarantineTable peer;
    mergeLossHistory(peer, poison, table.lossHistories[poison], start + 6s);
    CHECK(isQuarantined(peer, poison, start + 6s));
    recordCompletion(peer, poison);
    CHECK_FALSE(isQuarantined(peer, poison, start + 6s));
}

// Guards against ejecting a healthy replica because of one late response among few.
TEST_CASE("one late response out of four ejects no replica, four eject it")
{
    LatencyGroup group;
    for (int sample = 0; sample < 4; ++sample) {
        for (const auto* id : { "a", "b", "c" })
            recordResponse(group, ReplicaId(id), id[0] == 'a' && sample == 3 ? 20 : 1, TimePoint(std::chrono::seconds(100)));
    }
    CHECK(updateHealth(group, TimePoint(std::chrono::seconds(100))).empty());
    for (int sample = 0; sample < 4; ++sample)
        recordResponse(group, ReplicaId("a"), 20, TimePoint(std::chrono::seconds(101)));
    CHECK(updateHealth(group, TimePoint(std::chrono::seconds(101))).size() == 1);
}
