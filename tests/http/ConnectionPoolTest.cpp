#include "http/client/ConnectionPool.h"

#include "kernel/timers/AsioTimerService.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <deque>
#include <doctest/doctest.h>

using namespace chestnut;
using namespace std::chrono_literals;
using asio::ip::tcp;

namespace {

/** A server that responds to each request with the next bytes of a script, valid or not. */
class ScriptedServer {
public:
    explicit ScriptedServer(asio::io_context& context)
        : m_acceptor(context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
    {
        asio::co_spawn(context, acceptAll(), asio::detached);
    }

    Endpoint endpoint() const { return { "127.0.0.1", m_acceptor.local_endpoint().port() }; }

    struct Reply {
        std::string bytes;
        bool closes = false;
        std::string endless = {}; /**< sent again and again until the client closes the connection */
        Duration pause {}; /**< before each repetition */
        bool resets = false; /**< closes with a reset */
        std::string copy = {}; /**< of an earlier response on the connection; sent before the bytes unless the connection is new */
    };
    std::deque<Reply> replies;
    int connections = 0;
    size_t sentBytes = 0; /**< of endless replies */

private:
    asio::awaitable<void> acceptAll()
    {
        while (true) {
            auto socket = co_await m_acceptor.async_accept(asio::use_awaitable);
            ++connections;
            asio::co_spawn(m_acceptor.get_executor(), serve(std::move(socket)), asio::detached);
        }
    }

    asio::awaitable<void> serve(tcp::socket socket)
    {
        asio::streambuf buffer;
        boost::system::error_code error;
        for (auto isNew = true; !error; isNew = false) {
            auto size = co_await asio::async_read_until(socket, buffer, "\r\n\r\n", asio::redirect_error(asio::use_awaitable, error));
            if (error)
                co_return;
            buffer.consume(size);
            // Without a scripted reply the server does not respond.
            if (replies.empty())
                continue;
            auto reply = replies.front();
            replies.pop_front();
            if (!isNew)
                co_await asio::async_write(socket, asio::buffer(reply.copy), asio::redirect_error(asio::use_awaitable, error));
            co_await asio::async_write(socket, asio::buffer(reply.bytes), asio::redirect_error(asio::use_awaitable, error));
            while (!error && !reply.endless.empty()) {
                asio::steady_timer timer(socket.get_executor(), reply.pause);
                co_await timer.async_wait(asio::use_awaitable);
                co_await asio::async_write(socket, asio::buffer(reply.endless), asio::redirect_error(asio::use_awaitable, error));
                sentBytes += reply.endless.size();
            }
            if (reply.resets) {
                socket.set_option(tcp::socket::linger(true, 0));
                socket.close();
            }
            if (reply.closes)
                co_return;
        }
    }

    tcp::acceptor m_acceptor;
};

struct PoolFixture {
    ConnectionPoolSettings settings;
    asio::io_context context;
    AsioTimerService timers { context };
    ConnectionPool pool { context, timers, settings };
    ScriptedServer server { context };

