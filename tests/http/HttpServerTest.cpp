#include "support/HttpFixture.h"

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
