#include "http/message/GrowingBody.h"
#include "support/HttpFixture.h"

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>
#include <sys/resource.h>
#include <thread>

using namespace chestnut;
using namespace chestnut::test;
using namespace std::chrono_literals;

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

// Guards against a path, query or body that is changed on the way.
TEST_CASE("a request and its response arrive with path and body")
{
    HttpFixture fixture(echo);
    auto response = fixture.run(fixture.client.exchange(fixture.server.endpoint(), { "POST", "/a?b=c", {}, "body" }, {}));
    REQUIRE(response.has_value());
    CHECK(response->body == "body");
    CHECK(response->headers.value("x-path") == "/a");
}

// Guards against events that are lost or split wrongly in a chunked response.
TEST_CASE("a chunked stream of events arrives complete and in order")
{
    HttpFixture fixture(streamThree);
    auto events = fixture.run(readStream(fixture.client, fixture.server.endpoint()));
    REQUIRE(events.has_value());
    REQUIRE(events->size() == 3);
    CHECK(events->back() == SseEvent { "3", "token" });
}

namespace {

asio::awaitable<std::string> readAllAfter(Endpoint endpoint, std::string request)
{
    asio::ip::tcp::socket socket(co_await asio::this_coro::executor);
    co_await socket.async_connect({ asio::ip::make_address(endpoint.address), endpoint.port }, asio::use_awaitable);
    co_await asio::async_write(socket, asio::buffer(request), asio::use_awaitable);
    std::string text;
    std::array<char, 1024> bytes {};
    boost::system::error_code error;
    while (!error)
        text.append(bytes.data(), co_await socket.async_read_some(asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, error)));
    co_return text;
}

} // namespace

// Guards against bytes after a response to HEAD, which the client takes for the next response on its connection.
TEST_CASE("the response to HEAD has no body, also when it is written in chunks")
{
    HttpFixture fixture(streamThree);
    auto text = fixture.run(readAllAfter(fixture.server.endpoint(), "HEAD /stream HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"));
    CHECK(text.starts_with("HTTP/1.1 200 "));
    CHECK(text.find("\r\n\r\n") + 4 == text.size());
}

// Guards against rules for repeated fields that never see them: an ambiguous key, or the longest Retry-After.
TEST_CASE("fields that a client repeats reach the handler")
{
    size_t keys = 0;
    HttpFixture fixture([&](HttpRequest request, HttpResponseWriter& writer) -> asio::awaitable<void> {
        for (const auto& field : request.headers.fields())
            keys += field.first == "X-Api-Key" ? 1 : 0;
        co_await writer.send({});
    });
    fixture.run(readAllAfter(fixture.server.endpoint(), "GET / HTTP/1.1\r\nHost: x\r\nX-Api-Key: k1\r\nX-Api-Key: k2\r\nConnection: close\r\n\r\n"));
    CHECK(keys == 2);
}

// Guards against memory use that grows with the size of a caller's request.
TEST_CASE("oversized bodies and headers are rejected with status 413 and 431")
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

// Guards against reporting a refused connection with the outcome "unknown" instead of "not run": nothing was sent.
TEST_CASE("a closed port is reported as ConnectFailed")
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

/** Whether all connections are closed shortly after the server has stopped accepting. */
asio::awaitable<bool> hasNoConnectionsLeft(const HttpServer& server)
{
    co_await pauseFor(std::chrono::milliseconds(50));
    co_return server.openConnections() == 0;
}

} // namespace

// Guards against a request that is lost because a client sends it on an idle connection of a daemon that is shutting down.
TEST_CASE("stopAccepting closes idle connections")
{
    HttpFixture fixture(echo);
    CHECK(fixture.run(fixture.client.exchange(fixture.server.endpoint(), { "GET", "/", {}, "" }, {})).has_value());
    CHECK(fixture.server.openConnections() == 1);
    fixture.server.stopAccepting();
    CHECK(fixture.run(hasNoConnectionsLeft(fixture.server)));
}

// Guards against a shutdown that cuts a response, and against a connection that stays open after it.
TEST_CASE("after stopAccepting the request in progress completes and its connection is closed")
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

