#include "gateway/GatewayFixture.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <set>

using namespace chestnut;
using namespace std::chrono_literals;

namespace {

ReplicaEntry entryOf(const std::string& id, const std::string& service = "s")
{
    ReplicaEntry entry;
    entry.id = ReplicaId(id);
    entry.service = ServiceId(service);
    entry.slots = 8;
    return entry;
}

/** The tracker of one daemon with virtual time. */
struct TrackerFixture {
    asio::io_context context;
    VirtualTimerService timers { context };
    MemoryLog log;
    Metrics metrics;
    CapacityTracker tracker { timers, log };

    TrackerFixture() { tracker.publishTo(metrics); }

    /** Records calls at all loads of each of the replicas; those of the first one take this multiple of the time of the others. */
    void recordCalls(double slowdown, int calls = 50)
    {
        for (int call = 0; call < calls; ++call) {
            for (const auto* id : { "i-1", "i-2", "i-3" })
                tracker.record(ReplicaId(id), (call % 10 + 0.5) / 10, id == std::string("i-1") ? slowdown : 1);
        }
    }

    /** The capacity after the next refresh. */
    ReplicaCapacity capacityOf(const std::string& id)
    {
        for (const auto* known : { "i-1", "i-2", "i-3" })
            tracker.capacityOf(entryOf(known));
        timers.advance(1s);
        tracker.update();
        return tracker.capacityOf(entryOf(id));
    }
};

} // namespace

TEST_CASE("the weight of a slow replica is learned, logged, published and forgotten")
{
    TrackerFixture fixture;
    CHECK(fixture.capacityOf("i-1") == ReplicaCapacity {});
    fixture.recordCalls(2);
    auto capacity = fixture.capacityOf("i-1");
    CHECK(capacity.speed < 0.6);
    CHECK(fixture.capacityOf("i-2").speed == 1);
    CHECK(fixture.log.recent(EventId::ReplicaCapacityChanged).size() == 1);
    MetricLabels labels { { "replica", "i-1" } };
    CHECK(fixture.metrics.value("chestnut_replica_weight", labels) < 0.6);
    CHECK(fixture.metrics.expose().find("i-2") == std::string::npos);
    fixture.timers.advance(2min);
    CHECK(fixture.capacityOf("i-1") == ReplicaCapacity {});
    CHECK(fixture.metrics.expose().find("i-1") == std::string::npos);
    CHECK(fixture.tracker.size() == 0);
}

TEST_CASE("replicas are compared with those of their service and stage only")
{
    TrackerFixture fixture;
    for (int call = 0; call < 50; ++call) {
        fixture.tracker.record(ReplicaId("i-1"), 0.3, 1);
        fixture.tracker.record(ReplicaId("i-4"), 0.3, 3);
    }
    fixture.tracker.capacityOf(entryOf("i-1"));
    fixture.tracker.capacityOf(entryOf("i-4", "t"));
    fixture.timers.advance(1s);
    fixture.tracker.update();
    CHECK(fixture.tracker.capacityOf(entryOf("i-1")).speed == 1);
    CHECK(fixture.tracker.capacityOf(entryOf("i-4", "t")).speed == 1);
}

TEST_CASE("a daemon without calls of its own knows what its peers and the other zones report")
{
    TrackerFixture observer;
    observer.recordCalls(2);
    ReplicaId cursor;
    auto samples = observer.tracker.nextSamples(CapacityScope::Daemon, cursor, 10);
    REQUIRE(samples.size() == 3);
    for (int source = 0; source < 3; ++source) {
        TrackerFixture other;
        if (source == 0)
            other.tracker.setPeerSamples(DaemonId("d1"), samples);
        else if (source == 1)
            other.tracker.setZoneSamples(AvailabilityZone("b"), samples);
        else
            other.tracker.setFleetSamples(samples);
        CHECK(other.capacityOf("i-1").speed < 0.6);
        CHECK(other.capacityOf("i-2").speed == 1);
        // What a peer has stopped to report ages.
        other.timers.advance(2min);
        CHECK(other.capacityOf("i-1").speed == 1);
    }
}

// Guards against a number of samples that grows with each daemon that forwards them.
TEST_CASE("the samples of a daemon are counted once in the sums of its zone and of the fleet")
{
    TrackerFixture fixture;
    fixture.recordCalls(1, 10);
    ReplicaId cursor;
    auto own = fixture.tracker.nextSamples(CapacityScope::Daemon, cursor, 1);
    REQUIRE(own.size() == 1);
    fixture.tracker.setPeerSamples(DaemonId("d1"), own);
    fixture.tracker.setZoneSamples(AvailabilityZone("b"), own);
    fixture.tracker.setZoneSamples(AvailabilityZone("b"), own);
    cursor = {};
    CHECK(callsOf(fixture.tracker.nextSamples(CapacityScope::Zone, cursor, 1).front()) == doctest::Approx(20));
    cursor = {};
    CHECK(callsOf(fixture.tracker.nextSamples(CapacityScope::Fleet, cursor, 1).front()) == doctest::Approx(30));
}

TEST_CASE("the samples of all replicas follow each other in bounded slices")
{
    TrackerFixture fixture;
    for (int i = 0; i < 25; ++i)
        fixture.tracker.record(ReplicaId("i-" + std::to_string(i)), 0.5, 1);
    ReplicaId cursor;
    std::set<ReplicaId> sent;
    for (int slice = 0; slice < 3; ++slice) {
        auto samples = fixture.tracker.nextSamples(CapacityScope::Daemon, cursor, 10);
        CHECK(samples.size() == 10);
        for (const auto& item : samples)
            sent.insert(item.replica);
    }
    CHECK(sent.size() == 25);
}

