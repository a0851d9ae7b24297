#include "frontend/FrontendFixture.h"

#include <doctest/doctest.h>

using namespace chestnut;
using namespace std::chrono_literals;

namespace {

HttpRequest resumption(const std::string& eventId)
{
    auto slash = eventId.rfind('/');
    return { "GET", "/v1/streams/" + eventId.substr(0, slash) + "?after=" + eventId.substr(slash + 1), {}, "" };
}

uint64_t indexOf(const std::string& eventId)
{
    return std::stoull(eventId.substr(eventId.rfind('/') + 1));
}

} // namespace

// Guards against callers that depend for 10 s on the short list of a daemon that has just started.
TEST_CASE("discovery names the entry points, their validity and the key prefix")
{
    FrontendFixture fixture;
    auto writer = fixture.sendRequest({ "GET", "/v1/entrypoints", { { "X-Zone", "a" } }, "" });
    auto document = nlohmann::json::parse(writer->body);
    CHECK(document["entrypoints"][0]["address"] == "127.0.0.1:8000");
    CHECK(document["valid_for_ms"] == 1000);
    CHECK(document["key_prefix"] == "7");

    for (const auto* id : { "d2", "d3" }) {
        fixture.peers.others.push_back(fixture.peers.record);
        fixture.peers.others.back().id = DaemonId(id);
    }
    writer = fixture.sendRequest({ "GET", "/v1/entrypoints", { { "X-Zone", "a" } }, "" });
    document = nlohmann::json::parse(writer->body);
    CHECK(document["entrypoints"].size() == 3);
    CHECK(document["valid_for_ms"] == 10000);
}

// Guards against lost or repeated tokens when a caller's connection breaks.
TEST_CASE("a caller resumes at the same daemon from its last token")
{
    FrontendFixture fixture;
    auto writer = fixture.sendRequest(fixture.completion("p", 60));
    fixture.advance(300ms);
    writer->disconnect();
    fixture.advance(300ms);
    auto before = readStream(*writer);
    REQUIRE(before.tokens > 3);
    auto resumed = fixture.sendRequest(resumption(before.lastId));
    fixture.advance(3s);
    auto after = readStream(*resumed, indexOf(before.lastId));
    CHECK(after.isWhole);
    CHECK(after.isOrdered);
    CHECK(before.text + after.text == expectedText(1, 60));
}

// Guards against two sessions that generate the same stream, and against removing its record while a session still runs.
TEST_CASE("resuming over a second connection stops the session of the first")
{
    FrontendFixture fixture(1);
    fixture.engines.at(1).tokenDelay = 1s;
    auto first = fixture.sendRequest(fixture.completion("p", 100, true, { { "X-Request-Timeout", "300000" } }));
    fixture.advance(5s);
    auto before = readStream(*first);
    auto second = fixture.sendRequest(resumption(before.lastId));
    fixture.advance(80s);
    CHECK(first->isAborted);
    CHECK(fixture.engines.at(1).running.size() == 1);
    auto middle = readStream(*second, indexOf(before.lastId));
    second->disconnect();
    fixture.advance(1s);
    auto third = fixture.sendRequest(resumption(middle.lastId));
    fixture.advance(100s);
    CHECK(before.text + middle.text + readStream(*third).text == expectedText(1, 100));
}

// Guards against a stream that is lost with the daemon that accepted it.
TEST_CASE("another daemon resumes a stream that the engine buffers")
{
    FrontendFixture fixture(1);
    auto writer = fixture.sendRequest(fixture.completion("p", 60));
    fixture.advance(300ms);
    auto before = readStream(*writer);
    REQUIRE(before.tokens > 3);
    auto other = fixture.makeFrontend(); // has no record of the stream
    other->start();
    auto resumed = fixture.sendRequestTo(*other, resumption(before.lastId));
    fixture.advance(3s);
    auto after = readStream(*resumed, indexOf(before.lastId));
    CHECK(after.isWhole);
    CHECK(after.isOrdered);
    CHECK(before.text + after.text == expectedText(1, 60));
}

// Guards against a stream that is lost or generated twice when its caller resumes at another daemon while the first is up.
TEST_CASE("other daemons fetch a stream from the daemon that accepted it and continue it")
{
    FrontendFixture fixture(2);
    auto first = fixture.sendRequest(fixture.completion("p", 80));
    fixture.advance(300ms);
    auto before = readStream(*first);
    REQUIRE(before.tokens > 3);
    std::vector<FakePeers> others(2);
    std::vector<std::unique_ptr<Frontend>> frontends;
    for (size_t i = 0; i < 2; ++i) {
        others[i].record.id = DaemonId("d" + std::to_string(i + 2));
        others[i].reachable = { { DaemonId("d1"), &fixture.peers }, { DaemonId("d2"), others.data() } };
        frontends.push_back(fixture.makeFrontend(others[i]));
        frontends.back()->start();
    }
    auto second = fixture.sendRequestTo(*frontends[0], resumption(before.lastId));
    fixture.advance(300ms);
    auto middle = readStream(*second, indexOf(before.lastId));
    CHECK(first->isAborted);
    CHECK(middle.tokens > 3);
    CHECK(fixture.engines.at(1).running.size() + fixture.engines.at(2).running.size() == 1);
    second->disconnect();
    // The third daemon gets the original id; the accepting daemon redirects it to the one that has the stream now.
    auto third = fixture.sendRequestTo(*frontends[1], resumption(before.lastId));
    fixture.advance(3s);
    auto after = readStream(*third, indexOf(before.lastId));
    CHECK(after.isWhole);
    CHECK(after.isOrdered);
    CHECK(before.text + after.text == expectedText(1, 80));
}

// Guards against a resumption that hangs or restarts the stream.
TEST_CASE("a stream that no daemon or engine has is reported as lost")
{
    FrontendFixture fixture(1);
    auto unknown = fixture.sendRequest({ "GET", "/v1/streams/e1~d1-7-99~0123456789abcdef?after=3", {}, "" });
    fixture.advance(1s);
    CHECK(errorKindOf(*unknown) == "stream_lost");
    CHECK(unknown->status == 502);
    auto malformed = fixture.sendRequest({ "GET", "/v1/streams/nonsense?after=3", {}, "" });
    CHECK(errorKindOf(*malformed) == "bad_request");
}

// Guards against a malformed heartbeat that stops the exchange, and against quarantine at one daemon only.
TEST_CASE("loss histories of requests reach other daemons by heartbeat")
{
    FrontendFixture fixture(4);
    for (uint16_t port = 1; port <= 4; ++port)
        fixture.engines.at(port).crashesOn = "poison";
    fixture.sendRequest(fixture.completion("poison", 5));
    fixture.advance(3s);
    auto suspects = fixture.peers.extensions.at(0).produce();
    CHECK(nlohmann::json::to_cbor(suspects).size() <= 1024);
    FrontendFixture other(2);
    other.peers.extensions.at(0).consume(DaemonId("d1"), "not a list");
    other.peers.extensions.at(0).consume(DaemonId("d1"), suspects);
    auto writer = other.sendRequest(other.completion("poison", 5));
    CHECK(errorKindOf(*writer) == "suspect_request");
}