// Guards against a whole response, with its header, in the middle of a stream.
TEST_CASE("a second response to one request closes the connection")
{
    HttpFixture fixture([](HttpRequest, HttpResponseWriter& writer) -> asio::awaitable<void> {
        (void)co_await writer.begin(200, {});
        (void)co_await writer.write("event");
        auto sent = co_await writer.send({ 503, {}, "error" });
        CHECK_FALSE(sent.has_value());
    });
    auto response = fixture.run(fixture.client.exchange(fixture.server.endpoint(), { "POST", "/", {}, "" }, {}));
    CHECK_FALSE(response.has_value());
}

namespace {

/** A client that uses blocking calls, so that the server only sees its bytes when the context runs. */
struct BlockingClient {
    explicit BlockingClient(const Endpoint& endpoint)
    {
        socket.connect({ asio::ip::make_address(endpoint.address), endpoint.port });
    }

    void send(std::string_view text) { asio::write(socket, asio::buffer(text.data(), text.size())); }

    /** Runs the server for a while and returns what it has sent until then. */
    std::string receive(asio::io_context& serverContext)
    {
        serverContext.restart();
        serverContext.run_for(std::chrono::milliseconds(50));
        return receiveNow();
    }

    std::string receiveNow()
    {
        std::string received(4096, 0);
        boost::system::error_code error;
        socket.non_blocking(true);
        received.resize(socket.receive(asio::buffer(received), 0, error));
        return received;
    }

    asio::io_context context;
    asio::ip::tcp::socket socket { context };
};

} // namespace

// Guards against a planned stop that resets the connections of clients whose request was already sent.
TEST_CASE("requests that are queued, unread or read in part at stopAccepting are counted and answered")
{
    HttpFixture fixture(echo);
    BlockingClient idle(fixture.server.endpoint());
    BlockingClient unread(fixture.server.endpoint());
    BlockingClient partial(fixture.server.endpoint());
    partial.send("GET /part HT");
    CHECK(idle.receive(fixture.context).empty());
    std::array<std::unique_ptr<BlockingClient>, 3> queued;
    for (auto& client : queued)
        client = std::make_unique<BlockingClient>(fixture.server.endpoint());
    for (auto& client : queued)
        client->send("GET /queued HTTP/1.1\r\n\r\n");
    unread.send("GET /unread HTTP/1.1\r\n\r\n");
    fixture.server.stopAccepting();
    CHECK(fixture.server.openConnections() >= 5);
    CHECK(unread.receive(fixture.context).find("/unread") != std::string::npos);
    for (auto& client : queued)
        CHECK(client->receive(fixture.context).find("/queued") != std::string::npos);
    CHECK(fixture.server.openConnections() == 1);
    CHECK(idle.receive(fixture.context).empty());
    partial.send("TP/1.1\r\n\r\n");
    CHECK(partial.receive(fixture.context).find("/part") != std::string::npos);
    CHECK(fixture.server.openConnections() == 0);
}

// Guards against a process that exits without an answer to requests in progress, and against an error inside a stream.
TEST_CASE("endResponses answers the requests in progress with an error and cuts off the streams")
{
    HttpFixture fixture([](HttpRequest request, HttpResponseWriter& writer) -> asio::awaitable<void> {
        if (request.path() == "/stream") {
            co_await writer.begin(200, {});
            co_await writer.write("event");
        }
        co_await pauseFor(std::chrono::seconds(60));
    });
    BlockingClient waiting(fixture.server.endpoint());
    BlockingClient streaming(fixture.server.endpoint());
    waiting.send("POST /wait HTTP/1.1\r\nContent-Length: 4\r\n\r\nbody");
    streaming.send("GET /stream HTTP/1.1\r\n\r\n");
    CHECK(waiting.receive(fixture.context).empty());
    CHECK(streaming.receive(fixture.context).find("event") != std::string::npos);
    fixture.server.endResponses();
    auto answer = waiting.receiveNow();
    CHECK(answer.starts_with("HTTP/1.1 504"));
    CHECK(answer.find("Connection: close") != std::string::npos);
    CHECK(streaming.receiveNow().empty());
}

