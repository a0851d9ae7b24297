#include "gateway/GatewayFixture.h"

#include <doctest/doctest.h>

using namespace chestnut;
using namespace std::chrono_literals;

namespace {

const ReplicaId replica("i-1");

QueuedTokens tokens(double urgent, double deferred)
{
    auto sum = amountAt(urgent, orderOf(PrefillRank::Urgent));
    sum += amountAt(deferred, orderOf(PrefillRank::Deferred));
    return sum;
}

} // namespace

TEST_CASE("the work of a peer expires when the peer stops sending messages")
{
    GatewayFixture fixture;
    auto inFlightWork = fixture.loadTracker->beginPrefill(replica, 100, orderOf(PrefillRank::Urgent));
    fixture.loadTracker->setPeerWork(DaemonId("d1"), { { replica, 3, tokens(500, 40), {} } });
    fixture.loadTracker->setPeerWork(DaemonId("d1"), { { replica, 2, tokens(400, 30), {} } });
    CHECK(fixture.loadTracker->observe(replica).work == ReplicaWork { replica, 3, tokens(500, 30), {} });
    fixture.timers.advance(2s);
    fixture.loadTracker->expirePeers();
    CHECK(fixture.loadTracker->observe(replica).work == ReplicaWork { replica, 1, tokens(100, 0), {} });
    inFlightWork.end();
    CHECK(fixture.loadTracker->requestsAt(replica) == 0);
}

TEST_CASE("a replica that fails three times in a row is ejected, for a longer time with each ejection")
{
    GatewayFixture fixture;
    auto& loadTracker = *fixture.loadTracker;
    for (int i = 0; i < 3; ++i)
        loadTracker.recordFailure(replica);
    CHECK(loadTracker.observe(replica).isEjected);
    fixture.timers.advance(1100ms);
    CHECK_FALSE(loadTracker.observe(replica).isEjected);
    loadTracker.recordFailure(replica);
    CHECK(loadTracker.observe(replica).isEjected);
    fixture.timers.advance(1100ms);
    CHECK(loadTracker.observe(replica).isEjected);
}

TEST_CASE("a replica that fails every other request is ejected although its failures are not consecutive")
{
    GatewayFixture fixture;
    auto& loadTracker = *fixture.loadTracker;
    bool wasEjected = false;
    for (int i = 0; i < 20 && !wasEjected; ++i) {
        loadTracker.recordFailure(replica);
        wasEjected = loadTracker.observe(replica).isEjected;
        loadTracker.recordSuccess(replica, 1);
    }
    CHECK(wasEjected);
}

TEST_CASE("a refusal with free slots counts as a failure, and one of a full replica reveals its capacity")
{
    GatewayFixture fixture;
    auto& loadTracker = *fixture.loadTracker;
    for (int i = 0; i < 3; ++i)
        loadTracker.recordRefusal(replica, 4);
    CHECK(loadTracker.observe(replica).isEjected);
    ReplicaId full("i-2");
    std::vector<LoadTracker::InFlightWork> inFlight;
    inFlight.reserve(6);
    for (int i = 0; i < 6; ++i)
        inFlight.push_back(loadTracker.begin(full));
    loadTracker.recordRefusal(full, 4);
    CHECK_FALSE(loadTracker.observe(full).isEjected);
    CHECK(loadTracker.observe(full).requestsAtRefusal == 6);
    fixture.timers.advance(5s);
    CHECK(loadTracker.observe(full).requestsAtRefusal == 0);
}

TEST_CASE("discovery returns the live daemons of the zone, or those of all zones if it has none")
{
    auto viewOf = [](const std::string& id, const std::string& zone) {
        DaemonView view;
        view.record = { DaemonId(id), AvailabilityZone(zone), { "10.0.0." + id, 80 }, { "10.0.0." + id, 81 } };
        view.isRegistered = true;
        view.hasSentMessage = true;
        return view;
    };
    std::vector views { viewOf("1", "a"), viewOf("2", "a"), viewOf("3", "b") };
    CHECK(entryPointsFor(views, AvailabilityZone("a")).size() == 2);
    CHECK(entryPointsFor(views, AvailabilityZone("c")).size() == 3);
    views[0].isLeaving = true;
    CHECK(entryPointsFor(views, AvailabilityZone("a")).size() == 1);
    // A killed daemon stays registered until its lease expires; its missing messages reveal the failure earlier.
    views[1].timeSinceMessage = 2s;
    CHECK(entryPointsFor(views, AvailabilityZone("a")) == std::vector { views[2].record.clientEndpoint });
}

TEST_CASE("the stream is split at event boundaries regardless of the chunk sizes")
{
    EventSplitter splitter;
    splitter.append("id: 1\nda");
    CHECK(splitter.takeEvents().bytes.empty());
    splitter.append("ta: x\n\nid: 2\r\ndata: y\r\n\r\nid: 3\n");
    auto batch = splitter.takeEvents();
    CHECK(batch.bytes == "id: 1\ndata: x\n\nid: 2\r\ndata: y\r\n\r\n");
    CHECK(batch.lastId == "2");
    CHECK(splitter.takeRemainder() == "id: 3\n");
}

// Guards against work that is counted twice or never removed when a message needs more or fewer datagrams than before.
TEST_CASE("each part of a peer's work replaces the previous version of this part")
{
    GatewayFixture fixture;
    auto& loadTracker = *fixture.loadTracker;
    DaemonId peer("d1");
    ReplicaId other("i-2");
    loadTracker.setPeerWork(peer, { { replica, 1, {}, {} } }, { 0, 2 });
    loadTracker.setPeerWork(peer, { { other, 2, {}, {} } }, { 1, 2 });
    CHECK(loadTracker.requestsAt(replica) == 1);
    CHECK(loadTracker.requestsAt(other) == 2);
    loadTracker.setPeerWork(peer, { { other, 5, {}, {} } }, { 1, 2 });
    CHECK(loadTracker.requestsAt(replica) == 1);
    CHECK(loadTracker.requestsAt(other) == 5);
    loadTracker.setPeerWork(peer, { { replica, 3, {}, {} } }, { 0, 1 });
    CHECK(loadTracker.requestsAt(replica) == 3);
    CHECK(loadTracker.requestsAt(other) == 0);
}

// Guards against each daemon of a fleet that learns of a full engine by its own refused request.
TEST_CASE("a refusal that a peer reports is known for as long as an own one, and not longer through repeated reports")
{
    GatewayFixture fixture;
    auto& loadTracker = *fixture.loadTracker;
    for (int i = 0; i < 4; ++i) {
        loadTracker.recordPeerRefusal({ replica, 9, std::chrono::seconds(i) });
        CHECK(loadTracker.observe(replica).requestsAtRefusal == 9);
        CHECK(loadTracker.recentRefusals() == std::vector<RefusalReport> { { replica, 9, std::chrono::seconds(i) } });
        fixture.timers.advance(1s);
    }
    CHECK(loadTracker.observe(replica).requestsAtRefusal == 0);
    CHECK(loadTracker.recentRefusals().empty());
    loadTracker.recordPeerRefusal({ replica, 0, {} });
    CHECK(loadTracker.observe(replica).requestsAtRefusal == 0);
}
