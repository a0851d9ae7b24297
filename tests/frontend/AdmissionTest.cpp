#include "frontend/FrontendFixture.h"

#include <doctest/doctest.h>

using namespace chestnut;
using namespace std::chrono_literals;

// Guards against invalid requests that reach a backend.
TEST_CASE("invalid requests are refused with a specific kind and never dispatched")
{
    FrontendFixture fixture;
    auto expectKind = [&](HttpRequest request, const std::string& kind, int status) {
        auto writer = fixture.sendRequest(std::move(request));
        CHECK(errorKindOf(*writer) == kind);
        CHECK(errorOutcomeOf(*writer) == "not_run");
        CHECK(writer->status == status);
    };
    expectKind({ "POST", "/v1/completions", {}, "{" }, "bad_json", 400);
    expectKind({ "POST", "/v1/completions", {}, R"({"prompt":"p"})" }, "bad_json", 400);
    expectKind({ "POST", "/v1/completions", {}, R"({"model":"other","prompt":"p"})" }, "unknown_model", 404);
    expectKind(fixture.completion("p", 5, true, { { "X-Request-Timeout", "0" } }), "deadline_passed", 400);
    expectKind(fixture.completion("p", 5, true, { { "X-Request-Timeout", "soon" } }), "bad_request", 400);
    expectKind(fixture.completion("p", 5, true, { { "X-Priority-Class", "urgent" } }), "bad_request", 400);
    expectKind({ "GET", "/services/none/x", {}, "" }, "unknown_service", 404);
    expectKind({ "GET", "/v2", {}, "" }, "not_found", 404);
    CHECK(fixture.engines.calls() == 0);
    CHECK(fixture.log.recent(EventId::RequestRefused).size() == 8);
}

// Guards against error responses by HttpServer that lack kind and outcome.
TEST_CASE("an oversized body is refused with its kind")
{
    auto response = Frontend::makeErrorResponse(makeError(ErrorKind::BodyTooLarge, "too long"));
    CHECK(response.status == 413);
    CHECK(nlohmann::json::parse(response.body)["error"]["kind"] == "body_too_large");
}

// Guards against a queue that grows without bound.
TEST_CASE("a full queue refuses requests as overloaded and not run, with a Retry-After header")
{
    FrontendFixture fixture(1, 0, 2, 3);
    fixture.engines.at(1).isHung = true;
    std::vector<std::shared_ptr<FakeWriter>> writers;
    writers.reserve(10);
    for (int i = 0; i < 8; ++i)
        writers.push_back(fixture.sendRequest(fixture.completion("p" + std::to_string(i), 5)));
    uint32_t refused = 0;
    for (const auto& writer : writers) {
        if (errorKindOf(*writer) != "overloaded")
            continue;
        ++refused;
        CHECK(errorOutcomeOf(*writer) == "not_run");
        CHECK_FALSE(writer->headers.value("Retry-After").empty());
    }
    CHECK(refused == 3);
    CHECK(fixture.engines.calls() == 2);
    CHECK(fixture.frontend->waiting() == 3);
}

// Guards against starting work that cannot finish in time.
TEST_CASE("a deadline that cannot be met is refused immediately")
{
    FrontendFixture fixture(1);
    auto writer = fixture.sendRequest(fixture.completion("p", 10000, true, { { "X-Request-Timeout", "1000" } }));
    CHECK(errorKindOf(*writer) == "deadline_unreachable");
    CHECK(errorOutcomeOf(*writer) == "not_run");
    CHECK(fixture.engines.calls() == 0);
}

// Guards against a waiting request that is neither started nor refused.
TEST_CASE("waiting requests start when a slot is free, live before batch, and are removed when their caller disconnects")
{
    FrontendFixture fixture(1, 0, 1);
    auto running = fixture.sendRequest(fixture.completion("first", 20));
    auto batch = fixture.sendRequest(fixture.completion("batch", 5, true, { { "X-Priority-Class", "batch" } }));
    auto live = fixture.sendRequest(fixture.completion("live", 5));
    auto disconnecting = fixture.sendRequest(fixture.completion("leaving", 5));
    CHECK(fixture.frontend->waiting() == 3);
    disconnecting->disconnect();
    fixture.advance(5s);
    for (const auto& writer : { running, batch, live })
        CHECK(readStream(*writer).isWhole);
    const auto& bodies = fixture.engines.at(1).bodies;
    REQUIRE(bodies.size() == 3);
    CHECK(parseCompletionBody(bodies[1])->prompt == "live");
    CHECK(parseCompletionBody(bodies[2])->prompt == "batch");
    CHECK(fixture.frontend->waiting() == 0);
}

