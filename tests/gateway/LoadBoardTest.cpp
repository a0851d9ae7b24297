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
    CHECK(fixture.board->workAt(replica) == ReplicaWork { replica, 3, 500, 30 });
    fixture.timers.advance(2s);
    fixture.board->expirePeers();
    CHECK(fixture.board->workAt(replica) == ReplicaWork { replica, 1, 100, 0 });
    flight.end();
    CHECK(fixture.board->requestsAt(replica) == 0);
}

TEST_CASE("a replica that fails three times in a row is left alone for a while, longer each time")
{
    GatewayFixture fixture;
    auto& board = *fixture.board;
    for (int i = 0; i < 3; ++i)
        board.recordFailure(replica);
    CHECK(board.isEjected(replica));
    fixture.timers.advance(1100ms);
    CHECK_FALSE(board.isEjected(replica));
    board.recordFailure(replica);
    CHECK(board.isEjected(replica));
    fixture.timers.advance(1100ms);
    CHECK(board.isEjected(replica));
}

TEST_CASE("a replica that fails every other request is ejected although its failures are not in a row")
{
    GatewayFixture fixture;
    auto& board = *fixture.board;
    bool wasEjected = false;
    for (int i = 0; i < 20 && !wasEjected; ++i) {
        board.recordFailure(replica);
        wasEjected = board.isEjected(replica);
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
    CHECK(board.isEjected(replica));
    ReplicaId full("i-2");
    std::vector<LoadBoard::Flight> flights;
    flights.reserve(6);
    for (int i = 0; i < 6; ++i)
        flights.push_back(board.begin(full));
    board.recordRefusal(full, 4);
    CHECK_FALSE(board.isEjected(full));
    CHECK(board.fullAt(full) == 6);
    fixture.timers.advance(5s);
    CHECK(board.fullAt(full) == 0);
}

TEST_CASE("load news survives its way, and a datagram that is none is refused")
{
    LoadNews news { { DaemonId("d1"), AvailabilityZone("a"), { "10.0.0.1", 80 }, { "10.0.0.1", 7660 } }, NewsScope::Fleet, true, { { replica, 3, 500, 40 } }, { { Digest { 1, 2 }, RequestId("q1"), replica } }, { { ReplicaId("i-8"), 17, 4, true } }, { { ReplicaId("i-9"), 77 } }, { DaemonId("d2") } };
    auto decoded = decodeLoadNews(encodeLoadNews(news));
    REQUIRE(decoded.has_value());
    CHECK(*decoded == news);
    CHECK_FALSE(decodeLoadNews("").has_value());
    CHECK_FALSE(decodeLoadNews("not a message").has_value());
    auto torn = encodeLoadNews(news);
    torn.resize(torn.size() / 2);
    CHECK_FALSE(decodeLoadNews(torn).has_value());
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
    CHECK(entryPointsFor(views, AvailabilityZone("a")) == std::vector { views[2].record.front });
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
