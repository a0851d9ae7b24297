#include "decisions/routing/Routing.h"
#include "decisions/routing/PrefixIndex.h"

#include <doctest/doctest.h>

#include <map>
#include <string>

using namespace chestnut;
using namespace std::chrono_literals;

namespace {

constexpr auto now = TimePoint(100s);

std::vector<ReplicaView> replicas(size_t count)
{
    std::vector<ReplicaView> views;
    for (size_t index = 0; index < count; index++) {
        ReplicaView view;
        view.id = ReplicaId("r" + std::to_string(index));
        view.report.measuredAt = now;
        views.push_back(view);
    }
    return views;
}

std::map<size_t, int> countChoices(const RouteRequest& request, std::span<const ReplicaView> views, int draws)
{
    RandomGenerator random(7);
    std::map<size_t, int> counts;
    for (int draw = 0; draw < draws; draw++) {
        if (auto decision = chooseReplica(request, views, now, random); decision.chosen)
            counts[decision.chosen->index]++;
    }
    return counts;
}

} // namespace

// Guards against counting own work twice when the report already contains it.
TEST_CASE("own work is counted once beside a fresh report")
{
    auto view = replicas(1).front();
    view.report.queuedPrefillTokens = 9000;
    view.own.unfinished.prefillTokens = 4000;
    CHECK(estimateReplica(view, {}, 0, now).backlog.prefillTokens == doctest::Approx(9000));
    view.own.sentSinceReport.prefillTokens = 4000;
    CHECK(estimateReplica(view, {}, 0, now).backlog.prefillTokens == doctest::Approx(13000));
    view.report.measuredAt = now - 60s;
    CHECK(estimateReplica(view, {}, 0, now).backlog.prefillTokens == doctest::Approx(4000).epsilon(0.01));
}

// Guards against sending all requests with a shared prefix to the replica that caches it until live work queues there.
TEST_CASE("prefix affinity ends when the caching replica is loaded above the mean")
{
    auto views = replicas(3);
    RouteRequest request { .work = { 16384, 100 } };
    std::vector<double> cached { 0, 14336, 0 };
    request.cachedTokens = cached;
    RandomGenerator random(1);
    auto decision = chooseReplica(request, views, now, random);
    CHECK(decision.chosen->index == 1);
    CHECK(decision.reason == RouteReason::PrefixAffinity);
    views[1].own.unfinished.prefillTokens = 10000;
    decision = chooseReplica(request, views, now, random);
    CHECK(decision.chosen->index != 1);
    CHECK(decision.reason == RouteReason::LeastExpectedTime);
}

// Guards against sending work to a replica that is draining, has failed this request or is ejected.
TEST_CASE("unusable replicas get no work and probation gets one request in twenty of its share")
{
    auto views = replicas(5);
    views[0].acceptsNewWork = false;
    views[1].health = ReplicaHealth::Ejected;
    views[2].health = ReplicaHealth::Probation;
    std::vector<ReplicaId> failed { ReplicaId("r3") };
    RouteRequest request { .excluded = failed };
    auto counts = countChoices(request, views, 6000);
    CHECK(counts[0] + counts[1] + counts[3] == 0);
    CHECK(counts[2] > 60);
    CHECK(counts[2] < 140);
    views[4].acceptsNewWork = false;
    views[2].acceptsNewWork = false;
    CHECK(countChoices(request, views, 10)[1] == 10);
    views[1].acceptsNewWork = false;
    RandomGenerator random(1);
    CHECK(chooseReplica(request, views, now, random).reason == RouteReason::NoReplica);
}

// Guards against batch work filling the slots that are reserved for live work.
TEST_CASE("batch work leaves the live reserve free and is preempted by live work")
{
    auto views = replicas(1);
    views[0].own.batchRequests = 23;
    RouteRequest batch { .priorityClass = PriorityClass::Batch };
    RandomGenerator random(1);
    CHECK(chooseReplica(batch, views, now, random).reason == RouteReason::AllFull);
    RouteRequest live;
    CHECK(chooseReplica(live, views, now, random).chosen.has_value());
    views[0].own.liveRequests = 9;
    CHECK(chooseReplica(live, views, now, random).preemptionTarget == 0);
    live.mayExceedSlots = true;
    CHECK_FALSE(chooseReplica(live, views, now, random).chosen.has_value()); // the concurrency limit holds
    views[0].concurrencyLimit = 64;
    CHECK(chooseReplica(live, views, now, random).chosen.has_value());
}

// Guards against counting on blocks whose eviction was not reported, and against applying an old event twice.
TEST_CASE("a gap in the cache events lowers the expected saving")
{
    std::string prompt(3 * 8192 + 100, 'x');
    auto hashes = prefixBlockHashes(prompt);
    REQUIRE(hashes.size() == 3);
    prompt[9000] = 'y';
    CHECK(prefixBlockHashes(prompt)[0] == hashes[0]);
    CHECK(prefixBlockHashes(prompt)[2] != hashes[2]);
    PrefixIndex index;
    ReplicaId replica("r0");
    applyCacheEvent(index, replica, 5, true, hashes);
    CHECK(cachedTokens(index, replica, hashes) == doctest::Approx(3 * 2048));
    applyCacheEvent(index, replica, 5, false, hashes);
    CHECK(cachedTokens(index, replica, hashes) == doctest::Approx(3 * 2048));
    applyCacheEvent(index, replica, 9, false, std::vector { hashes[1] });
    CHECK(cachedTokens(index, replica, hashes) == doctest::Approx(2048 * 2.0 / 5));
    removeReplica(index, replica);
    CHECK(cachedTokens(index, replica, hashes) == 0);
}

// Guards against filling an engine's memory with batch work, so that live work waits for the end of a long job.
TEST_CASE("batch work leaves memory for live work")
{
    auto views = replicas(1);
    views[0].blocks = 96;
    views[0].report.running = 8;
    views[0].report.freeBlocks = 12;
    RandomGenerator random(1);
    RouteRequest batch { .priorityClass = PriorityClass::Batch, .work = { 16384, 100 } };
    CHECK(chooseReplica(batch, views, now, random).reason == RouteReason::AllFull);
    std::vector<double> cached { 14336 };
    batch.cachedTokens = cached;
    CHECK(chooseReplica(batch, views, now, random).chosen.has_value());
    RouteRequest live { .work = { 16384, 100 } };
    CHECK(chooseReplica(live, views, now, random).chosen.has_value());
}

// Guards against several daemons filling the same free slots between two load reports.
TEST_CASE("requests of other daemons since the report are assumed in proportion to the own ones")
{
    auto views = replicas(1);
    views[0].daemonShare = 0.25;
    views[0].report.running = 20;
    views[0].own.liveRequests = 5;
    RandomGenerator random(1);
    CHECK(estimateReplica(views[0], {}, 0, now).runningRequests == 20);
    views[0].own.netRequestsSinceReport = 1;
    CHECK(estimateReplica(views[0], {}, 0, now).runningRequests == 24);
    CHECK(chooseReplica({}, views, now, random).chosen.has_value());
    views[0].own.netRequestsSinceReport = 2;
    CHECK(chooseReplica({}, views, now, random).reason == RouteReason::AllFull);
}
