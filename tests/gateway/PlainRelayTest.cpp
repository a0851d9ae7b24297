#include "gateway/GatewayFixture.h"

#include <algorithm>
#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

using namespace chestnut;
using namespace std::chrono_literals;

namespace {

ScriptedResponse respondWith(std::string body, int status = 200)
{
    ScriptedResponse response;
    response.status = status;
    response.chunks = { std::move(body) };
    return response;
}

ScriptedResponse failWith(ErrorKind kind)
{
    ScriptedResponse response;
    response.error = makeError(kind, "scripted");
    return response;
}

ScriptedResponse refuse()
{
    auto response = respondWith("", 503);
    response.executionStatus = ExecutionStatus::NotExecuted;
    return response;
}

} // namespace

TEST_CASE("the response of a replica reaches the client unchanged")
{
    GatewayFixture fixture;
    fixture.addReplica("i-1", "s", "none");
    fixture.replicaClient.scripts[ReplicaId("i-1")] = { respondWith("conflict", 409) };
    FakeWriter writer;
    fixture.runRequest(fixture.route(RouteKind::NonIdempotent, 1), writer);
    CHECK(writer.status == 409);
    CHECK(writer.body == "conflict");
    CHECK(writer.headers.value("X-Replica") == "i-1");
}

TEST_CASE("a non-idempotent call that may have run is neither sent again nor reported as not run")
{
    GatewayFixture fixture;
    fixture.addReplica("i-1", "s", "none");
    fixture.addReplica("i-2", "s", "none");
    for (const auto* id : { "i-1", "i-2" })
        fixture.replicaClient.scripts[ReplicaId(id)] = { failWith(ErrorKind::BackendFailed) };
    FakeWriter writer;
    fixture.runRequest(fixture.route(RouteKind::NonIdempotent, 3), writer);
    CHECK(fixture.replicaClient.sent.size() == 1);
    CHECK(writer.status == 502);
    CHECK_FALSE(writer.headers.contains("Retry-After"));
}

// Guards against a response that is cut or without end and is taken for a whole one or for "not run".
TEST_CASE("a broken body does not change what the header of the response says about the call")
{
    std::string megabyte(1 << 20, 'x');
    for (auto isEndless : { true, false }) {
        GatewayFixture fixture;
        fixture.addReplica("i-1", "s", "none");
        fixture.addReplica("i-2", "s", "none", "b");
        auto broken = respondWith("part");
        broken.chunks.resize(isEndless ? 20 : 1, megabyte);
        broken.closesEarly = !isEndless;
        auto refused = broken;
        refused.status = 503;
        refused.executionStatus = ExecutionStatus::NotExecuted;
        fixture.replicaClient.scripts[ReplicaId("i-1")] = { broken, refused };
        fixture.replicaClient.scripts[ReplicaId("i-2")] = { respondWith("done") };
        FakeWriter executed;
        fixture.runRequest(fixture.route(RouteKind::NonIdempotent, 3), executed);
        CHECK(executed.status == 502);
        FakeWriter refusedFirst;
        fixture.runRequest(fixture.route(RouteKind::NonIdempotent, 3), refusedFirst);
        CHECK(refusedFirst.status == 200);
        CHECK(fixture.replicaClient.sent.size() == 3);
    }
}

TEST_CASE("a call that a replica refused is sent to another one, even if it is not idempotent")
{
    GatewayFixture fixture;
    fixture.addReplica("i-1", "s", "none");
    fixture.addReplica("i-2", "s", "none", "b");
    fixture.replicaClient.scripts[ReplicaId("i-1")] = { refuse() };
    fixture.replicaClient.scripts[ReplicaId("i-2")] = { respondWith("booked") };
    FakeWriter writer;
    fixture.runRequest(fixture.route(RouteKind::NonIdempotent, 1), writer);
    CHECK(writer.status == 200);
    CHECK(writer.body == "booked");
}

TEST_CASE("when all replicas refuse, the response says that the call has not run and when to retry")
{
    GatewayFixture fixture;
    fixture.addReplica("i-1", "s", "none");
    fixture.replicaClient.scripts[ReplicaId("i-1")] = { refuse() };
    FakeWriter writer;
    fixture.runRequest(fixture.route(RouteKind::NonIdempotent, 1), writer);
    CHECK(writer.status == 503);
    CHECK(writer.headers.contains("Retry-After"));
}

