#include "backends/backends.h"
#include "support/HttpFixture.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <doctest/doctest.h>
#include <map>

using namespace chestnut;
using namespace chestnut::test;

namespace {

/** A scripted server and the clients of engines and backend servers in one io_context. */
struct BackendFixture : HttpFixture {
    using HttpFixture::HttpFixture;

    HttpEngineClient engines { client };
    HttpBackendServerClient servers { client };
};

asio::awaitable<void> waitFor(const bool& condition)
{
    asio::steady_timer poll(co_await asio::this_coro::executor);
    while (!condition) {
        poll.expires_after(std::chrono::milliseconds(1));
        co_await poll.async_wait(asio::use_awaitable);
    }
}

CompletionCall callWith(std::string id)
{
    CompletionCall call;
    call.request = RequestId(std::move(id));
    call.body = R"({"model":"m1","prompt":"p","max_tokens":2,"stream":true})";
    return call;
}

std::string tokenText(const std::string& id, uint64_t index, bool isLast)
{
    return formatSse({ std::to_string(index), formatCompletionChunk({ id, "t" + std::to_string(index), isLast ? "stop" : "" }, ModelId("m1"), false) });
}

/** Streams the given pieces in a response with the given request id. */
HttpHandler streamOf(std::string id, std::vector<std::string> pieces, bool breaks = false)
{
    return [id, pieces, breaks](HttpRequest, HttpResponseWriter& writer) -> asio::awaitable<void> {
        return [](std::string streamId, std::vector<std::string> chunks, bool aborts, HttpResponseWriter& out) -> asio::awaitable<void> {
            co_await out.begin(200, { { "X-Request-Id", streamId } });
            for (auto& chunk : chunks)
                co_await out.write(chunk);
            if (aborts)
                out.abort();
            else
                co_await out.finish();
        }(id, pieces, breaks, writer);
    };
}

asio::awaitable<Result<uint64_t>> countTokens(EngineClient& engines, Endpoint endpoint, CompletionCall call)
{
    auto stream = co_await engines.complete(endpoint, std::move(call));
    if (!stream)
        co_return stream.error();
    uint64_t count = 0;
    while (true) {
        auto token = co_await (*stream)->next();
        if (!token)
            co_return token.error();
        if (!*token)
            co_return count;
        ++count;
    }
}

} // namespace

// Guards against a client that rejects or cuts short a correct stream.
TEST_CASE("a complete stream arrives token by token")
{
    BackendFixture fixture(streamOf("r1", { tokenText("r1", 1, false) + tokenText("r1", 2, true), formatSse({ "", "[DONE]" }) }));
    auto count = fixture.run(countTokens(fixture.engines, fixture.server.endpoint(), callWith("r1")));
    REQUIRE(count.has_value());
    CHECK(*count == 2);
}

// Guards against relaying a response that belongs to another request.
TEST_CASE("a response to another request is a protocol error")
{
    BackendFixture header(streamOf("r2", { tokenText("r2", 1, true), formatSse({ "", "[DONE]" }) }));
    auto byHeader = header.run(countTokens(header.engines, header.server.endpoint(), callWith("r1")));
    REQUIRE_FALSE(byHeader.has_value());
    CHECK(byHeader.error().kind == ErrorKind::ProtocolError);

    BackendFixture chunk(streamOf("r1", { tokenText("r2", 1, true), formatSse({ "", "[DONE]" }) }));
    auto byChunk = chunk.run(countTokens(chunk.engines, chunk.server.endpoint(), callWith("r1")));
    REQUIRE_FALSE(byChunk.has_value());
    CHECK(byChunk.error().kind == ErrorKind::ProtocolError);
}

// Guards against reporting "not run" for a request that the engine runs: the refusal is that of another request.
TEST_CASE("a refusal of another request is a protocol error")
{
    for (int status : { 400, 404, 413, 429, 503 }) {
        BackendFixture fixture([status](HttpRequest, HttpResponseWriter& writer) -> asio::awaitable<void> { co_await writer.send({ status, { { "X-Request-Id", "r2" } }, "" }); });
        auto count = fixture.run(countTokens(fixture.engines, fixture.server.endpoint(), callWith("r1")));
        REQUIRE_FALSE(count.has_value());
        CHECK_MESSAGE(count.error().kind == ErrorKind::ProtocolError, status);
    }
}

