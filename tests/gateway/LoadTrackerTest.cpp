#include "gateway/GatewayFixture.h"

#include <doctest/doctest.h>

using namespace chestnut;
using namespace std::chrono_literals;

namespace {

const ReplicaId replica("i-1");

} // namespace

TEST_CASE("work of peers counts until they fall silent")
{
    GatewayFixture fixture;
    auto flight = fixture.board->beginPrefill(replica, 100, false);
    fixture.board->setPeerWork(DaemonId("d1"), { { replica, 3, 500, 40 } });
    fixture.board->setPeerWork(DaemonId("d1"), { { replica, 2, 400, 30 } });
    CHECK(fixture.board->observe(replica).work == ReplicaWork { replica, 3, 500, 30 });
    fixture.timers.advance(2s);
    fixture.board->expirePeers();
    CHECK(fixture.board->observe(replica).work == ReplicaWork { replica, 1, 100, 0 });
    flight.end();
    CHECK(fixture.board->requestsAt(replica) == 0);
}

TEST_CASE("a replica that fails three times in a row is left alone for a while, longer each time")
{
    GatewayFixture fixture;
    auto& board = *fixture.board;
    for (int i = 0; i < 3; ++i)
        board.recordFailure(replica);
    CHECK(board.observe(replica).isEjected);
    fixture.timers.advance(1100ms);
    CHECK_FALSE(board.observe(replica).isEjected);
    board.recordFailure(replica);
    CHECK(board.observe(replica).isEjected);
    fixture.timers.advance(1100ms);
    CHECK(board.observe(replica).isEjected);
}

TEST_CASE("a replica that fails every other request is ejected although its failures are not in a row")
{
    GatewayFixture fixture;
    auto& board = *fixture.board;
    bool wasEjected = false;
    for (int i = 0; i < 20 && !wasEjected; ++i) {
        board.recordFailure(replica);
        wasEjected = board.observe(replica).isEjected;
        board.recordSuccess(replica, 1);
    }
    CHECK(wasEjected);
}

TEST_CASE("a refusal with free slots counts as a failure, one of a full replica shows its limit")
{
    GatewayFixture fixture;
    auto& board = *fixture.board;
    for (int i = 0; i < 3; ++i)
        board.recordRefusal(replica, 4);
    CHECK(board.observe(replica).isEjected);
    ReplicaId full("i-2");
    std::vector<LoadTracker::Flight> flights;
    flights.reserve(6);
    for (int i = 0; i < 6; ++i)
        flights.push_back(board.begin(full));
    board.recordRefusal(full, 4);
    CHECK_FALSE(board.observe(full).isEjected);
    CHECK(board.observe(full).fullAt == 6);
    fixture.timers.advance(5s);
    CHECK(board.observe(full).fullAt == 0);
}

TEST_CASE("discovery names the daemons of the zone that live, and those of all zones when it has none")
{
    auto viewOf = [](const std::string& id, const std::string& zone) {
        DaemonView view;
        view.record = { DaemonId(id), AvailabilityZone(zone), { "10.0.0." + id, 80 }, { "10.0.0." + id, 81 } };
        view.isRegistered = true;
        view.wasHeard = true;
        return view;
    };
    std::vector views { viewOf("1", "a"), viewOf("2", "a"), viewOf("3", "b") };
    CHECK(entryPointsFor(views, AvailabilityZone("a")).size() == 2);
    CHECK(entryPointsFor(views, AvailabilityZone("c")).size() == 3);
    views[0].isLeaving = true;
    CHECK(entryPointsFor(views, AvailabilityZone("a")).size() == 1);
    // A killed daemon stays registered until its lease ends; its silence shows it earlier.
    views[1].silence = 2s;
    CHECK(entryPointsFor(views, AvailabilityZone("a")) == std::vector { views[2].record.clientEndpoint });
}

TEST_CASE("events are cut at their ends, whatever the chunks")
{
    EventSplitter splitter;
    splitter.append("id: 1\nda");
    CHECK(splitter.takeEvents().bytes.empty());
    splitter.append("ta: x\n\nid: 2\r\ndata: y\r\n\r\nid: 3\n");
    auto batch = splitter.takeEvents();
    CHECK(batch.bytes == "id: 1\ndata: x\n\nid: 2\r\ndata: y\r\n\r\n");
    CHECK(batch.lastId == "2");
    CHECK(splitter.takeRest() == "id: 3\n");
}

// Guards against work that is counted twice or stays for ever when a long message needs more or fewer datagrams than before.
TEST_CASE("a peer's work arrives in parts that replace their predecessors one by one")
{
    GatewayFixture fixture;
    auto& board = *fixture.board;
    DaemonId peer("d1");
    ReplicaId other("i-2");
    board.setPeerWork(peer, { { replica, 1, 0, 0 } }, { 0, 2 });
    board.setPeerWork(peer, { { other, 2, 0, 0 } }, { 1, 2 });
    CHECK(board.requestsAt(replica) == 1);
    CHECK(board.requestsAt(other) == 2);
    board.setPeerWork(peer, { { other, 5, 0, 0 } }, { 1, 2 });
    CHECK(board.requestsAt(replica) == 1);
    CHECK(board.requestsAt(other) == 5);
    board.setPeerWork(peer, { { replica, 3, 0, 0 } }, { 0, 1 });
    CHECK(board.requestsAt(replica) == 3);
    CHECK(board.requestsAt(other) == 0);
}