TEST_CASE("an idempotent call is retried as often as its route allows")
{
    GatewayFixture fixture;
    for (const auto* id : { "i-1", "i-2", "i-3" }) {
        fixture.addReplica(id, "s", "none");
        fixture.replicaClient.scripts[ReplicaId(id)] = { failWith(ErrorKind::BackendFailed) };
    }
    FakeWriter writer;
    fixture.runRequest(fixture.route(RouteKind::Idempotent, 2), writer);
    CHECK(fixture.replicaClient.sent.size() == 2);
    CHECK(writer.status == 502);
}

TEST_CASE("an idempotent call without a response is sent to another replica after twice its latency objective")
{
    GatewayFixture fixture;
    fixture.addReplica("i-1", "s", "none");
    fixture.addReplica("i-2", "s", "none", "b");
    auto stalled = respondWith("late");
    stalled.delay = 1500ms;
    fixture.replicaClient.scripts[ReplicaId("i-1")] = { stalled };
    fixture.replicaClient.scripts[ReplicaId("i-2")] = { respondWith("here") };
    FakeWriter writer;
    fixture.runRequest(fixture.route(RouteKind::Idempotent, 2), writer, {}, 400ms);
    CHECK(writer.body == "here");
}

// Guards against a response that is given up because of a silence of its replica although nothing else can answer.
TEST_CASE("an idempotent call waits for a silent replica when no other attempt is possible")
{
    GatewayFixture fixture;
    fixture.addReplica("i-1", "s", "none");
    auto silent = respondWith("late");
    silent.delay = 1s;
    fixture.replicaClient.scripts[ReplicaId("i-1")] = { silent };
    SUBCASE("as the retry budget is exhausted")
    {
        fixture.addReplica("i-2", "s", "none", "b");
        fixture.budgets.setLimits({ 0, 0, 10s });
    }
    SUBCASE("as there is no other replica") { }
    SUBCASE("as the other replica refuses")
    {
        fixture.addReplica("i-2", "s", "none", "b");
        fixture.replicaClient.scripts[ReplicaId("i-2")] = { refuse() };
    }
    FakeWriter writer;
    fixture.runRequest(fixture.route(RouteKind::Idempotent, 2), writer);
    CHECK(writer.body == "late");
}

TEST_CASE("a response without a seal is treated as a failure that may have run")
{
    GatewayFixture fixture;
    fixture.addReplica("i-1", "s", "none");
    auto unsealed = respondWith("forged");
    unsealed.executionStatus = ExecutionStatus::Unverified;
    fixture.replicaClient.scripts[ReplicaId("i-1")] = { unsealed };
    FakeWriter writer;
    fixture.runRequest(fixture.route(RouteKind::NonIdempotent, 1), writer);
    CHECK(writer.status == 502);
}

TEST_CASE("a call gets its final response at the timeout of its route")
{
    GatewayFixture fixture;
    fixture.addReplica("i-1", "s", "none");
    auto stalled = respondWith("late");
    stalled.delay = 10s;
    fixture.replicaClient.scripts[ReplicaId("i-1")] = { stalled };
    FakeWriter writer;
    fixture.start(fixture.route(RouteKind::NonIdempotent, 1), writer);
    fixture.timers.advance(1990ms);
    CHECK(writer.status == 0);
    fixture.timers.advance(60ms);
    CHECK(writer.status == 504);
}

TEST_CASE("when the client disconnects the attempt is aborted and no other is sent")
{
    GatewayFixture fixture;
    fixture.addReplica("i-1", "s", "none");
    fixture.addReplica("i-2", "s", "none");
    for (const auto* id : { "i-1", "i-2" }) {
        auto slow = respondWith("late");
        slow.delay = 5s;
        fixture.replicaClient.scripts[ReplicaId(id)] = { slow };
    }
    FakeWriter writer;
    fixture.start(fixture.route(RouteKind::Idempotent, 2), writer);
    fixture.timers.advance(100ms);
    writer.disconnectCallback();
    fixture.timers.advance(20ms);
    CHECK(fixture.loadTracker->requestsAt(ReplicaId("i-1")) + fixture.loadTracker->requestsAt(ReplicaId("i-2")) == 0);
    fixture.timers.advance(3s);
    CHECK(fixture.replicaClient.sent.size() == 1);
    CHECK(writer.status == 0);
}

