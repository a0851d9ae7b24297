#include "gateway/GatewayFixture.h"

#include <doctest/doctest.h>

using namespace chestnut;
using namespace std::chrono_literals;

namespace {

ReplicaStatus statusOf(const ReplicaDirectory& replicas, const std::string& id)
{
    const auto* replica = replicas.find(ReplicaId(id));
    return replica ? replica->status : ReplicaStatus::Removed;
}

/** A fixture with one replica, i-1. */
struct OneReplica : GatewayFixture {
    OneReplica() { addReplica("i-1", "s", "none"); }

    /** Simulates an outage of the store during which the entry expires. */
    void lapseInOutage()
    {
        store.isDown = true;
        timers.advance(3s);
        store.erase("servers/i-1");
        store.isDown = false;
        timers.advance(1s);
    }
};

Result<RoutingConfiguration> decodeVersion(std::string_view text)
{
    RoutingConfiguration configuration;
    configuration.version = std::stoull(std::string(text));
    return configuration;
}

} // namespace

TEST_CASE("changes of the store are applied, and the last state is kept during an outage")
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

TEST_CASE("a replica whose entry expired during an outage stays in use for 2.5 seconds")
{
    OneReplica fixture;
    fixture.lapseInOutage();
    CHECK(statusOf(fixture.replicas, "i-1") == ReplicaStatus::Lapsed);
    fixture.timers.advance(2s);
    CHECK(statusOf(fixture.replicas, "i-1") == ReplicaStatus::Removed);
}

// Guards against sound replicas that get no work because a restored store has lost their entries.
TEST_CASE("a replica whose entry is lost in a restore of the store stays in use for 2.5 seconds")
{
    GatewayFixture fixture;
    auto copy = fixture.store.copy();
    fixture.addReplica("i-1", "s", "none");
    fixture.addReplica("i-2", "s", "none");
    fixture.store.restore(copy);
    fixture.replicas.restartWatch();
    fixture.timers.advance(1s);
    CHECK(statusOf(fixture.replicas, "i-1") == ReplicaStatus::Lapsed);
    // A peer that has noticed the restore later still reports the lost entry.
    fixture.replicas.applyPeerEntry(fixture.replicas.find(ReplicaId("i-1"))->entry);
    fixture.store.put("servers/i-2", testEntry("s", "none", "a", "ready", 1, 9));
    fixture.timers.advance(2s);
    CHECK(statusOf(fixture.replicas, "i-1") == ReplicaStatus::Removed);
    CHECK(statusOf(fixture.replicas, "i-2") == ReplicaStatus::Ready);
    // Later removals are deliberate.
    fixture.store.erase("servers/i-2");
    fixture.settle();
    CHECK(statusOf(fixture.replicas, "i-2") == ReplicaStatus::Removed);
}