// Guards against an idle connection that is closed, or a request that is refused, by limits which a configuration has replaced.
TEST_CASE("an idle connection follows new limits, and the end of the idle time does not cut a request that has arrived")
{
    HttpServerLimits limits;
    limits.maximumBody = 1;
    limits.headerTimeout = std::chrono::milliseconds(120);
    HttpFixture fixture(echo, limits);
    BlockingClient client(fixture.server.endpoint());
    auto runFor = [&](std::chrono::milliseconds time) {
        fixture.context.restart();
        fixture.context.run_for(time);
    };
    runFor(std::chrono::milliseconds(20));
    limits.maximumBody = 100;
    SUBCASE("longer")
    {
        limits.idleTimeout = std::chrono::seconds(10);
        fixture.server.setLimits(limits);
        runFor(std::chrono::milliseconds(300));
        client.send("POST /late HTTP/1.1\r\nContent-Length: 4\r\n\r\nbody");
    }
    SUBCASE("unread at the end of the idle time")
    {
        fixture.server.setLimits(limits);
        client.send("POST /late HTTP/1.1\r\nContent-Length: 4\r\n\r\nbody");
        std::this_thread::sleep_for(std::chrono::milliseconds(300));
    }
    CHECK(client.receive(fixture.context).find("/late") != std::string::npos);
    runFor(std::chrono::milliseconds(400));
    CHECK((fixture.server.openConnections() == 0) == (limits.idleTimeout == Duration {}));
}

// Guards against a request that is lost because its connection is closed after a response that announced keep-alive.
TEST_CASE("a connection whose response had begun before closeAfterResponses serves one more request")
{
    HttpServer* server = nullptr;
    HttpFixture fixture([&server](HttpRequest request, HttpResponseWriter& writer) -> asio::awaitable<void> {
        co_await writer.begin(200, {});
        server->closeAfterResponses();
        co_await writer.write(std::string(request.path()));
        co_await writer.finish();
    });
    server = &fixture.server;
    BlockingClient client(fixture.server.endpoint());
    client.send("GET /first HTTP/1.1\r\n\r\nGET /second HTTP/1.1\r\n\r\n");
    auto received = client.receive(fixture.context);
    CHECK(received.find("/first") < received.find("Connection: close"));
    CHECK(received.find("/second") != std::string::npos);
    CHECK(fixture.server.openConnections() == 0);
}

namespace {

/** Sends the prefix of a request and then the filler again and again; returns the bytes sent until the server responds or closes. */
asio::awaitable<size_t> sendWithoutEnd(Endpoint endpoint, std::string prefix, std::string filler, std::string& response)
{
    boost::system::error_code error;
    auto ignoringErrors = asio::redirect_error(asio::use_awaitable, error);
    asio::ip::tcp::socket socket(co_await asio::this_coro::executor);
    co_await socket.async_connect({ asio::ip::make_address(endpoint.address), endpoint.port }, asio::use_awaitable);
    co_await asio::async_write(socket, asio::buffer(prefix), ignoringErrors);
    size_t sent = prefix.size();
    while (!error && socket.available() == 0 && sent < 16 << 20)
        sent += co_await asio::async_write(socket, asio::buffer(filler), ignoringErrors);
    response.resize(4096);
    response.resize(co_await socket.async_read_some(asio::buffer(response), ignoringErrors));
    co_return sent;
}

} // namespace

// Guards against a client whose request does not end, which would occupy memory.
TEST_CASE("bytes without end in a request are bounded, and the client is told")
{
    HttpServerLimits limits;
    limits.maximumBody = 100 << 10;
    limits.headerTimeout = limits.bodyTimeout = std::chrono::seconds(2);
    std::string kilobyte(1024, 'x');
    std::string post = "POST / HTTP/1.1\r\n";
    auto chunked = post + "Transfer-Encoding: chunked\r\n\r\n";
    std::vector<std::pair<std::string, std::string>> requests {
        { "", kilobyte },
        { "GET /", kilobyte },
        { post + "X: ", kilobyte },
        { post, "X: " + kilobyte + "\r\n" },
        { post + "Content-Length: 1000000000000\r\n\r\n", kilobyte },
        { chunked, "400\r\n" + kilobyte + "\r\n" },
        { chunked + "1;", kilobyte },
        { chunked + "0\r\n", "X: " + kilobyte + "\r\n" },
        { chunked, kilobyte },
    };
    for (const auto& request : requests) {
        HttpFixture fixture(echo, limits);
        std::string response;
        auto sent = fixture.run(sendWithoutEnd(fixture.server.endpoint(), request.first, request.second, response));
        CHECK_MESSAGE(response.starts_with("HTTP/1.1 4"), request.first);
        // Beyond the limits, bytes were in the buffers of the sockets.
        CHECK_MESSAGE(sent < 8 << 20, request.first);
    }
}