TEST_CASE("retries stop when the retry budget of the service is exhausted")
{
    GatewayFixture fixture;
    fixture.addReplica("i-1", "s", "none");
    fixture.addReplica("i-2", "s", "none");
    for (const auto* id : { "i-1", "i-2" })
        fixture.replicaClient.scripts[ReplicaId(id)] = { refuse() };
    constexpr size_t requests = 50;
    std::vector<FakeWriter> writers(requests);
    for (auto& writer : writers)
        fixture.runRequest(fixture.route(RouteKind::Idempotent, 2), writer, {}, 10ms);
    // The limit is 0.2 x 50 + 20.
    CHECK(fixture.replicaClient.sent.size() - requests <= 30);
    CHECK(fixture.replicaClient.sent.size() > requests);
}

TEST_CASE("a request that crashes its replicas is sent to at most three of them")
{
    GatewayFixture fixture;
    for (const auto* id : { "i-1", "i-2", "i-3", "i-4", "i-5" }) {
        fixture.addReplica(id, "s", "none");
        fixture.replicaClient.scripts[ReplicaId(id)] = { failWith(ErrorKind::BackendFailed) };
    }
    std::vector<FakeWriter> writers(6);
    int start = 1;
    for (auto& writer : writers) {
        fixture.runRequest(fixture.route(RouteKind::NonIdempotent, 1), writer, {}, 20ms);
        // Each crashed process is started again; a process that does not restart crashes once only.
        ++start;
        fixture.store.put("servers/" + fixture.replicaClient.sent.back().replica.value(), testEntry("s", "none", "a", "ready", start));
        fixture.settle();
    }
    CHECK(fixture.replicaClient.sent.size() == 3);
    CHECK(writers.back().status == 503);
}

// Guards against work for a client that has left before a late daemon reads its request (tr-spares, scale-1, seed 536911328482).
TEST_CASE("a request that is read after its client has closed the connection is not sent to a replica")
{
    GatewayFixture fixture;
    std::optional<PromptShape> prompt;
    std::string surplus;
    SUBCASE("plain") { fixture.addReplica("i-1", "s", "none"); }
    SUBCASE("plain, with bytes after the request")
    {
        fixture.addReplica("i-1", "s", "none");
        surplus.assign(8000, 'x');
    }
    SUBCASE("prefill")
    {
        fixture.addReplica("i-1", "s", "prefill");
        fixture.addReplica("i-2", "s", "decode");
        prompt = GatewayFixture::longPrompt();
    }
    SUBCASE("decode")
    {
        fixture.addReplica("i-2", "s", "decode");
        prompt = GatewayFixture::longPrompt();
    }
    HttpServer server(
        fixture.context, fixture.log, { "127.0.0.1", 0 }, {}, [&](HttpRequest, HttpResponseWriter& writer) { return fixture.serve(fixture.route(RouteKind::Idempotent, 2), writer, prompt); }, [](const Error&) { return HttpResponse {}; });
    server.start();
    asio::io_context clientContext;
    asio::ip::tcp::socket client(clientContext);
    client.connect({ asio::ip::make_address("127.0.0.1"), server.endpoint().port });
    asio::write(client, asio::buffer("GET /x HTTP/1.1\r\nHost: h\r\n\r\n" + surplus));
    client.close();
    fixture.timers.advance(3s);
    CHECK(fixture.log.recent(EventId::RequestRefused).size() == 1);
    CHECK(fixture.replicaClient.prefills.empty());
    CHECK(fixture.replicaClient.sent.empty());
}

// Guards against an error of one replica that reaches the client although another replica would have served the call.
TEST_CASE("an idempotent call that a replica answered with an error of its own is repeated at another one")
{
    GatewayFixture fixture;
    fixture.addReplica("i-1", "s", "none");
    fixture.addReplica("i-2", "s", "none", "b");
    fixture.replicaClient.scripts[ReplicaId("i-1")] = { respondWith("broken", 500) };
    fixture.replicaClient.scripts[ReplicaId("i-2")] = { respondWith("found") };
    FakeWriter writer;
    fixture.runRequest(fixture.route(RouteKind::Idempotent, 2), writer);
    CHECK(writer.status == 200);
    CHECK(writer.body == "found");
    CHECK(fixture.replicaClient.sent.size() == 2);
    CHECK(fixture.log.recent(EventId::ReplicaErrorResponse).size() == 1);
    // The error counts against the replica that sent it.
    CHECK(fixture.loadTracker->observe(ReplicaId("i-1")).errorShare > 0);
    CHECK(fixture.loadTracker->observe(ReplicaId("i-2")).errorShare == 0);
}