// Guards against live work that waits behind batch streams, and against lost or repeated tokens after a preemption.
TEST_CASE("a batch stream is preempted by live work and later continues with each token once")
{
    FrontendFixture fixture(1, 0, 1);
    fixture.engines.at(1).tokenDelay = 50ms;
    auto batch = fixture.sendRequest(fixture.completion("long batch", 100, true, { { "X-Priority-Class", "batch" } }));
    fixture.advance(1s);
    auto live = fixture.sendRequest(fixture.completion("live", 4));
    fixture.advance(1s);
    CHECK(readStream(*live).isWhole);
    CHECK_FALSE(readStream(*batch).isWhole);
    fixture.advance(20s);
    auto received = readStream(*batch);
    CHECK(received.isWhole);
    CHECK(received.isOrdered);
    CHECK(received.text == expectedText(1, 100));
    CHECK(fixture.log.recent(EventId::RequestPreempted).size() == 1);
    CHECK(fixture.engines.at(1).priorities.front() > fixture.engines.at(1).priorities.at(1));
}

// Guards against long-running requests of any class that take all slots from live work.
TEST_CASE("long-running requests leave slots to live work")
{
    FrontendFixture fixture(1, 0, 4);
    fixture.engines.at(1).tokenDelay = 40ms;
    std::vector<std::shared_ptr<FakeWriter>> stragglers;
    for (const char* name : { "batch", "batch", "live", "live" })
        stragglers.push_back(fixture.sendRequest(fixture.completion(name, 2000, true, { { "X-Priority-Class", name }, { "X-Request-Timeout", "600000" } })));
    fixture.advance(1s);
    CHECK(fixture.engines.at(1).running.size() < 4);
    auto started = fixture.engines.calls();
    auto live = fixture.sendRequest(fixture.completion("counter", 10));
    CHECK(fixture.engines.calls() == started + 1);
    fixture.advance(2s);
    CHECK(readStream(*live).isWhole);
    fixture.advance(400s);
    for (const auto& writer : stragglers)
        CHECK(readStream(*writer).text == expectedText(1, 2000));
}

// Guards against new work at a draining replica (bound: 5 s; here it stops immediately).
TEST_CASE("a draining replica finishes its requests and gets no new ones")
{
    FrontendFixture fixture;
    fixture.engines.at(1).tokenDelay = 100ms;
    fixture.draining.insert(ReplicaId("e2"));
    auto running = fixture.sendRequest(fixture.completion("p", 20));
    fixture.draining = { ReplicaId("e1") };
    std::vector<std::shared_ptr<FakeWriter>> writers;
    writers.reserve(10);
    for (int i = 0; i < 10; ++i)
        writers.push_back(fixture.sendRequest(fixture.completion("q" + std::to_string(i), 2)));
    fixture.advance(5s);
    CHECK(readStream(*running).isWhole);
    for (const auto& writer : writers)
        CHECK(readStream(*writer).isWhole);
    CHECK(fixture.engines.at(1).bodies.size() == 1);
}

// Guards against routing to a replica that refuses all connections.
TEST_CASE("a replica that refuses connections gets no new work after three failed contacts")
{
    FrontendFixture fixture;
    fixture.engines.at(1).isDown = true;
    fixture.advance(4s);
    CHECK(fixture.log.recent(EventId::ReplicaUnresponsive).size() == 1);
    for (int i = 0; i < 10; ++i) {
        auto writer = fixture.sendRequest(fixture.completion("p" + std::to_string(i), 2));
        fixture.advance(200ms);
        CHECK(readStream(*writer).isWhole);
    }
    CHECK(fixture.log.recent(EventId::AttemptFailed).empty());
}

// Guards against requests that a planned stop interrupts, and against discovery that names a daemon that refuses requests.
TEST_CASE("a graceful stop serves until cached discovery responses have expired and finishes all requests")
{
    FrontendFixture fixture(1);
    fixture.engines.at(1).tokenDelay = 1s;
    auto running = fixture.sendRequest(fixture.completion("p", 20, true, { { "X-Request-Timeout", "100000" } }));
    bool hasStopped = false;
    asio::co_spawn(fixture.context, fixture.frontend->stop(), [&](std::exception_ptr) { hasStopped = true; });
    fixture.advance(5s);
    CHECK(fixture.peers.record.state == MemberState::Leaving);
    // Once the daemon has stopped, no daemon could resolve keys with its prefix.
    auto discovery = fixture.sendRequest({ "GET", "/v1/entrypoints", {}, "" });
    CHECK(nlohmann::json::parse(discovery->body)["key_prefix"] == "");
    auto during = fixture.sendRequest(fixture.completion("q", 2));
    fixture.advance(8s);
    CHECK(readStream(*during).isWhole);
    auto late = fixture.sendRequest(fixture.completion("r", 2));
    CHECK(errorKindOf(*late) == "leaving");
    CHECK_FALSE(hasStopped);
    fixture.advance(20s);
    CHECK(readStream(*running).isWhole);
    CHECK(hasStopped);
}
