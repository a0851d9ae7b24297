#include "support/HttpFixture.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <doctest/doctest.h>

using namespace chestnut;
using namespace chestnut::test;

namespace {

asio::awaitable<void> echo(HttpRequest request, HttpResponseWriter& writer)
{
    HttpHeaders headers;
    headers.set("X-Path", request.path());
    co_await writer.send({ 200, headers, request.body });
}

asio::awaitable<void> streamThree(HttpRequest, HttpResponseWriter& writer)
{
    HttpHeaders headers;
    headers.set("Content-Type", "text/event-stream");
    co_await writer.begin(200, headers);
    for (int i = 1; i <= 3; ++i)
        co_await writer.write(formatSse({ std::to_string(i), "token" }));
    co_await writer.finish();
}

asio::awaitable<Result<std::vector<SseEvent>>> readStream(HttpClient& client, Endpoint endpoint)
{
    HttpRequest request;
    request.target = "/stream";
    auto stream = co_await client.open(endpoint, request, {});
    if (!stream)
        co_return stream.error();
    SseParser parser;
    std::vector<SseEvent> events;
    while (true) {
        auto bytes = co_await (*stream)->read();
        if (!bytes)
            co_return bytes.error();
        if (!*bytes)
            co_return events;
        parser.append(**bytes);
        while (auto event = parser.next())
            events.push_back(*event);
    }
}

} // namespace

TEST_CASE("a request and its response keep path and body")
{
    HttpFixture fixture(echo);
    auto response = fixture.run(fixture.client.exchange(fixture.server.endpoint(), { "POST", "/a?b=c", {}, "body" }, {}));
    REQUIRE(response.has_value());
    CHECK(response->body == "body");
    CHECK(response->headers.value("x-path") == "/a");
}

TEST_CASE("a chunked stream of events arrives whole and in order")
{
    HttpFixture fixture(streamThree);
    auto events = fixture.run(readStream(fixture.client, fixture.server.endpoint()));
    REQUIRE(events.has_value());
    REQUIRE(events->size() == 3);
    CHECK(events->back() == SseEvent { "3", "token" });
}

// Guards against memory use that grows with what a caller sends.
TEST_CASE("oversized bodies and headers are refused with their own status")
{
    HttpServerLimits limits;
    limits.maximumBody = 100;
    limits.maximumHeader = 1000;
    HttpFixture fixture(echo, limits);
    auto large = fixture.run(fixture.client.exchange(fixture.server.endpoint(), { "POST", "/", {}, std::string(1000, 'x') }, {}));
    REQUIRE(large.has_value());
    CHECK(large->status == 413);
    auto header = fixture.run(fixture.client.exchange(fixture.server.endpoint(), { "GET", "/", { { "X-Long", std::string(5000, 'x') } }, "" }, {}));
    REQUIRE(header.has_value());
    CHECK(header->status == 431);
}

// Guards against calling a refused connection "unknown": nothing was sent, so "not run" is true.
TEST_CASE("a closed port is reported as a failed connect")
{
    HttpFixture fixture(echo);
    auto endpoint = fixture.server.endpoint();
    fixture.server.stopAccepting();
    auto response = fixture.run(fixture.client.exchange(endpoint, {}, {}));
    REQUIRE_FALSE(response.has_value());
    CHECK(response.error().kind == ErrorKind::ConnectFailed);
}

namespace {

asio::awaitable<void> pauseFor(std::chrono::milliseconds time)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, time);
    co_await timer.async_wait(asio::use_awaitable);
}

/** Whether all connections have ended shortly after a listener has stopped. */
asio::awaitable<bool> hasNoConnectionsLeft(const HttpServer& server)
{
    co_await pauseFor(std::chrono::milliseconds(50));
    co_return server.openConnections() == 0;
}

} // namespace

// Guards against a request that a client sends on an idle connection of a daemon that is about to end: it would be cut.
TEST_CASE("a listener that stops closes idle connections")
{
    HttpFixture fixture(echo);
    CHECK(fixture.run(fixture.client.exchange(fixture.server.endpoint(), { "GET", "/", {}, "" }, {})).has_value());
    CHECK(fixture.server.openConnections() == 1);
    fixture.server.stopAccepting();
    CHECK(fixture.run(hasNoConnectionsLeft(fixture.server)));
}

TEST_CASE("a listener that stops lets the request in progress end, and its connection with it")
{
    HttpServer* server = nullptr;
    HttpFixture fixture([&server](HttpRequest, HttpResponseWriter& writer) -> asio::awaitable<void> {
        server->stopAccepting();
        co_await pauseFor(std::chrono::milliseconds(20));
        co_await writer.send({ 200, {}, "done" });
    });
    server = &fixture.server;
    auto response = fixture.run(fixture.client.exchange(fixture.server.endpoint(), { "GET", "/", {}, "" }, {}));
    REQUIRE(response.has_value());
    CHECK(response->body == "done");
    CHECK(response->headers.value("Connection") == "close");
    CHECK(fixture.run(hasNoConnectionsLeft(fixture.server)));
}