// Guards against lost or repeated tokens that stay undetected.
TEST_CASE("a token out of order is a protocol error")
{
    for (uint64_t second : { 1U, 3U }) {
        BackendFixture fixture(streamOf("r1", { tokenText("r1", 1, false), tokenText("r1", second, true), formatSse({ "", "[DONE]" }) }));
        auto count = fixture.run(countTokens(fixture.engines, fixture.server.endpoint(), callWith("r1")));
        REQUIRE_FALSE(count.has_value());
        CHECK(count.error().kind == ErrorKind::ProtocolError);
    }
}

// Guards against treating a truncated stream as complete.
TEST_CASE("a stream that breaks or ends before its last token has failed")
{
    for (bool breaks : { true, false }) {
        BackendFixture fixture(streamOf("r1", { tokenText("r1", 1, false) }, breaks));
        auto count = fixture.run(countTokens(fixture.engines, fixture.server.endpoint(), callWith("r1")));
        REQUIRE_FALSE(count.has_value());
        CHECK(count.error().kind == ErrorKind::BackendFailed);
    }
}

// Guards against reporting "not run" for an order that may have been applied.
TEST_CASE("an order without a response has an unknown outcome and a rejected one is stale")
{
    BackendFixture lost([](HttpRequest, HttpResponseWriter& writer) -> asio::awaitable<void> { writer.abort(); co_return; });
    auto unknown = lost.run(lost.engines.order(lost.server.endpoint(), {}, std::chrono::seconds(1)));
    REQUIRE_FALSE(unknown.has_value());
    CHECK(unknown.error().kind == ErrorKind::OutcomeUnknown);

    BackendFixture stale([](HttpRequest, HttpResponseWriter& writer) -> asio::awaitable<void> { co_await writer.send({ 409, {}, R"({"error":"stale_authority"})" }); });
    auto refused = stale.run(stale.engines.order(stale.server.endpoint(), {}, std::chrono::seconds(1)));
    REQUIRE_FALSE(refused.has_value());
    CHECK(refused.error().kind == ErrorKind::StaleAuthority);
}

// Guards against losing both responses of calls that are not idempotent when a server swaps them.
TEST_CASE("two swapped responses of one client reach their own calls")
{
    std::string firstId;
    HttpResponseWriter* firstWriter = nullptr;
    bool isSwapped = false;
    BackendFixture fixture([&](HttpRequest request, HttpResponseWriter& writer) -> asio::awaitable<void> {
        auto id = std::string(request.headers.value("X-Request-Id"));
        if (!firstWriter) {
            firstWriter = &writer;
            firstId = id;
            co_await waitFor(isSwapped);
            co_return;
        }
        co_await firstWriter->send({ 200, { { "X-Request-Id", id } }, "answer to " + id });
        co_await writer.send({ 200, { { "X-Request-Id", firstId } }, "answer to " + firstId });
        isSwapped = true;
    });
    auto callAs = [&](std::string id) { return fixture.servers.call(fixture.server.endpoint(), { "POST", "/x", { { "X-Request-Id", id } }, "" }, std::chrono::seconds(5)); };
    std::optional<Result<HttpResponse>> first;
    asio::co_spawn(fixture.context, callAs("r1"), [&](std::exception_ptr, Result<HttpResponse> response) { first = std::move(response); });
    auto second = fixture.run(callAs("r2"));
    REQUIRE(second.has_value());
    CHECK(second->body == "answer to r2");
    while (!first)
        fixture.context.run_one();
    REQUIRE(first->has_value());
    CHECK((*first)->body == "answer to r1");
}