// Guards against a first response that is lost, changed or late because of a repetition that gets nothing better.
TEST_CASE("the first error response is passed on unchanged when a repetition gets nothing better")
{
    GatewayFixture fixture;
    fixture.addReplica("i-1", "s", "none");
    auto route = fixture.route(RouteKind::Idempotent, 2);
    size_t expectedCalls = 2;
    auto broken = respondWith("broken", 500);
    broken.headers.set("X-Detail", "first");
    SUBCASE("as the second replica fails as well")
    {
        fixture.addReplica("i-2", "s", "none", "b");
        fixture.replicaClient.scripts[ReplicaId("i-2")] = { respondWith("also broken", 502) };
    }
    SUBCASE("as the second replica sends no response")
    {
        fixture.addReplica("i-2", "s", "none", "b");
        fixture.replicaClient.scripts[ReplicaId("i-2")] = { failWith(ErrorKind::BackendFailed) };
    }
    SUBCASE("as the second replica refuses")
    {
        fixture.addReplica("i-2", "s", "none", "b");
        fixture.replicaClient.scripts[ReplicaId("i-2")] = { refuse() };
    }
    SUBCASE("as the second replica is silent until the deadline")
    {
        fixture.addReplica("i-2", "s", "none", "b");
        auto silent = respondWith("late");
        silent.delay = 10s;
        fixture.replicaClient.scripts[ReplicaId("i-2")] = { silent };
    }
    SUBCASE("as there is no other replica") { expectedCalls = 1; }
    SUBCASE("as the route allows one attempt")
    {
        fixture.addReplica("i-2", "s", "none", "b");
        route.maximumAttempts = 1;
        expectedCalls = 1;
    }
    SUBCASE("as the retry budget is exhausted")
    {
        fixture.addReplica("i-2", "s", "none", "b");
        fixture.budgets.setLimits({ 0, 0, 10s });
        expectedCalls = 1;
    }
    SUBCASE("as such calls take longer than the time left")
    {
        fixture.addReplica("i-2", "s", "none", "b");
        fixture.recordCalls(1, 10ms, 1900ms);
        broken.delay = 200ms;
        expectedCalls = 1;
    }
    fixture.replicaClient.scripts[ReplicaId("i-1")] = { broken };
    FakeWriter writer;
    fixture.runRequest(route, writer, {}, 2100ms);
    CHECK(writer.status == 500);
    CHECK(writer.body == "broken");
    CHECK(writer.headers.value("X-Detail") == "first");
    CHECK(writer.headers.value("X-Replica") == "i-1");
    CHECK(fixture.replicaClient.sent.size() == expectedCalls);
}

// Guards against a booking that is made twice.
TEST_CASE("a non-idempotent call that was answered with an error is passed on as it is, and the replica is blamed")
{
    GatewayFixture fixture;
    fixture.addReplica("i-1", "s", "none");
    fixture.addReplica("i-2", "s", "none", "b");
    fixture.replicaClient.scripts[ReplicaId("i-1")] = { respondWith("broken", 500) };
    FakeWriter writer;
    fixture.runRequest(fixture.route(RouteKind::NonIdempotent, 3), writer);
    CHECK(writer.status == 500);
    CHECK(writer.body == "broken");
    CHECK(fixture.replicaClient.sent.size() == 1);
    CHECK(fixture.loadTracker->observe(ReplicaId("i-1")).errorShare > 0);
}

// Guards against replicas that lose their share because of a call that fails wherever it runs.
TEST_CASE("a request that several replicas answer with errors is not counted against them")
{
    GatewayFixture fixture;
    for (const auto* id : { "i-1", "i-2", "i-3" }) {
        fixture.addReplica(id, "s", "none");
        fixture.replicaClient.scripts[ReplicaId(id)] = { respondWith("broken", 500) };
    }
    FakeWriter writer;
    fixture.runRequest(fixture.route(RouteKind::Idempotent, 3), writer);
    CHECK(writer.status == 500);
    CHECK(fixture.replicaClient.sent.size() == 3);
    for (const auto* id : { "i-1", "i-2", "i-3" })
        CHECK(fixture.loadTracker->observe(ReplicaId(id)).errorShare == 0);
    // The next caller's single attempt with the same content is not counted either.
    FakeWriter repeated;
    fixture.runRequest(fixture.route(RouteKind::NonIdempotent, 1), repeated);
    CHECK(repeated.status == 500);
    for (const auto* id : { "i-1", "i-2", "i-3" })
        CHECK(fixture.loadTracker->observe(ReplicaId(id)).errorShare == 0);
}

