#include "frontend/FrontendFixture.h"

#include <doctest/doctest.h>

using namespace chestnut;
using namespace std::chrono_literals;

// Guards against executing a duplicate of a completed call.
TEST_CASE("a claimed call runs once and a duplicate gets the recorded response")
{
    FrontendFixture fixture(1, 2);
    auto first = fixture.sendRequest(fixture.order("k1", "handle"));
    fixture.advance(1s);
    CHECK(first->status == 200);
    CHECK(first->body == "answer to handle");
    auto duplicate = fixture.sendRequest(fixture.order("k1", "handle"));
    fixture.advance(1s);
    CHECK(duplicate->body == first->body);
    CHECK(fixture.servers.executions() == 1);
}

// Guards against executing a call twice when two copies of it arrive at the same time.
TEST_CASE("a duplicate of a call in progress never runs")
{
    FrontendFixture fixture(1, 2);
    auto first = fixture.sendRequest(fixture.order("k1", "handle"));
    auto duplicate = fixture.sendRequest(fixture.order("k1", "handle"));
    fixture.advance(1s);
    CHECK(first->status == 200);
    CHECK(errorKindOf(*duplicate) == "already_run");
    CHECK(errorOutcomeOf(*duplicate) == "unknown");
    CHECK(fixture.servers.executions() == 1);
}

// Guards against failing a call that certainly was not sent.
TEST_CASE("a failed connect lets another replica run the call under the same claim")
{
    FrontendFixture fixture(1, 2);
    fixture.servers.at(101).isDown = true;
    for (int i = 0; i < 4; ++i) {
        auto writer = fixture.sendRequest(fixture.order("k" + std::to_string(i), "handle"));
        fixture.advance(500ms);
        CHECK(writer->status == 200);
    }
    CHECK(fixture.servers.executions() == 4);
    CHECK(fixture.claims.claims == 4);
}

// Guards against a claim that is kept although nothing was sent, and against an outcome other than "not run".
TEST_CASE("when no replica can be connected the call is not run and its claim is released")
{
    FrontendFixture fixture(1, 2);
    fixture.servers.at(101).isDown = true;
    fixture.servers.at(102).isDown = true;
    auto writer = fixture.sendRequest(fixture.order("k1", "handle"));
    fixture.advance(3s);
    CHECK(errorOutcomeOf(*writer) == "not_run");
    CHECK(fixture.claims.abandoned == 1);
    fixture.servers.at(101).isDown = false;
    fixture.advance(3s);
    auto again = fixture.sendRequest(fixture.order("k1", "handle"));
    fixture.advance(1s);
    CHECK(again->status == 200);
    CHECK(fixture.servers.executions() == 1);
}

// Guards against a second run of a call whose first run may have taken effect.
TEST_CASE("a crash, a lost response or a response to another request after the send leaves the outcome unknown")
{
    FrontendFixture fixture(1, 2);
    for (uint16_t port : { 101, 102 }) {
        fixture.servers.at(port).crashesOn = "crash";
        fixture.servers.at(port).losesResponse = true;
    }
    auto lost = fixture.sendRequest(fixture.order("k1", "lost"));
    fixture.advance(1s);
    CHECK(errorKindOf(*lost) == "outcome_unknown");
    CHECK(errorOutcomeOf(*lost) == "unknown");
    CHECK(fixture.servers.executions() == 1);
    for (uint16_t port : { 101, 102 }) {
        fixture.servers.at(port).losesResponse = false;
        fixture.servers.at(port).misroutesNext = true;
    }
    auto misrouted = fixture.sendRequest(fixture.order("k2", "crossed"));
    fixture.advance(1s);
    CHECK(errorKindOf(*misrouted) == "outcome_unknown");
    CHECK(misrouted->body.find("answer to") == std::string::npos);
    auto crashed = fixture.sendRequest(fixture.order("k3", "crash"));
    fixture.advance(1s);
    CHECK(errorKindOf(*crashed) == "outcome_unknown");
    CHECK(fixture.servers.executions() == 2);
    CHECK(fixture.claims.abandoned == 0);
}

