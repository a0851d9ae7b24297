#include "gateway/GatewayFixture.h"

#include <doctest/doctest.h>

using namespace chestnut;
using namespace std::chrono_literals;

namespace {

ReplicaStatus statusOf(const ReplicaDirectory& replicas, const std::string& id)
{
    const auto* known = replicas.find(ReplicaId(id));
    return known ? known->status : ReplicaStatus::Removed;
}

/** A fixture with one replica, i-1. */
struct OneReplica : GatewayFixture {
    OneReplica() { addReplica("i-1", "s", "none"); }

    /** The store goes away, the entry lapses, and the store returns. */
    void lapseInOutage()
    {
        store.isDown = true;
        timers.advance(3s);
        store.erase("servers/i-1");
        store.isDown = false;
        timers.advance(1s);
    }
};

} // namespace

TEST_CASE("changes of the store arrive while it works, and the last state stays while it is away")
{
    OneReplica fixture;
    CHECK(statusOf(fixture.replicas, "i-1") == ReplicaStatus::Ready);
    fixture.store.isDown = true;
    fixture.timers.advance(10s);
    CHECK(statusOf(fixture.replicas, "i-1") == ReplicaStatus::Ready);
    fixture.store.put("servers/i-2", testEntry("s", "none"));
    fixture.store.isDown = false;
    fixture.timers.advance(1s);
    CHECK(statusOf(fixture.replicas, "i-2") == ReplicaStatus::Ready);
}

TEST_CASE("an entry that lapsed during an outage keeps its replica in use for two seconds and a half")
{
    OneReplica fixture;
    fixture.lapseInOutage();
    CHECK(statusOf(fixture.replicas, "i-1") == ReplicaStatus::Lapsed);
    fixture.timers.advance(2s);
    CHECK(statusOf(fixture.replicas, "i-1") == ReplicaStatus::Removed);
}

TEST_CASE("a removal after the first changes of an outage is meant")
{
    // Hunt seeds 470558889183 and 779814292827 of tr-spares: a daemon whose way to the store had been cut took the removal
    // of a leaving replica for a lapse and sent it work for 2.5 s.
    OneReplica fixture;
    fixture.store.isDown = true;
    fixture.timers.advance(3s);
    fixture.store.isDown = false;
    fixture.timers.advance(1s);
    fixture.store.put("servers/i-2", testEntry("s", "none"));
    fixture.timers.advance(500ms);
    fixture.store.erase("servers/i-1");
    fixture.timers.advance(500ms);
    CHECK(statusOf(fixture.replicas, "i-1") == ReplicaStatus::Removed);
}

TEST_CASE("what a peer says of a leaving replica counts for a lapsed one, too")
{
    OneReplica fixture;
    fixture.lapseInOutage();
    fixture.replicas.peerSaysLeaving({ ReplicaId("i-1"), 1, 1, false });
    CHECK(fixture.replicas.usable(ServiceId("s"), EngineStage::None).empty());
}

TEST_CASE("entries that lapse are kept, too, when the watch itself has outlived the outage")
{
    // Hunt seed 805905122059 of srl-glossary: the store fell silent for 4.5 s and dropped all entries; the watches that had
    // waited meanwhile returned the removals, and every daemon took all replicas as gone.
    OneReplica fixture;
    fixture.isStoreAway = true;
    fixture.store.erase("servers/i-1");
    fixture.timers.advance(1s);
    CHECK(statusOf(fixture.replicas, "i-1") == ReplicaStatus::Lapsed);
}

TEST_CASE("a replica whose entry is back is not taken away by older news of peers")
{
    // The same day: peers went on telling the removal for 3 s and so took away the replicas that were back, for good.
    OneReplica fixture;
    fixture.store.erase("servers/i-1");
    fixture.settle();
    fixture.store.put("servers/i-1", testEntry("s", "none", "a", "ready", 1, 21));
    fixture.settle();
    fixture.replicas.peerSaysLeaving({ ReplicaId("i-1"), 1, 1, false });
    CHECK(statusOf(fixture.replicas, "i-1") == ReplicaStatus::Ready);
    fixture.replicas.peerSaysLeaving({ ReplicaId("i-1"), 1, 21, true });
    CHECK(statusOf(fixture.replicas, "i-1") == ReplicaStatus::Draining);
}

TEST_CASE("when the history is gone the prefix is listed again, and what is missing is removed")
{
    OneReplica fixture;
    fixture.addReplica("i-2", "s", "none");
    fixture.store.isDown = true;
    fixture.timers.advance(1s);
    fixture.store.put("servers/i-1", testEntry("s", "none", "a", "draining", 1, 9));
    fixture.store.erase("servers/i-2");
    fixture.store.put("servers/i-3", testEntry("s", "none"));
    fixture.store.compact();
    fixture.store.isDown = false;
    fixture.timers.advance(4s);
    CHECK(statusOf(fixture.replicas, "i-1") == ReplicaStatus::Draining);
    CHECK(statusOf(fixture.replicas, "i-2") == ReplicaStatus::Removed);
    CHECK(statusOf(fixture.replicas, "i-3") == ReplicaStatus::Ready);
}

