#include "base/errors/MakeResult.h"
#include "frontend/FrontendFixture.h"

#include <doctest/doctest.h>

using namespace chestnut;
using namespace std::chrono_literals;

namespace {

/** The port of the first engine that runs a request; 0 when all are idle. */
uint16_t busyEngine(FrontendFixture& fixture, uint16_t count)
{
    for (uint16_t port = 1; port <= count; ++port) {
        if (!fixture.engines.at(port).running.empty())
            return port;
    }
    return 0;
}

} // namespace

// Guards against incomplete responses, and against requests whose routing is not logged.
TEST_CASE("streamed and unstreamed completions arrive complete, with one routing event each")
{
    FrontendFixture fixture;
    auto streamed = fixture.sendRequest(fixture.completion("p", 5, true, { { "X-Request-Id", "r1" } }));
    auto whole = fixture.sendRequest(fixture.completion("p", 5, false));
    fixture.advance(2s);
    auto received = readStream(*streamed);
    CHECK(received.isWhole);
    CHECK(received.isOrdered);
    CHECK(received.text == expectedText(1, 5));
    CHECK(streamed->headers.value("X-Request-Id") == "r1");
    CHECK(nlohmann::json::parse(whole->body)["choices"][0]["text"] == expectedText(1, 5));
    CHECK(fixture.log.recent("request", "r1").size() == 2); // routed and completed
    CHECK(fixture.log.recent(EventId::RequestRouted).size() == 2);
}

// Guards against a request that is lost with an engine that crashes before it responds.
TEST_CASE("an engine that crashes before the first token is replaced once")
{
    FrontendFixture fixture;
    fixture.engines.at(1).crashesOn = "p";
    fixture.engines.at(2).firstDelay = 30ms;
    fixture.draining.insert(ReplicaId("e2"));
    auto writer = fixture.sendRequest(fixture.completion("p", 5));
    fixture.draining.clear();
    fixture.advance(2s);
    CHECK(readStream(*writer).text == expectedText(1, 5));
    CHECK(fixture.engines.at(1).bodies.size() == 1);
    CHECK(fixture.engines.at(2).bodies.size() == 1);
}

// Guards against lost or repeated tokens when a stream moves to another engine.
TEST_CASE("a stream continues at another engine after the tokens already sent")
{
    FrontendFixture fixture;
    for (uint16_t port : { 1, 2 })
        fixture.engines.at(port).tokenDelay = 20ms;
    auto writer = fixture.sendRequest(fixture.completion("p", 20));
    fixture.advance(200ms);
    auto first = busyEngine(fixture, 2);
    REQUIRE(first != 0);
    auto before = readStream(*writer);
    CHECK(before.tokens > 2);
    fixture.engines.at(first).isDown = true;
    fixture.advance(3s);
    auto received = readStream(*writer);
    CHECK(received.isWhole);
    CHECK(received.isOrdered);
    CHECK(received.text == expectedText(1, 20));
    auto resumed = parseCompletionBody(fixture.engines.at(first == 1 ? 2 : 1).bodies.at(0));
    CHECK(resumed->resumeAfter >= before.tokens);
    CHECK(resumed->resumeText == expectedText(1, resumed->resumeAfter));
}

// Guards against endless retries of a request that crashes engines.
TEST_CASE("after a second lost engine the request fails and identical ones are quarantined")
{
    FrontendFixture fixture(4);
    for (uint16_t port = 1; port <= 4; ++port)
        fixture.engines.at(port).crashesOn = "poison";
    auto writer = fixture.sendRequest(fixture.completion("poison", 5));
    fixture.advance(3s);
    CHECK(errorKindOf(*writer) == "backend_failed");
    CHECK(errorOutcomeOf(*writer) == "failed");
    CHECK(fixture.engines.calls() == 2);
    auto again = fixture.sendRequest(fixture.completion("poison", 5));
    fixture.advance(1s);
    CHECK(again->status == 422);
    CHECK(errorKindOf(*again) == "suspect_request");
    CHECK(fixture.engines.calls() == 2);
    auto other = fixture.sendRequest(fixture.completion("harmless", 5));
    fixture.advance(2s);
    CHECK(readStream(*other).isWhole);
}