// Guards against error responses that change how a refusal is handled, which says that the call has not run.
TEST_CASE("a 503 that says that the call has not run is no error of the replica's own")
{
    GatewayFixture fixture;
    fixture.addReplica("i-1", "s", "none");
    fixture.replicaClient.scripts[ReplicaId("i-1")] = { refuse() };
    FakeWriter writer;
    fixture.runRequest(fixture.route(RouteKind::Idempotent, 2), writer);
    CHECK(writer.status == 503);
    CHECK(writer.headers.contains("Retry-After"));
    CHECK(fixture.loadTracker->observe(ReplicaId("i-1")).errorShare == 0);
    CHECK(fixture.log.recent(EventId::ReplicaErrorResponse).empty());
}

// Guards against a replica that fails part of its calls and keeps its full share, and against a small service that loses the
// capacity of such replicas: three replicas of four slots, of which two fail every fourth call.
TEST_CASE("a replica that fails part of its calls gets a smaller share and is not ejected")
{
    GatewayFixture fixture;
    for (const auto* id : { "i-1", "i-2", "i-3" })
        fixture.addReplica(id, "s", "none");
    auto slow = respondWith("done");
    slow.delay = 30ms;
    auto failed = respondWith("broken", 500);
    failed.delay = 30ms;
    fixture.replicaClient.scripts[ReplicaId("i-3")] = { slow };
    std::vector<FakeWriter> writers(600);
    for (size_t i = 0; i < writers.size(); ++i) {
        for (const auto* id : { "i-1", "i-2" })
            fixture.replicaClient.scripts[ReplicaId(id)] = { i % 4 == 0 ? failed : slow };
        fixture.body = std::to_string(i);
        // Six calls at a time, for which two replicas are needed.
        fixture.runRequest(fixture.route(RouteKind::NonIdempotent, 1), writers[i], {}, 5ms);
        for (const auto* id : { "i-1", "i-2", "i-3" })
            CHECK_FALSE(fixture.loadTracker->observe(ReplicaId(id)).isEjected);
    }
    fixture.timers.advance(1s);
    auto callsAt = [&](const char* id) { return std::ranges::count(fixture.replicaClient.sent, ReplicaId(id), &FakeReplicaClient::Sent::replica); };
    INFO("calls at the faulty replicas " << callsAt("i-1") << " and " << callsAt("i-2") << ", at the other one " << callsAt("i-3"));
    CHECK(callsAt("i-3") > 300);
    CHECK(callsAt("i-1") + callsAt("i-2") > 60);
    CHECK(std::ranges::all_of(writers, [](const FakeWriter& writer) { return writer.status == 200 || writer.status == 500; }));
}

// Guards against a body of megabytes that is held for each client that reads slowly.
TEST_CASE("a long body is sent before its end is known, and is broken off when the replica breaks it off")
{
    constexpr size_t chunkBytes = 16 << 10;
    constexpr size_t chunkCount = 32;
    GatewayFixture fixture;
    fixture.services.responseBuffers = std::make_shared<ByteBudget>(size_t { 1 } << 20);
    bool isShortOfMemory = false;
    SUBCASE("as it is longer than one response may hold") { }
    SUBCASE("as the budget is used up") { isShortOfMemory = fixture.services.responseBuffers->tryTake((size_t { 1 } << 20) - chunkBytes); }
    fixture.addReplica("i-1", "s", "none");
    ScriptedResponse response;
    response.chunks.assign(chunkCount, std::string(chunkBytes, 'x'));
    auto broken = response;
    broken.closesEarly = true;
    fixture.replicaClient.scripts[ReplicaId("i-1")] = { response, broken };
    std::vector<size_t> reserved;
    std::array<FakeWriter, 2> writers;
    for (auto& writer : writers) {
        writer.beforeWrite = [&]() -> asio::awaitable<void> {
            reserved.push_back(fixture.services.responseBuffers->used());
            co_return;
        };
        fixture.runRequest(fixture.route(RouteKind::Idempotent, 2), writer);
        CHECK(writer.body.size() == chunkBytes * chunkCount);
    }
    CHECK(writers[0].isFinished);
    CHECK_FALSE(writers[1].isFinished);
    CHECK(writers[1].wasAborted);
    CHECK(fixture.replicaClient.sent.size() == 2);
    CHECK(reserved.size() > (isShortOfMemory ? chunkCount : chunkCount / 2));
}