TEST_CASE("a removal after the first changes that follow an outage takes effect immediately")
{
    // Search seeds 470558889183 and 779814292827 of the scenario tr-spares: a daemon that had been disconnected from the store
    // treated the removal of a leaving replica as an expired entry and sent the replica work for 2.5 s.
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

// Guards against a daemon that counts the store as unavailable after an outage until something changes there, and holds no lease meanwhile.
TEST_CASE("a mirror that is restarted at the end of an outage notices it although nothing has changed")
{
    GatewayFixture fixture;
    fixture.ownKeys->start();
    fixture.settle();
    fixture.store.isDown = true;
    fixture.timers.advance(20s);
    CHECK(fixture.ownKeys->isFailing());
    fixture.store.isDown = false;
    fixture.ownKeys->restartWatch();
    fixture.timers.advance(100ms);
    CHECK_FALSE(fixture.ownKeys->isFailing());
}

// Guards against a removed replica that gets work for 2.5 s because the store has just cut a waiting watch, which it may do at any time.
TEST_CASE("a removal that is read after a cut watch takes effect immediately")
{
    OneReplica fixture;
    fixture.timers.advance(5s);
    fixture.store.cutWatches();
    fixture.store.erase("servers/i-1");
    fixture.timers.advance(400ms);
    CHECK(statusOf(fixture.replicas, "i-1") == ReplicaStatus::Removed);
    CHECK(fixture.log.recent(EventId::StoreResponseLost).size() == 1);
    CHECK(fixture.log.recent(EventId::PlatformLost).empty());
}

// Guards against a grace time that starts anew when a daemon reads an older removal, so that a removed replica gets work for longer.
TEST_CASE("the grace time of a removal that is read late counts from the end of the outage")
{
    OneReplica fixture;
    fixture.isStoreUnavailable = true;
    fixture.timers.advance(1s);
    fixture.isStoreUnavailable = false;
    fixture.unreachableUntil = fixture.timers.now();
    fixture.timers.advance(2s);
    fixture.store.erase("servers/i-1");
    fixture.timers.advance(200ms);
    CHECK(statusOf(fixture.replicas, "i-1") == ReplicaStatus::Lapsed);
    fixture.timers.advance(700ms);
    CHECK(statusOf(fixture.replicas, "i-1") == ReplicaStatus::Removed);
}

TEST_CASE("a peer's report of a leaving replica also applies to one whose entry has expired")
{
    OneReplica fixture;
    fixture.lapseInOutage();
    fixture.replicas.applyPeerLeaving({ ReplicaId("i-1"), 1, 1, false });
    CHECK(fixture.replicas.usable(ServiceId("s"), EngineStage::None).empty());
}

TEST_CASE("replicas with expired entries stay in use even if the watch outlasted the outage")
{
    // Search seed 805905122059 of the scenario srl-glossary: the store did not respond for 4.5 s and dropped all entries. The
    // pending watches then returned the removals, and every daemon removed all replicas.
    OneReplica fixture;
    fixture.isStoreUnavailable = true;
    fixture.store.erase("servers/i-1");
    fixture.timers.advance(1s);
    CHECK(statusOf(fixture.replicas, "i-1") == ReplicaStatus::Lapsed);
}

TEST_CASE("a replica whose entry was restored is not removed by an older report of a peer")
{
    // Same scenario day: peers reported the removal for 3 s more and thereby permanently removed the restored replicas.
    OneReplica fixture;
    fixture.store.erase("servers/i-1");
    fixture.settle();
    fixture.store.put("servers/i-1", testEntry("s", "none", "a", "ready", 1, 21));
    fixture.settle();
    fixture.replicas.applyPeerLeaving({ ReplicaId("i-1"), 1, 1, false });
    CHECK(statusOf(fixture.replicas, "i-1") == ReplicaStatus::Ready);
    fixture.replicas.applyPeerLeaving({ ReplicaId("i-1"), 1, 21, true });
    CHECK(statusOf(fixture.replicas, "i-1") == ReplicaStatus::Draining);
}

TEST_CASE("after a compaction of the history the prefix is listed again and missing keys are removed")
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

TEST_CASE("a watch that fails soon after a long outage is restarted immediately")
{
    // Search seed 962769516463 of the scenario tr-spares: the mirror did not detect the end of the outage while its watch waited
    // for a change, so a failure of that watch extended the backoff, and a new configuration was delayed by 4 s.
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

TEST_CASE("an invalid entry adds no replica and does not affect the others")
{
    OneReplica fixture;
    fixture.store.put("servers/i-x", "garbage");
    fixture.settle();
    CHECK(fixture.replicas.find(ReplicaId("i-x")) == nullptr);
    CHECK(statusOf(fixture.replicas, "i-1") == ReplicaStatus::Ready);
}

// Guards against a log that another writer fills by writing its entry again and again.
TEST_CASE("an unreadable entry is logged once until it becomes readable or is removed")
{
    GatewayFixture fixture;
    auto writeInvalid = [&fixture] {
        for (int i = 0; i < 20; ++i) {
            fixture.store.put("servers/i-2", "invalid " + std::to_string(i));
            fixture.settle();
        }
    };
    writeInvalid();
    CHECK(fixture.log.recent(EventId::StoreEntryUnreadable).size() == 1);
    fixture.addReplica("i-2", "s", "none");
    writeInvalid();
    CHECK(fixture.log.recent(EventId::StoreEntryUnreadable).size() == 2);
    fixture.removeReplica("i-2");
    writeInvalid();
    CHECK(fixture.log.recent(EventId::StoreEntryUnreadable).size() == 3);
}

TEST_CASE("an engine gets no work between its order and the entry with the new stage")
{
    GatewayFixture fixture;
    fixture.addReplica("i-1", "s", "decode");
    ServiceId service("s");
    fixture.replicas.pauses().begin(ReplicaId("i-1"), EngineStage::Prefill);
    fixture.timers.advance(9s);
    CHECK(fixture.replicas.usable(service, EngineStage::Decode).empty());
    CHECK(fixture.replicas.engines(service).size() == 1);
    fixture.store.put("servers/i-1", testEntry("s", "prefill", "a", "ready", 1, 5));
    fixture.timers.advance(1s);
    CHECK(fixture.replicas.usable(service, EngineStage::Prefill).size() == 1);
}

TEST_CASE("the configuration never returns to an older version")
{
    GatewayFixture fixture;
    RoutingSource source(fixture.context, fixture.store, fixture.timers, fixture.log, "op/config", decodeVersion, [](const RoutingConfiguration&) {});
    source.start();
    fixture.settle();
    CHECK(source.table() == nullptr);
    for (const auto* version : { "4", "9", "7" }) {
        fixture.store.put("op/config", version);
        fixture.settle();
    }
    CHECK(source.table()->configuration().version == 9);
}

// Guards against a configuration that is never applied because the restored store assigned it a revision that was used before.
TEST_CASE("after a restore of the store a new configuration is applied although its revision is not above the last one")
{
    GatewayFixture fixture;
    RoutingSource source(fixture.context, fixture.store, fixture.timers, fixture.log, "op/config", decodeVersion, [](const RoutingConfiguration&) {});
    fixture.store.put("op/config", "4");
    source.start();
    fixture.settle();
    auto copy = fixture.store.copy();
    fixture.store.put("op/config", "9");
    fixture.settle();
    auto restore = [&] {
        fixture.store.isDown = true;
        fixture.timers.advance(2s);
        fixture.store.restore(copy);
    };
    auto end = [&] {
        fixture.store.isDown = false;
        fixture.timers.advance(5s);
    };
    SUBCASE("while the watch reports a lost history")
    {
        restore();
        end();
        CHECK(source.table()->configuration().version == 9);
        fixture.store.put("op/config", "12");
    }
    SUBCASE("and the revision of the watch exists again when the watch returns")
    {
        restore();
        fixture.store.put("op/config", "12");
        fixture.store.put("other", "x");
        end();
    }
    SUBCASE("and the store was restored twice in a row")
    {
        restore();
        fixture.store.restore(copy);
        fixture.store.put("op/config", "12");
        end();
    }
    SUBCASE("and no response shows the epoch")
    {
        fixture.store.hidesEpoch = true;
        restore();
        end();
        fixture.store.put("op/config", "12");
    }
    SUBCASE("and no call failed meanwhile")
    {
        fixture.store.restore(copy);
        fixture.store.put("op/config", "12");
        fixture.store.put("other", "x");
        fixture.timers.advance(30s);
    }
    fixture.timers.advance(1s);
    CHECK(source.table()->configuration().version == 12);
}

// Guards against a withdrawn route that is in use again after a restart.
TEST_CASE("a restarted daemon has no configuration until the store sends the newest one, also when its history is lost")
{
    GatewayFixture fixture;
    fixture.store.put("op/config", "4");
    fixture.store.put("op/config", "9");
    fixture.store.compact();
    fixture.store.isDown = true;
    std::vector<uint64_t> applied;
    RoutingSource source(fixture.context, fixture.store, fixture.timers, fixture.log, "op/config", decodeVersion, [&applied](const RoutingConfiguration& configuration) { applied.push_back(configuration.version); });
    source.start();
    fixture.timers.advance(5s);
    CHECK(source.table() == nullptr);
    fixture.store.isDown = false;
    fixture.timers.advance(5s);
    CHECK(applied == std::vector<uint64_t> { 9 });
}

// Guards against a directory that grows with each replaced replica, and against a late heartbeat that restores a removed one.
TEST_CASE("the record of a removed replica is kept for a minute and then erased")
{
    OneReplica fixture;
    fixture.store.erase("servers/i-1");
    fixture.timers.advance(50s);
    REQUIRE(fixture.replicas.find(ReplicaId("i-1")) != nullptr);
    fixture.timers.advance(12s);
    CHECK(fixture.replicas.find(ReplicaId("i-1")) == nullptr);
}

TEST_CASE("changed entries are reported for two seconds, and a peer applies them unless they are older")
{
    OneReplica fixture;
    REQUIRE(fixture.replicas.changedEntries().size() == 1);
    auto entry = fixture.replicas.changedEntries().front();
    fixture.timers.advance(3s);
    CHECK(fixture.replicas.changedEntries().empty());
    auto other = entry;
    other.id = ReplicaId("i-2");
    fixture.replicas.applyPeerEntry(other);
    CHECK(statusOf(fixture.replicas, "i-2") == ReplicaStatus::Ready);
    // Reports of peers are not forwarded and do not restore removed replicas.
    CHECK(fixture.replicas.changedEntries().empty());
    fixture.store.erase("servers/i-1");
    fixture.settle();
    fixture.replicas.applyPeerEntry(entry);
    CHECK(statusOf(fixture.replicas, "i-1") == ReplicaStatus::Removed);
}

// Guards against a daemon that becomes a collector but still waits for the long pause of a member.
TEST_CASE("a mirror whose pause is shortened does not wait for the rest of the longer one")
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

// Found in the day trouble-2 of the scenario salvamanta-grown: versions of 330 KB in quick succession occupied the link of a
// daemon for seconds, its renewals timed out and a manifest took effect too late.
TEST_CASE("while large values change in quick succession only the newest versions are read")
{
    GatewayFixture fixture;
    std::vector<std::string> applied;
    auto mirror = std::make_shared<StoreMirror>(fixture.context, fixture.store, fixture.timers, fixture.log, "x/", [] { return Duration::zero(); });
    mirror->subscribe("x/", { [&applied](const StoreItem& item) { applied.push_back(item.value.substr(0, 2)); }, [](const std::string&) {} });
    mirror->start();
    fixture.settle();
    std::string large(300 << 10, 'x');
    for (int version = 10; version < 40; ++version) {
        fixture.store.put("x/1", std::to_string(version) + large);
        fixture.timers.advance(100ms);
    }
    CHECK(applied.size() < 12);
    fixture.timers.advance(1s);
    REQUIRE_FALSE(applied.empty());
    CHECK(applied.back() == "39");
    // A single change afterwards is still seen immediately.
    fixture.store.put("x/1", "40" + large);
    fixture.timers.advance(200ms);
    CHECK(applied.back() == "40");
}

// Guards against a daemon that reads every version since an outage over a slow link before it applies the newest one.
TEST_CASE("after an outage with many large versions only the newest one is read")
{
    GatewayFixture fixture;
    std::vector<std::string> applied;
    auto mirror = std::make_shared<StoreMirror>(fixture.context, fixture.store, fixture.timers, fixture.log, "x/", [] { return Duration::zero(); });
    mirror->subscribe("x/", { [&applied](const StoreItem& item) { applied.push_back(item.value.substr(0, 2)); }, [](const std::string&) {} });
    mirror->start();
    fixture.settle();
    fixture.store.linkBytesPerSecond = 1'250'000;
    fixture.store.isDown = true;
    fixture.timers.advance(1s);
    for (int version = 10; version < 30; ++version)
        fixture.store.put("x/1", std::to_string(version) + std::string(330 << 10, 'x'));
    fixture.store.isDown = false;
    mirror->restartWatch();
    fixture.timers.advance(1s);
    CHECK(applied == std::vector<std::string> { "29" });
}

// Guards against a replica that left before this daemon was restarted, and that stays in use because a peer that is behind has
// reported its entry afterwards: no removal of it is read from the store any more.
TEST_CASE("an entry that only a peer has reported is removed unless the store confirms it")
{
    OneReplica fixture;
    auto entry = fixture.replicas.changedEntries().front();
    for (const auto* id : { "i-2", "i-3" }) {
        entry.id = ReplicaId(id);
        fixture.replicas.applyPeerEntry(entry);
    }
    fixture.store.put("servers/i-3", testEntry("s", "none"));
    SUBCASE("after 25 s")
    {
        fixture.timers.advance(20s);
        CHECK(statusOf(fixture.replicas, "i-2") == ReplicaStatus::Ready);
        fixture.timers.advance(6s);
        CHECK(statusOf(fixture.replicas, "i-2") == ReplicaStatus::Removed);
    }
    SUBCASE("but not during an outage of the store")
    {
        fixture.timers.advance(1s);
        fixture.store.isDown = true;
        fixture.timers.advance(40s);
        CHECK(statusOf(fixture.replicas, "i-2") == ReplicaStatus::Ready);
    }
    CHECK(statusOf(fixture.replicas, "i-1") == ReplicaStatus::Ready);
    CHECK(statusOf(fixture.replicas, "i-3") == ReplicaStatus::Ready);
}

// Guards against a mirror that ends silently at the first exception of a handler, so that a daemon keeps its old configuration.
TEST_CASE("a mirror continues after an exception of a handler")
{
    GatewayFixture fixture;
    size_t seen = 0;
    auto mirror = std::make_shared<StoreMirror>(fixture.context, fixture.store, fixture.timers, fixture.log, "x/", [] { return Duration::zero(); });
    auto apply = [&seen](const StoreItem&) {
        if (++seen == 1)
            throw std::runtime_error("no record");
    };
    mirror->subscribe("x/", { apply, [](const std::string&) {} });
    mirror->start();
    fixture.settle();
    fixture.store.put("x/1", "a");
    fixture.settle();
    fixture.store.put("x/2", "b");
    fixture.timers.advance(3s);
    CHECK(seen > 1);
    CHECK(fixture.log.recent(EventId::TaskFailed).size() == 1);
}

// Guards against clients and messages that are sent to an address at which no daemon listens, for as long as the key exists.
TEST_CASE("a daemon record under another key, or with an address at which no daemon can listen, is ignored")
{
    GatewayFixture fixture;
    DaemonRecord self { DaemonId("d0"), AvailabilityZone("a"), { "10.0.0.1", 80 }, { "10.0.0.1", 81 } };
    DaemonDirectory directory(fixture.context, fixture.store, fixture.timers, fixture.log, fixture.ownKeys, self, [] {});
    fixture.ownKeys->start();
    for (const Endpoint& endpoint : { Endpoint { "10.0.0.2", 0 }, Endpoint { "0.0.0.0", 80 }, Endpoint { "224.0.0.1", 80 } }) {
        fixture.store.put("chestnutroute/daemons/d1", encodeDaemonRecord({ DaemonId("d1"), AvailabilityZone("a"), endpoint, { "10.0.0.2", 81 } }));
        fixture.settle();
    }
    fixture.store.put("chestnutroute/daemons/x", encodeDaemonRecord({ DaemonId("d1"), AvailabilityZone("a"), { "10.0.0.2", 80 }, { "10.0.0.2", 81 } }));
    fixture.settle();
    CHECK(directory.others().empty());
}