// Guards against memory that each open connection takes for a body that it has only announced.
TEST_CASE("a body takes memory only for the bytes that have arrived")
{
    GrowingBody::value_type body;
    boost::beast::http::request_header<> header;
    GrowingBody::reader reader(header, body);
    boost::system::error_code error;
    reader.init(std::numeric_limits<uint64_t>::max(), error);
    CHECK_FALSE(error);
    CHECK(body.capacity() < 100);
    CHECK(reader.put(boost::asio::buffer("some bytes", 10), error) == 10);
    CHECK(reader.put(boost::asio::buffer(" more", 5), error) == 5);
    CHECK(body == "some bytes more");
}

// Guards against a decoder that reads past a truncated escape, or that takes an escaped plus sign for a space.
TEST_CASE("a query value is decoded, and malformed escapes are kept")
{
    HttpRequest request { "GET", "/a?x=1%2B1+=%zz%4&y=%C3%a9&z" };
    CHECK(request.queryValue("x") == "1+1 =%zz%4");
    CHECK(request.queryValue("y") == "\xC3\xA9");
    CHECK(request.queryValue("z").empty());
    CHECK(request.queryValue("w").empty());
}

namespace {

/** Prevents that this process opens further file descriptors. */
class ExhaustedDescriptors {
public:
    ExhaustedDescriptors()
    {
        auto lowestFree = ::dup(0);
        ::close(lowestFree);
        ::getrlimit(RLIMIT_NOFILE, &m_previous);
        rlimit exhausted { static_cast<rlim_t>(lowestFree), m_previous.rlim_max };
        ::setrlimit(RLIMIT_NOFILE, &exhausted);
    }
    ExhaustedDescriptors(const ExhaustedDescriptors&) = delete;
    ExhaustedDescriptors& operator=(const ExhaustedDescriptors&) = delete;
    ~ExhaustedDescriptors() { ::setrlimit(RLIMIT_NOFILE, &m_previous); }

private:
    rlimit m_previous {};
};

} // namespace

// Guards against a listener that occupies a processor while no file descriptor is free, and against one that stops accepting.
TEST_CASE("while file descriptors are exhausted a listener waits, and afterwards it serves the queued connection")
{
    HttpFixture fixture(echo);
    asio::io_context clientContext;
    asio::ip::tcp::socket client(clientContext);
    client.connect({ asio::ip::make_address("127.0.0.1"), fixture.server.endpoint().port });
    asio::write(client, asio::buffer(std::string_view("GET / HTTP/1.1\r\nHost: h\r\n\r\n")));
    {
        ExhaustedDescriptors exhausted;
        CHECK(fixture.context.run_for(350ms) < 100);
    }
    CHECK(fixture.log.recent(EventId::AcceptFailed).size() == 1);
    CHECK(client.available() == 0);
    fixture.context.run_for(300ms);
    CHECK(client.available() > 0);
}

// Guards against a field that is not found, or set twice, because of the case of its name.
TEST_CASE("names of header fields are compared without regard to case")
{
    HttpHeaders headers { { "Content-Type", "a" }, { "X-Id", "1" } };
    CHECK(headers.value("content-TYPE") == "a");
    CHECK(headers.contains("x-id"));
    CHECK_FALSE(headers.contains("x-ids"));
    CHECK_FALSE(headers.contains("x_id"));
    headers.set("x-ID", "2");
    CHECK(headers.fields().size() == 2);
    CHECK(headers.value("X-Id") == "2");
    headers.append("x-id", "3");
    CHECK(headers.count("X-ID") == 2);
    CHECK(headers.value("X-Id") == "2");
    headers.set("X-Id", "4");
    CHECK(headers.count("X-ID") == 1);
    headers.remove("X-ID");
    CHECK(headers == HttpHeaders { { "Content-Type", "a" } });
}