// Guards against a crash at another daemon's engine when the caller retries there before the next heartbeat: each loss is
// broadcast to the members before the caller receives the error.
TEST_CASE("the loss history of a request that ran alone on a lost engine is broadcast to members")
{
    FrontendFixture fixture(4);
    for (uint16_t port = 1; port <= 4; ++port)
        fixture.engines.at(port).crashesOn = "poison";
    FakePeers peer;
    peer.record.id = DaemonId("d2");
    std::vector<size_t> lostReplicas;
    peer.handle("suspects", [&](DaemonId, nlohmann::json body) -> asio::awaitable<Result<nlohmann::json>> {
        lostReplicas.push_back(body.at(0).at("r").size());
        co_return makeResult(nlohmann::json::object());
    });
    fixture.peers.others.push_back(peer.record);
    fixture.peers.reachable[peer.record.id] = &peer;
    auto writer = fixture.sendRequest(fixture.completion("poison", 5));
    fixture.advance(3s);
    CHECK(errorKindOf(*writer) == "backend_failed");
    CHECK(lostReplicas == std::vector<size_t> { 1, 2 });
}

// Guards against relaying another request's tokens.
TEST_CASE("a response to another request is discarded and the request's own stream is resumed at the same engine")
{
    FrontendFixture fixture;
    fixture.engines.at(1).misroutesNext = true;
    fixture.engines.at(2).misroutesNext = true;
    auto writer = fixture.sendRequest(fixture.completion("p", 4));
    fixture.advance(2s);
    CHECK(readStream(*writer).text == expectedText(1, 4));
    CHECK(fixture.engines.calls() == 1);
}

// Guards against reporting "not run" for a request that its engine runs, and against an engine that generates on for nobody.
TEST_CASE("a request whose own stream cannot be resumed after a response to another request is not reported as refused")
{
    FrontendFixture fixture(1);
    auto& engine = fixture.engines.at(1);
    engine.refusesResume = true;
    auto writer = fixture.sendRequest(fixture.completion("p", 4, false));
    for (int i = 0; i < 4000 && !writer->isFinished; ++i) {
        engine.misroutesNext = true;
        fixture.advance(10ms);
    }
    CHECK(writer->status == 502);
    CHECK(engine.cancelled.size() == engine.bodies.size());
    CHECK(engine.running.empty());
}

// Guards against tokens of the slower hedged attempt that reach the caller, and against its engine generating on.
TEST_CASE("a hedged attempt wins over a hung engine, whose late attempt is cancelled and discarded")
{
    FrontendFixture fixture;
    for (int i = 0; i < 60; ++i) {
        fixture.sendRequest(fixture.completion("warm" + std::to_string(i), 2));
        fixture.advance(200ms);
    }
    auto writer = fixture.sendRequest(fixture.completion("p", 5));
    auto first = busyEngine(fixture, 2);
    REQUIRE(first != 0);
    fixture.engines.at(first).isHung = true;
    fixture.advance(1500ms);
    CHECK(readStream(*writer).text == expectedText(1, 5));
    CHECK(fixture.log.recent(EventId::RequestHedged).size() == 1);
    CHECK(fixture.engines.at(first).cancelled.size() == 1);
    fixture.engines.at(first).isHung = false;
    fixture.advance(2s);
    CHECK(readStream(*writer).tokens == 5);
}

// Guards against an engine that generates tokens for a disconnected caller.
TEST_CASE("the disconnect of a caller cancels the request at the engine")
{
    FrontendFixture fixture(1);
    fixture.engines.at(1).tokenDelay = 100ms;
    auto writer = fixture.sendRequest(fixture.completion("p", 100));
    fixture.advance(500ms);
    CHECK(fixture.engines.at(1).running.size() == 1);
    writer->disconnect();
    fixture.advance(200ms);
    CHECK(fixture.engines.at(1).running.empty());
    CHECK(fixture.engines.at(1).cancelled.size() == 1);
    CHECK(fixture.frontend->inProgress() == 0);
}