// Guards against aborting a claimed call when its caller disconnects: a retry must get its response.
TEST_CASE("a claimed call whose caller disconnected is finished and recorded")
{
    FrontendFixture fixture(1, 1);
    fixture.servers.at(101).firstDelay = 500ms;
    auto writer = fixture.sendRequest(fixture.order("k1", "handle"));
    fixture.advance(100ms);
    writer->disconnect();
    fixture.advance(1s);
    auto again = fixture.sendRequest(fixture.order("k1", "handle"));
    fixture.advance(1s);
    CHECK(again->body == "answer to handle");
    CHECK(fixture.servers.executions() == 1);
}

// Guards against dispatching a call whose duplicates could not be detected.
TEST_CASE("a call that is not idempotent needs a key")
{
    FrontendFixture fixture(1, 1);
    auto writer = fixture.sendRequest({ "POST", "/services/orders/book", {}, "handle" });
    CHECK(errorKindOf(*writer) == "bad_key");
    CHECK(fixture.servers.executions() == 0);
}

// Guards against reads that fail because one backend server fails.
TEST_CASE("a read is retried after a lost response or a response to another request")
{
    FrontendFixture fixture(1, 2);
    for (uint16_t port : { 101, 102 })
        fixture.servers.at(port).misroutesNext = true;
    auto misrouted = fixture.sendRequest({ "GET", "/services/orders/stock?part=7", {}, "" });
    fixture.advance(2s);
    CHECK(misrouted->status == 200);
    fixture.servers.at(101).losesResponse = true;
    fixture.servers.at(102).losesResponse = true;
    auto lost = fixture.sendRequest({ "GET", "/services/orders/stock?part=8", {}, "" });
    fixture.advance(2s);
    CHECK(errorKindOf(*lost) == "backend_failed"); // both attempts were lost
    auto next = fixture.sendRequest({ "GET", "/services/orders/stock?part=9", {}, "" });
    fixture.advance(2s);
    CHECK(next->status == 200);
    CHECK(fixture.claims.claims == 0);
}

// Guards against reads that wait for a slow backend server.
TEST_CASE("a read is hedged when its first attempt is late, and the late response is discarded")
{
    FrontendFixture fixture(1, 2);
    for (int i = 0; i < 60; ++i) {
        fixture.sendRequest({ "GET", "/services/orders/stock?part=" + std::to_string(i), {}, "" });
        fixture.advance(100ms);
    }
    fixture.servers.at(101).firstDelay = 3s;
    fixture.servers.at(102).firstDelay = 3s;
    auto writer = fixture.sendRequest({ "GET", "/services/orders/stock?part=x", {}, "" });
    for (uint16_t port : { 101, 102 })
        fixture.servers.at(port).firstDelay = 20ms;
    fixture.advance(1s);
    CHECK(writer->status == 200);
    CHECK(fixture.log.recent(EventId::RequestHedged).size() == 1);
    fixture.advance(5s);
    CHECK(fixture.frontend->inProgress() == 0);
}

// Guards against a refusal with outcome "not run" for a call that ran before (H5).
TEST_CASE("a refusal does not hide an earlier attempt")
{
    FrontendFixture fixture(1, 1);
    auto first = fixture.sendRequest(fixture.order("k1", "handle"));
    fixture.advance(1s);
    CHECK(first->status == 200);
    fixture.claims.granted.insert("k2"); // by another daemon
    fixture.claims.inDoubt.insert("k3");
    fixture.draining.insert(ReplicaId("s1"));
    auto completed = fixture.sendRequest(fixture.order("k1", "handle"));
    auto claimed = fixture.sendRequest(fixture.order("k2", "handle"));
    auto inDoubt = fixture.sendRequest(fixture.order("k3", "handle"));
    auto unclaimed = fixture.sendRequest(fixture.order("k4", "handle"));
    fixture.advance(1s);
    CHECK(completed->body == first->body);
    CHECK(errorKindOf(*claimed) == "already_run");
    CHECK(errorOutcomeOf(*inDoubt) == "unknown");
    CHECK(errorOutcomeOf(*unclaimed) == "not_run");
    CHECK(fixture.servers.executions() == 1);
}