// Guards against relaying a response whose own call is unknown.
// Guards against a call that ends and takes the place of another attempt of the same request with it: the response to that attempt,
// arriving on another connection, was then discarded although its caller waited for it.
TEST_CASE("two attempts of one request wait for their responses independently")
{
    HttpResponseWriter* attemptWriter = nullptr;
    bool isFirstDone = false;
    bool isSwapped = false;
    bool hasAttempt = false;
    BackendFixture fixture([&](HttpRequest request, HttpResponseWriter& writer) -> asio::awaitable<void> {
        if (request.path() == "/first") {
            co_await waitFor(hasAttempt);
            co_await writer.send({ 200, { { "X-Request-Id", "r1" } }, "first" });
        } else if (request.path() == "/second") {
            attemptWriter = &writer;
            hasAttempt = true;
            co_await waitFor(isSwapped);
        } else {
            co_await waitFor(isFirstDone);
            co_await attemptWriter->send({ 200, { { "X-Request-Id", "r2" } }, "other" });
            co_await writer.send({ 200, { { "X-Request-Id", "r1" } }, "second" });
            isSwapped = true;
        }
    });
    std::map<std::string, Result<HttpResponse>> responses;
    auto start = [&](const std::string& path, const std::string& id) {
        auto call = fixture.servers.call(fixture.server.endpoint(), { "POST", path, { { "X-Request-Id", id } }, "" }, std::chrono::seconds(5));
        asio::co_spawn(fixture.context, std::move(call), [&, path](const std::exception_ptr&, Result<HttpResponse> response) {
            isFirstDone |= path == "/first";
            responses.emplace(path, std::move(response));
        });
    };
    start("/first", "r1");
    start("/second", "r1");
    start("/other", "r2");
    while (responses.size() < 3)
        fixture.context.run_one();
    for (const auto& entry : responses)
        REQUIRE_MESSAGE(entry.second.has_value(), entry.first);
    CHECK(responses.at("/first")->body == "first");
    CHECK(responses.at("/second")->body == "second");
    CHECK(responses.at("/other")->body == "other");
}

// Guards against a copy of an earlier response, without an id, that is taken for the response to the next call.
TEST_CASE("a call to a backend server is not sent on a connection that was used before")
{
    BackendFixture fixture([](HttpRequest, HttpResponseWriter& writer) -> asio::awaitable<void> { co_await writer.send({ 200, {}, "done" }); });
    for (size_t calls = 1; calls <= 2; ++calls) {
        auto response = fixture.run(fixture.servers.call(fixture.server.endpoint(), { "GET", "/x", { { "X-Request-Id", "r1" } }, "" }, std::chrono::seconds(1)));
        CHECK(response.has_value());
        CHECK(fixture.server.openConnections() == calls);
    }
}

TEST_CASE("a backend server's response to another request never reaches the caller")
{
    BackendFixture fixture([](HttpRequest, HttpResponseWriter& writer) -> asio::awaitable<void> { co_await writer.send({ 200, { { "X-Request-Id", "r2" } }, "other" }); });
    auto response = fixture.run(fixture.servers.call(fixture.server.endpoint(), { "POST", "/x", { { "X-Request-Id", "r1" } }, "" }, std::chrono::seconds(1)));
    REQUIRE_FALSE(response.has_value());
    CHECK(response.error().kind == ErrorKind::ProtocolError);
}

namespace {

/** Responds with a filler every 20 ms, for two seconds. */
HttpHandler fillerOf(std::string filler)
{
    return [filler](HttpRequest, HttpResponseWriter& writer) -> asio::awaitable<void> {
        return [](std::string bytes, HttpResponseWriter& out) -> asio::awaitable<void> {
            co_await out.begin(200, { { "X-Request-Id", "r1" } });
            asio::steady_timer timer(co_await asio::this_coro::executor);
            auto isOpen = true;
            for (int i = 0; i < 100 && isOpen; ++i) {
                timer.expires_after(std::chrono::milliseconds(20));
                co_await timer.async_wait(asio::use_awaitable);
                isOpen = (co_await out.write(bytes)).has_value();
            }
            co_await out.finish();
        }(filler, writer);
    };
}

} // namespace

// Guards against a caller that waits beyond its deadline while a server sends bytes that are no response.
TEST_CASE("bytes without end in a response end it at the time limit of the call")
{
    constexpr auto limit = std::chrono::milliseconds(200);
    for (const auto* filler : { "x", ": comment\n\n", "\n\n" }) {
        BackendFixture fixture(fillerOf(filler));
        auto startedAt = fixture.timers.now();
        auto call = callWith("r1");
        call.timeout = limit;
        auto tokens = fixture.run(countTokens(fixture.engines, fixture.server.endpoint(), call));
        CHECK(tokens.error().kind == ErrorKind::DeadlineExceeded);
        auto response = fixture.run(fixture.servers.call(fixture.server.endpoint(), { "POST", "/x", { { "X-Request-Id", "r1" } }, "" }, limit));
        REQUIRE_FALSE(response.has_value());
        CHECK(response.error().kind == ErrorKind::DeadlineExceeded);
        auto order = fixture.run(fixture.engines.order(fixture.server.endpoint(), {}, limit));
        REQUIRE_FALSE(order.has_value());
        CHECK(order.error().kind == ErrorKind::OutcomeUnknown);
        CHECK(fixture.timers.now() - startedAt < std::chrono::milliseconds(1500));
    }
}
