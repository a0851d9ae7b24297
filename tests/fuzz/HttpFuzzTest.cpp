#include "http/http.h"
#include "Mutation.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

using namespace chestnut;
using namespace chestnut::fuzz;

namespace {

constexpr size_t maximumHeader = 1024;
constexpr size_t maximumBody = 2048;
/** Rounds of the server's loop for one connection, each of at most 1 ms. */
constexpr int maximumRounds = 3000;
const std::string validRequest = "POST /v1/completions?a=b HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\nX-Account: a\r\n\r\nbody"
                                 "GET /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n";

/** A server on a loopback port and raw connections to it, all in one thread. */
struct RawServer {
    RawServer()
        : server(
            context, log, { "127.0.0.1", 0 }, { maximumHeader, maximumBody },
            [this](HttpRequest request, HttpResponseWriter& writer) -> asio::awaitable<void> {
                largestBody = std::max(largestBody, request.body.size());
                co_await writer.send({ 200, {}, "answered" });
            },
            [](const Error& error) { return HttpResponse { describe(error.kind).status, {}, std::string(describe(error.kind).name) }; })
    {
        server.start();
    }

    /** Returns what the server sends before it closes the connection; nullopt when it does not close it. */
    std::optional<std::string> responseTo(const std::string& bytes)
    {
        asio::ip::tcp::socket socket(client);
        socket.connect({ asio::ip::make_address("127.0.0.1"), server.endpoint().port });
        socket.non_blocking(true);
        boost::system::error_code error;
        size_t sent = 0;
        std::string response;
        for (int round = 0; round < maximumRounds; ++round) {
            if (sent < bytes.size())
                sent += socket.write_some(asio::buffer(bytes.data() + sent, bytes.size() - sent), error);
            if (sent == bytes.size() || (error && error != asio::error::would_block)) {
                socket.shutdown(asio::ip::tcp::socket::shutdown_send, error);
                sent = bytes.size();
            }
            context.run_one_for(std::chrono::milliseconds(1));
            std::array<char, 4096> buffer {};
            auto count = socket.read_some(asio::buffer(buffer), error);
            response.append(buffer.data(), count);
            if (error && error != asio::error::would_block)
                return response;
        }
        return std::nullopt;
    }

    size_t largestBody = 0;
    asio::io_context context;
    asio::io_context client;
    MemoryLog log;
    HttpServer server;
};

} // namespace

// Guards against requests that crash the listener, keep a connection open, exceed its limits, or stop it from serving others.
TEST_CASE("hostile HTTP requests are answered or refused, and the listener keeps serving")
{
    RawServer server;
    CHECK(checkWithSeed("HTTP requests", 307, 400, [&] {
        auto bytes = hostileText(validRequest, false);
        if (*rc::gen::inRange(0, 10) == 0)
            bytes.insert(bytes.size() / 2, std::string(maximumHeader + maximumBody, 'x'));
        auto response = server.responseTo(bytes);
        RC_ASSERT(response.has_value());
        RC_ASSERT(response->empty() || response->starts_with("HTTP/1."));
        RC_ASSERT(server.largestBody <= maximumBody);
    }));
    for (int i = 0; i < 100 && server.server.openConnections() > 0; ++i)
        server.context.run_one_for(std::chrono::milliseconds(1));
    CHECK(server.server.openConnections() == 0);
    auto response = server.responseTo(validRequest);
    REQUIRE(response.has_value());
    CHECK(response->starts_with("HTTP/1.1 200"));
}