// Guards against waiting forever for an engine that keeps the connection open but sends nothing.
TEST_CASE("a stream whose engine stops sending tokens continues at another engine")
{
    FrontendFixture fixture;
    auto writer = fixture.sendRequest(fixture.completion("p", 50));
    fixture.advance(200ms);
    auto first = busyEngine(fixture, 2);
    fixture.engines.at(first).isHung = true;
    fixture.advance(15s);
    auto received = readStream(*writer);
    CHECK(received.isWhole);
    CHECK(received.text == expectedText(1, 50));
}

// Guards against a response that is given up for a silence of its engine although no other engine can continue it.
TEST_CASE("a stalled stream goes on at its engine when no other attempt is possible")
{
    uint16_t engineCount = 1;
    SUBCASE("as there is no other engine") { }
    SUBCASE("as a second loss allows no retry") { engineCount = 2; }
    FrontendFixture fixture(engineCount);
    auto writer = fixture.sendRequest(fixture.completion("p", 50, true, { { "X-Request-Timeout", "60000" } }));
    fixture.advance(200ms);
    if (engineCount == 2) {
        fixture.engines.at(busyEngine(fixture, 2)).dropsNextConnection = true;
        fixture.advance(100ms);
    }
    auto running = busyEngine(fixture, 2);
    auto calls = fixture.engines.calls();
    fixture.engines.at(running).isHung = true;
    fixture.advance(12s);
    fixture.engines.at(running).isHung = false;
    fixture.advance(2s);
    auto received = readStream(*writer);
    CHECK(received.isWhole);
    CHECK(received.text == expectedText(1, 50));
    CHECK(fixture.engines.calls() == calls);
}

// Guards against unbounded buffering for a caller that does not read.
TEST_CASE("a slow client slows its own stream only and still gets every token")
{
    FrontendFixture fixture(1);
    auto writer = fixture.sendRequest(fixture.completion("p", 200));
    writer->writeDelay = 50ms;
    fixture.advance(1s);
    auto other = fixture.sendRequest(fixture.completion("q", 5));
    fixture.advance(1s);
    CHECK(readStream(*other).isWhole);
    fixture.advance(20s);
    auto received = readStream(*writer);
    CHECK(received.isWhole);
    CHECK(received.text == expectedText(1, 200));
}

// Guards against generation after the deadline, and against a false "not run".
TEST_CASE("a deadline that passes while the request runs is reported as failed and cancels the engine")
{
    FrontendFixture fixture(1);
    fixture.engines.at(1).tokenDelay = 200ms;
    auto writer = fixture.sendRequest(fixture.completion("p", 20, false, { { "X-Request-Timeout", "1500" } }));
    fixture.advance(3s);
    CHECK(errorKindOf(*writer) == "deadline_exceeded");
    CHECK(errorOutcomeOf(*writer) == "failed");
    CHECK(fixture.engines.at(1).running.empty());
}

// Guards against the quarantine of a request whose connection broke or whose engine was stopped as planned.
TEST_CASE("neither a broken connection nor a planned change makes a request suspected")
{
    FrontendFixture fixture(4);
    for (int i = 0; i < 3; ++i) {
        for (uint16_t port = 1; port <= 4; ++port)
            fixture.engines.at(port).dropsNextConnection = true;
        auto writer = fixture.sendRequest(fixture.completion("p", 20));
        fixture.advance(1s);
        for (uint16_t port = 1; port <= 4; ++port)
            fixture.engines.at(port).dropsNextConnection = false;
        fixture.advance(3s);
    }
    CHECK(fixture.log.recent(EventId::LossRefuted).size() >= 2);
    CHECK(fixture.log.recent(EventId::RequestSuspected).empty());
    for (int i = 0; i < 2; ++i) {
        fixture.sendRequest(fixture.completion("p", 200));
        fixture.advance(100ms);
        auto port = busyEngine(fixture, 4);
        REQUIRE(port != 0);
        fixture.draining.insert(ReplicaId("e" + std::to_string(port)));
        fixture.engines.at(port).isDown = true;
        fixture.advance(5s);
    }
    CHECK(fixture.log.recent(EventId::RequestSuspected).empty());
    auto again = fixture.sendRequest(fixture.completion("p", 5));
    fixture.advance(2s);
    CHECK(readStream(*again).isWhole);
}