TEST_CASE("a process that has started again is judged by its own calls")
{
    TrackerFixture fixture;
    fixture.recordCalls(2);
    CHECK(fixture.capacityOf("i-1").speed < 0.6);
    fixture.tracker.reset(ReplicaId("i-1"));
    CHECK(fixture.capacityOf("i-1").speed == 1);
}

// Guards against a plain service whose replicas get equal shares although one is far slower: three replicas of four slots.
TEST_CASE("a plain service sends fewer calls to a slow replica as soon as it has learned its weight")
{
    GatewayFixture fixture;
    for (const auto* id : { "i-1", "i-2", "i-3" })
        fixture.addReplica(id, "s", "none");
    auto fast = ScriptedResponse {};
    fast.chunks = { "done" };
    fast.delay = 40ms;
    auto slow = fast;
    slow.delay = 120ms;
    fixture.replicaClient.scripts = { { ReplicaId("i-1"), { slow } }, { ReplicaId("i-2"), { fast } }, { ReplicaId("i-3"), { fast } } };
    std::vector<FakeWriter> writers(1200);
    for (auto& writer : writers) {
        fixture.runRequest(fixture.route(RouteKind::NonIdempotent, 1), writer, {}, 10ms);
        fixture.loadTracker->expirePeers();
    }
    fixture.timers.advance(1s);
    const auto& sent = fixture.replicaClient.sent;
    auto callsAtSlow = std::count_if(sent.begin() + 600, sent.end(), [](const auto& call) { return call.replica == ReplicaId("i-1"); });
    CHECK(callsAtSlow < 90);
    auto entry = fixture.replicas.find(ReplicaId("i-1"))->entry;
    // Few calls are left to confirm it, so that the weight rises until the replica is tried again.
    CHECK(fixture.loadTracker->capacity().capacityOf(entry).speed < 0.95);
}

// Guards against daemons that all choose the same idle replica.
TEST_CASE("a daemon with peers chooses among equally loaded replicas at random")
{
    GatewayFixture fixture;
    for (const auto* id : { "i-1", "i-2", "i-3" })
        fixture.addReplica(id, "s", "none");
    auto idle = [&] { return fixture.loadTracker->unseenLoad(100ms); };
    CHECK_FALSE(idle().has_value());
    for (int message = 0; message < 3; ++message) {
        fixture.loadTracker->setPeerWork(DaemonId("d1"), {});
        fixture.timers.advance(100ms);
    }
    REQUIRE(idle().has_value());
    CHECK(idle()->replacedShare > 0.5);
    fixture.loadTracker->setPeerWork(DaemonId("d1"), {});
    auto response = ScriptedResponse {};
    response.chunks = { "done" };
    for (const auto* id : { "i-1", "i-2", "i-3" })
        fixture.replicaClient.scripts[ReplicaId(id)] = { response };
    std::vector<FakeWriter> writers(30);
    for (auto& writer : writers)
        fixture.runRequest(fixture.route(RouteKind::NonIdempotent, 1), writer, {}, 10ms);
    std::set<ReplicaId> used;
    for (const auto& call : fixture.replicaClient.sent)
        used.insert(call.replica);
    CHECK(used.size() == 3);
}

// Guards against engines whose speed is not learned from their streams and prefills.
TEST_CASE("a decode engine with longer pauses between its events gets fewer streams, and prefills are recorded")
{
    GatewayFixture fixture;
    fixture.addReplica("i-p1", "s", "prefill");
    fixture.recordCalls(300, 20ms, 200ms);
    auto fast = ScriptedResponse {};
    for (int i = 1; i <= 10; ++i)
        fast.chunks.push_back("id: " + std::to_string(i) + "\ndata: t\n\n");
    fast.headers.set("Content-Type", "text/event-stream");
    fast.chunkDelay = 20ms;
    auto slow = fast;
    slow.chunkDelay = 50ms;
    for (const auto* id : { "i-1", "i-2", "i-3", "i-4" }) {
        fixture.addReplica(id, "s", "decode");
        fixture.replicaClient.scripts[ReplicaId(id)] = { id == std::string("i-1") ? slow : fast };
    }
    std::vector<FakeWriter> writers(800);
    for (auto& writer : writers) {
        fixture.start(fixture.route(RouteKind::Streaming, 1), writer, GatewayFixture::longPrompt());
        fixture.timers.advance(25ms);
        fixture.loadTracker->expirePeers();
    }
    const auto& sent = fixture.replicaClient.sent;
    auto streamsAtSlow = std::count_if(sent.begin() + 400, sent.end(), [](const auto& call) { return call.replica == ReplicaId("i-1"); });
    INFO("streams at the slow engine: " << streamsAtSlow);
    CHECK(streamsAtSlow < 50);
    auto capacityOf = [&](const char* id) { return fixture.loadTracker->capacity().capacityOf(fixture.replicas.find(ReplicaId(id))->entry); };
    CHECK(capacityOf("i-1").speed < 0.7);
    CHECK(capacityOf("i-2").speed == 1);
    CHECK(capacityOf("i-p1").samples > 10);
    fixture.timers.advance(2s);
}