    Result<std::string> call(ExchangeOptions options = {}, const std::string& method = "GET")
    {
        options.timeout = 1s;
        std::optional<Result<std::string>> result;
        auto exchange = [&]() -> asio::awaitable<void> {
            auto stream = co_await pool.open(server.endpoint(), { method, "/", {}, {} }, options);
            if (!stream)
                result = stream.error();
            else
                result = co_await readWholeBody(**stream, 1 << 20);
        };
        asio::co_spawn(context, exchange(), asio::detached);
        context.restart();
        while (!result && context.run_one_for(2s) > 0) { }
        // Lets late bytes of the server arrive before the next call.
        context.run_for(20ms);
        return *result;
    }
};

std::string response(const std::string& body, const std::string& headers = "")
{
    return "HTTP/1.1 200 OK\r\n" + headers + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace

// Guards against a new connection for each request.
TEST_CASE("a connection is reused for the next request")
{
    PoolFixture fixture;
    fixture.server.replies = { { response("one") }, { response("two") } };
    CHECK(fixture.call().value() == "one");
    CHECK(fixture.call().value() == "two");
    CHECK(fixture.server.connections == 1);
}

// Guards against unbounded memory of a connection for the ids that it has carried.
TEST_CASE("a connection carries no id twice, and a bounded number of them")
{
    ConnectionPoolSettings settings;
    settings.maximumRequestIds = 8;
    PoolFixture fixture { settings };
    auto call = [&fixture](const std::string& id) {
        fixture.server.replies = { { response("body") } };
        ExchangeOptions options;
        options.requestId = id;
        CHECK(fixture.call(std::move(options)).value() == "body");
        return fixture.server.connections;
    };
    CHECK(call("q0") == 1);
    CHECK(call("q1") == 1);
    CHECK(call("q0") == 2);
    CHECK(call("q2") == 2);
    // Both connections have carried two ids.
    for (size_t i = 0; i < 2 * (settings.maximumRequestIds - 2); ++i)
        CHECK(call("r" + std::to_string(i)) == 2);
    CHECK(call("s") == 3);
    CHECK(call("") == 3);
}

// Guards against surplus bytes of one response that are taken for the response to the next request.
TEST_CASE("surplus bytes after a response do not reach another request")
{
    PoolFixture fixture;
    fixture.server.replies = { { response("one") + response("surplus") }, { response("two") } };
    CHECK(fixture.call().value() == "one");
    CHECK(fixture.call().value() == "two");
    CHECK(fixture.server.connections == 2);
}

// Guards against a request that fails because its idle connection was already closed.
TEST_CASE("a connection that the server has closed is not reused")
{
    PoolFixture fixture;
    fixture.server.replies = { { response("one"), true }, { response("two") } };
    CHECK(fixture.call().value() == "one");
    CHECK(fixture.call().value() == "two");
    CHECK(fixture.server.connections == 2);
}

// Guards against a caller that gets the response to another request.
TEST_CASE("a late response to an earlier request is discarded, and the matching one after it is returned")
{
    PoolFixture fixture;
    fixture.server.replies = { { response("late", "Id: q0\r\n") + response("mine", "Id: q1\r\n") } };
    ExchangeOptions options;
    options.matchesRequest = [](const HttpHeaders& headers) { return headers.value("Id") == "q1"; };
    CHECK(fixture.call(options).value() == "mine");
}

namespace {

ExchangeOptions optionsOf(const std::string& id)
{
    ExchangeOptions options;
    options.requestId = id;
    options.matchesRequest = [id](const HttpHeaders& headers) { return headers.value("Id") == id; };
    return options;
}

} // namespace

// Guards against a copy whose end is found by the method of the request in progress instead of that of its own request.
TEST_CASE("copies of responses to GET and HEAD do not disturb later responses to the other method")
{
    auto ofHead = [](const std::string& id) { return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: 9\r\n\r\n"; };
    auto ofGet = [](const std::string& id) { return response("body", "Id: " + id + "\r\n"); };
    PoolFixture get;
    get.server.replies = { { ofHead("q0") }, { ofGet("q1") } };
    get.server.replies.back().copy = ofHead("q0");
    CHECK(get.call(optionsOf("q0"), "HEAD").value().empty());
    auto body = get.call(optionsOf("q1"));
    CHECK_MESSAGE(body.has_value(), (body ? "" : body.error().detail));

    PoolFixture head;
    head.server.replies = { { ofGet("q0") }, { ofHead("q1") } };
    head.server.replies.back().copy = ofGet("q0");
    CHECK(head.call(optionsOf("q0")).value() == "body");
    auto empty = head.call(optionsOf("q1"), "HEAD");
    CHECK_MESSAGE(empty.has_value(), (empty ? "" : empty.error().detail));
}

// Guards against reporting a request as not executed although the server received it.
TEST_CASE("an invalid or truncated response is an error of a request that may have been executed")
{
    std::string ok = "HTTP/1.1 200 OK\r\n";
    auto chunked = ok + "Transfer-Encoding: chunked\r\n\r\n";
    std::vector<std::string> invalid { "garbage garbage\r\n\r\n", ok + "Content-Length: ten\r\n\r\nshort" };
    std::vector<std::string> truncated { "HTTP/1.1 20", "HTTP/1.1 200 OK", ok, ok + "Content-Type: text/", ok + "X-Field: 1\r\n", ok + "X-Field: 1\r\n\r",
        ok + "Content-Length: 10\r\n\r\n", ok + "Content-Length: 10\r\n\r\nshort", chunked, chunked + "5", chunked + "5\r\nsho", chunked + "5\r\nshort\r\n", chunked + "5\r\nshort\r\n0\r\n" };
    auto check = [](const std::string& bytes, ErrorKind kind) {
        PoolFixture fixture;
        fixture.server.replies = { { bytes, true } };
        auto result = fixture.call();
        REQUIRE_MESSAGE(!result.has_value(), bytes);
        CHECK(result.error().kind == kind);
        CHECK(describe(kind).outcome != Outcome::NotRun);
    };
    for (const auto& bytes : invalid)
        check(bytes, ErrorKind::ProtocolError);
    for (const auto& bytes : truncated)
        check(bytes, ErrorKind::BackendFailed);
}

// Guards against a body that looks complete although its connection was reset.
TEST_CASE("a response without a length whose connection is reset is an error")
{
    for (const std::string& body : { std::string(), std::string("part") }) {
        PoolFixture fixture;
        fixture.server.replies = { { "HTTP/1.1 200 OK\r\n\r\n" + body, true } };
        fixture.server.replies.front().resets = true;
        CHECK(fixture.call().error().kind == ErrorKind::BackendFailed);
    }
}

// Guards against a body without Content-Length that is lost or reported as truncated.
TEST_CASE("a response without a length ends with its connection")
{
    PoolFixture fixture;
    fixture.server.replies = { { "HTTP/1.1 200 OK\r\n\r\nwhole", true } };
    CHECK(fixture.call().value() == "whole");
}

// Guards against an aborted exchange that waits for its timeout, and against a request that is sent after the abort.
TEST_CASE("an aborted exchange ends immediately, and nothing is sent with an aborted handle")
{
    PoolFixture fixture;
    ExchangeOptions options;
    options.abort = std::make_shared<AbortHandle>();
    auto timer = fixture.timers.once(30ms, [&] { options.abort->abort(); });
    auto startedAt = fixture.timers.now();
    auto result = fixture.call(options);
    CHECK(result.error().kind == ErrorKind::BackendFailed);
    CHECK(fixture.timers.now() - startedAt < 500ms);
    CHECK(fixture.call(options).error().kind == ErrorKind::ConnectFailed);
    CHECK(fixture.server.connections == 1);
}

// Guards against reporting a refused connection as a request that may have been executed.
TEST_CASE("a request to a closed port is reported as not sent")
{
    PoolFixture fixture;
    auto unused = fixture.server.endpoint();
    std::optional<ErrorKind> kind;
    auto exchange = [&]() -> asio::awaitable<void> {
        auto stream = co_await fixture.pool.open({ unused.address, 1 }, { "GET", "/", {}, {} }, {});
        kind = stream.error().kind;
    };
    asio::co_spawn(fixture.context, exchange(), asio::detached);
    while (!kind && fixture.context.run_one_for(2s) > 0) { }
    CHECK(kind == ErrorKind::ConnectFailed);
}

// Guards against waiting for a body that is never sent: Content-Length in the response to HEAD is that of GET.
TEST_CASE("the response to HEAD ends with its header, and its connection is reused")
{
    PoolFixture fixture;
    fixture.server.replies = { { "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n" }, { response("two") } };
    CHECK(fixture.call({}, "HEAD").value().empty());
    CHECK(fixture.call().value() == "two");
    CHECK(fixture.server.connections == 1);
}

// Guards against a faulty server that sends bytes without end, which would occupy memory and the caller until its deadline.
TEST_CASE("bytes without end in a response are bounded, and the connection is closed")
{
    std::string kilobyte(1024, 'x');
    std::string ok = "HTTP/1.1 200 OK\r\n";
    auto chunked = ok + "Transfer-Encoding: chunked\r\n\r\n";
    std::vector<ScriptedServer::Reply> replies {
        { "", false, kilobyte },
        { ok + "X: ", false, kilobyte },
        { ok, false, "X-Field: " + kilobyte + "\r\n" },
        { "", false, "HTTP/1.1 100 Continue\r\n\r\n" },
        { chunked + "1;", false, kilobyte },
        { chunked + "0\r\n", false, "X-Field: " + kilobyte + "\r\n" },
        { chunked, false, "400\r\n" + kilobyte + "\r\n" },
        { ok + "\r\n", false, kilobyte },
    };
    for (const auto& reply : replies) {
        PoolFixture fixture;
        fixture.server.replies = { reply };
        auto startedAt = fixture.timers.now();
        CHECK_FALSE(fixture.call().has_value());
        CHECK(fixture.timers.now() - startedAt < 1500ms);
        fixture.context.run_for(50ms);
        auto sent = fixture.server.sentBytes;
        fixture.context.run_for(50ms);
        CHECK(fixture.server.sentBytes == sent);
        // What was read beyond the limits of 16 KB, 64 KB and 1 MB was in the buffers of the sockets.
        CHECK(sent < 32 << 20);
    }
}

// Guards against a wrong Content-Length that ends the process before a byte of the body has come, and against a caller that waits for
// bytes that cannot come.
TEST_CASE("a response that announces more bytes than are accepted is an error at once")
{
    for (const std::string& length : { std::string("800800800800800"), std::string("18446744073709551615"), std::string("1048577") }) {
        PoolFixture fixture;
        fixture.server.replies = { { "HTTP/1.1 200 OK\r\nContent-Length: " + length + "\r\n\r\nsome bytes" } };
        auto startedAt = fixture.timers.now();
        auto result = fixture.call();
        REQUIRE_FALSE(result.has_value());
        CHECK(result.error().kind == ErrorKind::ProtocolError);
        CHECK(fixture.timers.now() - startedAt < 500ms);
    }
}

// Guards against a late response to an earlier request whose wrong length ends the process.
TEST_CASE("a response to another request that announces too many bytes ends the exchange at once")
{
    PoolFixture fixture;
    fixture.server.replies = { { "HTTP/1.1 200 OK\r\nId: q0\r\nContent-Length: 800800800800800\r\n\r\nsome bytes" } };
    auto startedAt = fixture.timers.now();
    CHECK(fixture.call(optionsOf("q1")).error().kind == ErrorKind::BackendFailed);
    CHECK(fixture.timers.now() - startedAt < 500ms);
}

// Guards against a size of a chunk that reserves memory.
TEST_CASE("a chunk that announces too many bytes is read as far as it comes")
{
    PoolFixture fixture;
    fixture.server.replies = { { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nfffffffffffffff\r\nsome bytes", true } };
    CHECK(fixture.call().error().kind == ErrorKind::BackendFailed);
}

// Guards against an interim response that is taken for the response itself.
TEST_CASE("an interim response is skipped")
{
    PoolFixture fixture;
    fixture.server.replies = { { "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + response("final") } };
    CHECK(fixture.call().value() == "final");
}

TEST_CASE("a late response without end to an earlier request ends the exchange before its deadline")
{
    PoolFixture fixture;
    fixture.server.replies = { { "HTTP/1.1 200 OK\r\nId: q0\r\n\r\n", false, std::string(64 << 10, 'x') } };
    ExchangeOptions options;
    options.matchesRequest = [](const HttpHeaders& headers) { return headers.value("Id") == "q1"; };
    auto startedAt = fixture.timers.now();
    CHECK(fixture.call(options).error().kind == ErrorKind::BackendFailed);
    CHECK(fixture.timers.now() - startedAt < 500ms);
}

TEST_CASE("a body that arrives byte by byte is ended at its timeout")
{
    PoolFixture fixture;
    fixture.server.replies = { { "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n", false, "x", 10ms } };
    ExchangeOptions options;
    options.bodyTimeout = 200ms;
    auto startedAt = fixture.timers.now();
    CHECK_FALSE(fixture.call(options).has_value());
    CHECK(fixture.timers.now() - startedAt < 600ms);
}

namespace {

/** Heads of responses that RFC 9110 and RFC 9112 do not allow. Each is complete but for the blank line. */
std::vector<std::string> malformedHeads()
{
    std::string ok = "HTTP/1.1 200 OK\r\n";
    auto length = std::string("Content-Length: 4\r\n");
    std::vector<std::string> heads;
    for (const auto* status : { "000", "001", "099", "600", "999", "-20", "20", "2000", "2 0", "0x2" })
        heads.push_back(std::string("HTTP/1.1 ") + status + " OK\r\n" + length);
    for (const auto* version : { "HTTP/0.9", "HTTP/1.2", "HTTP/2.0", "HTTP/1", "http/1.1", "HTTP/11", "ICY" })
        heads.push_back(std::string(version) + " 200 OK\r\n" + length);
    for (const auto* line : { "X Field: 1", "X-Field : 1", "X\tField: 1", "X-\x01: 1", "X\x7F: 1", ": 1", "no colon", "X-Field: a\x02", "X-Field: a\rb", "X-Field: a\nb", "X(Field): 1", "X\xC3\xA9: 1" })
        heads.push_back(ok + length + line + "\r\n");
    heads.push_back(ok + length + std::string("X-Field: a") + '\0' + "\r\n");
    heads.push_back(ok + "Content-Length: 4\r\nContent-Length: 5\r\n");
    heads.push_back(ok + "Content-Length: 4, 5\r\n");
    heads.push_back(ok + "Content-Length: +4\r\n");
    heads.push_back(ok + "Content-Length: -4\r\n");
    heads.push_back(ok + "Content-Length: 4 4\r\n");
    heads.push_back(ok + "Content-Length:\r\n");
    heads.push_back(ok + length + "Transfer-Encoding: chunked\r\n");
    heads.push_back(ok + "Transfer-Encoding: chunked\r\n" + length);
    for (const auto* coding : { "gzip", "identity", "gzip, chunked", "chunked, gzip", "chunked, chunked", "", "chunked;q=1" })
        heads.push_back(ok + "Transfer-Encoding: " + coding + "\r\n");
    heads.push_back(ok + "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n");
    heads.push_back(std::string("HTTP/1.0 200 OK\r\n") + "Transfer-Encoding: chunked\r\n");
    heads.push_back("HTTP/1.1 204 No Content\r\n" + length);
    heads.push_back("HTTP/1.1 204 No Content\r\nTransfer-Encoding: chunked\r\n");
    heads.push_back("HTTP/1.1 101 Switching Protocols\r\n");
    heads.push_back("HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n");
    heads.push_back("HTTP/1.1 103 Early Hints\r\n" + length);
    heads.push_back("HTTP/1.1 100 Continue\r\nTransfer-Encoding: chunked\r\n");
    return heads;
}

/** Printable characters of a text, for messages of checks. */
std::string printable(std::string text)
{
    std::ranges::replace_if(
        text, [](unsigned char character) { return character < ' ' || character > '~'; }, '.');
    return text;
}

} // namespace

// Guards against a client that gets a response with a status, a field or a framing that HTTP does not have.
TEST_CASE("a response whose head does not follow HTTP is an error, and its connection is closed")
{
    std::string body = "4\r\nbody\r\n0\r\n\r\n";
    for (const auto& head : malformedHeads()) {
        for (auto isLaterResponse : { false, true }) {
            PoolFixture fixture;
            // A well-formed response follows, which must not be taken for the one to this request.
            std::string bytes = isLaterResponse ? "HTTP/1.1 103 Early Hints\r\n\r\n" : "";
            bytes.append(head).append("\r\n").append(body).append(response("next"));
            fixture.server.replies = { { bytes, true } };
            fixture.server.replies.push_back({ response("later") });
            auto result = fixture.call();
            CHECK_MESSAGE(!result.has_value(), printable(head));
            if (!result)
                CHECK_MESSAGE(result.error().kind == ErrorKind::ProtocolError, printable(head + result.error().detail));
            CHECK(fixture.call().value() == "later");
            CHECK(fixture.server.connections == 2);
        }
    }
}

// Guards against interim responses that are skipped although the well-formed bytes after them belong to another protocol or to a body.
TEST_CASE("a response after a switch of protocols, or after an interim response with a body, is not read")
{
    for (const std::string& head : { std::string("101 Switching Protocols\r\n"), std::string("103 Early Hints\r\nContent-Length: 4\r\n"), std::string("100 Continue\r\nTransfer-Encoding: chunked\r\n") }) {
        PoolFixture fixture;
        std::string bytes = "HTTP/1.1 ";
        bytes.append(head).append("\r\n").append(response("next"));
        fixture.server.replies = { { bytes } };
        CHECK_FALSE(fixture.call().has_value());
    }
}

// Guards against strictness that rejects what servers may send.
TEST_CASE("a response with unusual but valid parts is accepted")
{
    for (const std::string& head : { std::string("HTTP/1.1 200 \r\nContent-Length: 4\r\n"), std::string("HTTP/1.0 200 OK\r\nContent-Length: 4\r\n"), std::string("HTTP/1.1 599 Own\r\nContent-Length: 4\r\n"),
             std::string("HTTP/1.1 200 OK\r\nX-Empty:\r\nX!#$%&'*+-.^_`|~: a\xE9 \t b\r\nContent-Length:  4 \r\n"), std::string("HTTP/1.1 200 OK\r\nContent-Length: 4, 4\r\n"),
             std::string("HTTP/1.1 200 OK\r\nX-Folded: a\r\n b\r\nContent-Length: 4\r\n") }) {
        PoolFixture fixture;
        fixture.server.replies = { { head + "\r\nbody" } };
        auto result = fixture.call();
        CHECK_MESSAGE(result.has_value(), printable(head + (result ? "" : result.error().detail)));
    }
    PoolFixture chunked;
    chunked.server.replies = { { "HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\nTrailer: X-Sum\r\n\r\n4;a=b\r\nbody\r\n0\r\nX-Sum: 7\r\n\r\n" } };
    CHECK(chunked.call().value() == "body");
    PoolFixture empty;
    empty.server.replies = { { "HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n" } };
    CHECK(empty.call().value().empty());
    PoolFixture head;
    head.server.replies = { { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" } };
    CHECK(head.call({}, "HEAD").value().empty());
}

// Guards against a body that is passed on although what follows it is no HTTP.
TEST_CASE("a chunked body with malformed chunks or trailers is an error")
{
    std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (const std::string& body : { std::string("4\r\nbodyX\r\n0\r\n\r\n"), std::string("-4\r\nbody\r\n0\r\n\r\n"), std::string("4 \r\nbody\r\n0\r\n\r\n"), std::string("0x4\r\nbody\r\n0\r\n\r\n"),
             std::string("4\nbody\r\n0\r\n\r\n"), std::string("4\r\nbody\n0\r\n\r\n"), std::string("10000000000000004\r\nbody\r\n0\r\n\r\n"), std::string("4\r\nbody\r\n0\r\nX Field: 1\r\n\r\n"),
             std::string("4\r\nbody\r\n0\r\nX-Field: a\x01\r\n\r\n"), std::string("4\r\nbody\r\n0\r\nno colon\r\n\r\n"), std::string("4\r\nbody\r\n0\r\nContent-Length: 9\r\n\r\n") }) {
        PoolFixture fixture;
        fixture.server.replies = { { head + body, true } };
        CHECK_MESSAGE(!fixture.call().has_value(), printable(body));
    }
}

namespace {

/** A server that answers a request as soon as its header has arrived, and resets the connection before it has read the body. */
class HastyServer {
public:
    HastyServer(asio::io_context& context, std::string response, Duration pause)
        : m_acceptor(context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
    {
        asio::co_spawn(context, serve(std::move(response), pause), asio::detached);
    }

    Endpoint endpoint() const { return { "127.0.0.1", m_acceptor.local_endpoint().port() }; }

private:
    asio::awaitable<void> serve(std::string response, Duration pause)
    {
        auto socket = co_await m_acceptor.async_accept(asio::use_awaitable);
        asio::streambuf header;
        co_await asio::async_read_until(socket, header, "\r\n\r\n", asio::use_awaitable);
        co_await asio::async_write(socket, asio::buffer(response), asio::use_awaitable);
        asio::steady_timer timer(socket.get_executor(), pause);
        co_await timer.async_wait(asio::use_awaitable);
        socket.set_option(tcp::socket::linger(true, 0));
        socket.close();
    }

    tcp::acceptor m_acceptor;
};

} // namespace

// Guards against a part of a response that looks complete because the failed write has taken the error of the connection.
TEST_CASE("a response without a length to an upload that is reset on the way is an error")
{
    for (size_t upload : { size_t { 10 }, size_t { 60'000 }, size_t { 3'000'000 } }) {
        for (auto pause : { 0ms, 20ms, 60ms }) {
            PoolFixture fixture;
            HastyServer hasty(fixture.context, "HTTP/1.1 200 OK\r\n\r\n" + std::string(400, 'x'), pause);
            std::optional<Result<std::string>> result;
            auto exchange = [&]() -> asio::awaitable<void> {
                ExchangeOptions options;
                options.timeout = 1s;
                auto stream = co_await fixture.pool.open(hasty.endpoint(), { "POST", "/", {}, std::string(upload, 'u') }, options);
                if (!stream)
                    result = stream.error();
                else
                    result = co_await readWholeBody(**stream, 1 << 20);
            };
            asio::co_spawn(fixture.context, exchange(), asio::detached);
            while (!result && fixture.context.run_one_for(2s) > 0) { }
            REQUIRE(result.has_value());
            CHECK_FALSE(result->has_value());
            // The request may have run.
            CHECK(describe(result->error().kind).outcome != Outcome::NotRun);
        }
    }
}