TEST_CASE("a watch that is cut soon after a long outage goes on at once")
{
    // Hunt seed 962769516463 of tr-spares: the mirror did not notice that the store was back, because its watch waited for
    // a change, and a cut of that watch counted as one more failure of the outage: 4 s without a new configuration.
    OneReplica fixture;
    fixture.store.isDown = true;
    fixture.timers.advance(20s);
    fixture.store.isDown = false;
    fixture.replicas.restartWatch();
    fixture.timers.advance(2s);
    fixture.store.isDown = true;
    fixture.timers.advance(50ms);
    fixture.store.isDown = false;
    fixture.store.put("servers/i-2", testEntry("s", "none"));
    fixture.timers.advance(1s);
    CHECK(statusOf(fixture.replicas, "i-2") == ReplicaStatus::Ready);
}

TEST_CASE("an entry that cannot be read names no replica, and the others hold")
{
    OneReplica fixture;
    fixture.store.put("servers/i-x", "garbage");
    fixture.settle();
    CHECK(fixture.replicas.find(ReplicaId("i-x")) == nullptr);
    CHECK(statusOf(fixture.replicas, "i-1") == ReplicaStatus::Ready);
}

TEST_CASE("an engine gets no work from its order until its entry shows the new stage")
{
    GatewayFixture fixture;
    fixture.addReplica("i-1", "s", "decode");
    ServiceId service("s");
    fixture.replicas.pauseForOrder(ReplicaId("i-1"), EngineStage::Prefill);
    fixture.timers.advance(9s);
    CHECK(fixture.replicas.usable(service, EngineStage::Decode).empty());
    CHECK(fixture.replicas.engines(service).size() == 1);
    fixture.store.put("servers/i-1", testEntry("s", "prefill", "a", "ready", 1, 5));
    fixture.timers.advance(1s);
    CHECK(fixture.replicas.usable(service, EngineStage::Prefill).size() == 1);
}

TEST_CASE("the configuration never goes back to an older version")
{
    GatewayFixture fixture;
    auto decode = [](std::string_view text) -> Result<RoutingConfiguration> {
        RoutingConfiguration configuration;
        configuration.version = static_cast<uint64_t>(std::stoi(std::string(text)));
        return configuration;
    };
    RoutingSource source(fixture.context, fixture.store, fixture.timers, fixture.log, "op/config", decode, [](const RoutingConfiguration&) {});
    source.start();
    fixture.settle();
    CHECK(source.table() == nullptr);
    for (const auto* version : { "4", "9", "7" }) {
        fixture.store.put("op/config", version);
        fixture.settle();
    }
    CHECK(source.table()->configuration().version == 9);
}

// Guards against a directory that grows with each replaced replica, and against one that a late heartbeat revives.
TEST_CASE("a replica that is gone is remembered for a minute and then forgotten")
{
    OneReplica fixture;
    fixture.store.erase("servers/i-1");
    fixture.timers.advance(50s);
    REQUIRE(fixture.replicas.find(ReplicaId("i-1")) != nullptr);
    fixture.timers.advance(12s);
    CHECK(fixture.replicas.find(ReplicaId("i-1")) == nullptr);
}

TEST_CASE("entries that the store shows as changed are told for two seconds and applied by a peer, unless they are older")
{
    OneReplica fixture;
    REQUIRE(fixture.replicas.changedEntries().size() == 1);
    auto entry = fixture.replicas.changedEntries().front();
    fixture.timers.advance(3s);
    CHECK(fixture.replicas.changedEntries().empty());
    auto other = entry;
    other.id = ReplicaId("i-2");
    fixture.replicas.peerSaysEntry(other);
    CHECK(statusOf(fixture.replicas, "i-2") == ReplicaStatus::Ready);
    // What a peer says is not passed on, and does not bring back what is gone.
    CHECK(fixture.replicas.changedEntries().empty());
    fixture.store.erase("servers/i-1");
    fixture.settle();
    fixture.replicas.peerSaysEntry(entry);
    CHECK(statusOf(fixture.replicas, "i-1") == ReplicaStatus::Removed);
}

// Guards against a daemon that has become a collector and goes on waiting for the long pause of a member.
TEST_CASE("a mirror whose pause becomes short does not wait for the rest of the long one")
{
    GatewayFixture fixture;
    Duration pause = 10s;
    size_t seen = 0;
    auto mirror = std::make_shared<StoreMirror>(fixture.context, fixture.store, fixture.timers, fixture.log, "x/", [&pause] { return pause; });
    mirror->subscribe("x/", { [&seen](const StoreItem&) { ++seen; }, [](const std::string&) {} });
    mirror->start();
    fixture.settle();
    fixture.store.put("x/1", "a");
    fixture.settle();
    CHECK(seen == 1);
    fixture.store.put("x/2", "b");
    fixture.timers.advance(2s);
    CHECK(seen == 1);
    pause = 400ms;
    fixture.timers.advance(500ms);
    CHECK(seen == 2);
}