TEST_CASE("a short body is held whole, so that its request can be repeated when it breaks off")
{
    GatewayFixture fixture;
    fixture.services.responseBuffers = std::make_shared<ByteBudget>(size_t { 1 } << 20);
    fixture.addReplica("i-1", "s", "none");
    fixture.addReplica("i-2", "s", "none", "b");
    auto broken = respondWith("part");
    broken.closesEarly = true;
    fixture.replicaClient.scripts[ReplicaId("i-1")] = { broken };
    fixture.replicaClient.scripts[ReplicaId("i-2")] = { respondWith("whole") };
    FakeWriter writer;
    fixture.runRequest(fixture.route(RouteKind::Idempotent, 2), writer);
    CHECK(writer.body == "whole");
    CHECK(fixture.services.responseBuffers->used() == 0);
}

// Guards against a replica whose long error response stays unread while the call is repeated elsewhere, and against a second attempt
// that is not ended with its client, as the end of the first one releases the abort handle.
TEST_CASE("an error response that is not held whole is relayed and not repeated")
{
    GatewayFixture fixture;
    constexpr size_t budgetBytes = 1 << 10;
    fixture.services.responseBuffers = std::make_shared<ByteBudget>(budgetBytes);
    REQUIRE(fixture.services.responseBuffers->tryTake(budgetBytes));
    fixture.addReplica("i-1", "s", "none");
    fixture.addReplica("i-2", "s", "none", "b");
    fixture.replicaClient.scripts[ReplicaId("i-1")] = { respondWith("error", 500) };
    fixture.replicaClient.scripts[ReplicaId("i-2")] = { respondWith("whole") };
    FakeWriter writer;
    fixture.runRequest(fixture.route(RouteKind::Idempotent, 2), writer);
    CHECK(writer.status == 500);
    CHECK(writer.body == "error");
    CHECK(writer.isFinished);
    CHECK(fixture.replicaClient.sent.size() == 1);
}

// Guards against a malformed response that leaves its replica in use, that counts as a crash, or whose request is refused as not run.
TEST_CASE("a malformed response counts against its replica but not as a crash, and its request may have run")
{
    constexpr int failuresUntilEjection = 10;
    GatewayFixture fixture;
    fixture.addReplica("i-1", "s", "none");
    fixture.addReplica("i-2", "s", "none");
    fixture.replicaClient.scripts[ReplicaId("i-1")] = { failWith(ErrorKind::ProtocolError) };
    fixture.replicaClient.scripts[ReplicaId("i-2")] = { respondWith("body") };
    int failures = 0;
    for (int i = 0; i < 2 * failuresUntilEjection; ++i) {
        FakeWriter once;
        fixture.runRequest(fixture.route(RouteKind::NonIdempotent, 3), once, {}, 50ms);
        failures += once.status == 502 ? 1 : 0;
        CHECK((once.status == 200 || once.status == 502));
    }
    CHECK(failures > 0);
    CHECK(failures <= failuresUntilEjection);
    FakeWriter repeated;
    fixture.runRequest(fixture.route(RouteKind::Idempotent, 3), repeated);
    CHECK(repeated.status == 200);
    CHECK(fixture.log.recent(EventId::RequestSuspected).empty());
}

// Guards against a response without a length that looks complete although its replica has dropped the call at the time limit.
TEST_CASE("a body that ends with its connection at the time limit is not complete")
{
    GatewayFixture fixture;
    fixture.addReplica("i-1", "s", "none");
    auto route = fixture.route(RouteKind::NonIdempotent, 1);
    auto cut = respondWith("a part");
    cut.endsWithConnection = true;
    SUBCASE("in time") { cut.delays = { { 1, route.timeout - 10ms } }; }
    SUBCASE("at the limit") { cut.delays = { { 1, route.timeout - 1ms } }; }
    auto isInTime = cut.delays.at(1) < route.timeout - 5ms;
    fixture.replicaClient.scripts[ReplicaId("i-1")] = { cut };
    FakeWriter writer;
    fixture.runRequest(route, writer);
    CHECK((writer.status == 200) == isInTime);
    CHECK((writer.body == "a part") == isInTime);
}
