#include "support/HttpFixture.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>
#include <list>

using namespace chestnut;
using namespace chestnut::test;
using namespace std::chrono_literals;
using asio::ip::tcp;

namespace {

constexpr size_t chunkBytes = 4 << 10;
/** What the kernel may hold of a response whose client does not read: the receive buffer of the client, and unsent bytes. */
constexpr size_t kernelBytes = 160 << 10;
constexpr size_t bufferedBytes = 256 << 10;

asio::awaitable<void> readToEnd(tcp::socket& socket, std::string& bytes)
{
    std::string part(64 << 10, ' ');
    while (!bytes.ends_with("\r\n0\r\n\r\n")) {
        auto size = co_await socket.async_read_some(asio::buffer(part), asio::use_awaitable);
        bytes.append(part, 0, size);
    }
}

/** Streams chunks to clients that may not read, and counts what has been taken from the handler. */
struct SlowReaders {
    explicit SlowReaders(size_t budgetBytes, size_t responseBytes)
        : budget(budgetBytes > 0 ? std::make_shared<ByteBudget>(budgetBytes) : nullptr)
        , fixture([this, responseBytes](HttpRequest request, HttpResponseWriter& writer) { return handle(std::move(request), writer, responseBytes); }, limits())
    {
    }

    HttpServerLimits limits() const
    {
        HttpServerLimits result;
        result.responseBuffers = budget;
        result.writeTimeout = 1s;
        return result;
    }

    asio::awaitable<void> handle(HttpRequest request, HttpResponseWriter& writer, size_t responseBytes)
    {
        if (request.path() == "/short") {
            (void)co_await writer.send({ 200, {}, "done" });
            co_return;
        }
        auto result = co_await writer.begin(200, {});
        for (size_t sent = 0; result && sent < responseBytes; sent += chunkBytes) {
            result = co_await writer.write(std::string(chunkBytes, static_cast<char>('a' + sent / chunkBytes % 26)));
            if (result)
                taken += chunkBytes;
        }
        ++handled;
        if (result)
            result = co_await writer.finish();
        ++(result ? completed : failed);
    }

    /** Opens a connection with a small receive buffer and requests a long response. */
    tcp::socket& connect()
    {
        auto& socket = clients.emplace_back(fixture.context);
        socket.open(tcp::v4());
        socket.set_option(tcp::socket::receive_buffer_size(4 << 10));
        auto endpoint = fixture.server.endpoint();
        socket.connect({ asio::ip::make_address(endpoint.address), endpoint.port });
        asio::write(socket, asio::buffer(std::string("GET /long HTTP/1.1\r\nHost: h\r\n\r\n")));
        return socket;
    }

    void runFor(Duration time) { fixture.context.run_for(time); }

    std::shared_ptr<ByteBudget> budget;
    size_t taken = 0;
    int handled = 0;
    int completed = 0;
    int failed = 0;
    HttpFixture fixture;
    std::list<tcp::socket> clients;
};

} // namespace

// Guards against a replica that aborts a response because a slow client has not taken it for some seconds.
TEST_CASE("a response is taken from its handler before a slow client has read it, and arrives complete")
{
    constexpr size_t responseBytes = 200 << 10;
    SlowReaders readers(1 << 20, responseBytes);
    auto& client = readers.connect();
    readers.runFor(300ms);
    CHECK(readers.taken == responseBytes);
    CHECK(readers.completed == 0);
    std::string received;
    asio::co_spawn(readers.fixture.context, readToEnd(client, received), asio::detached);
    readers.runFor(900ms);
    CHECK(readers.completed == 1);
    CHECK(std::ranges::count(received, 'z') >= static_cast<std::ptrdiff_t>(chunkBytes));
    CHECK(received.size() > responseBytes);
    CHECK(readers.budget->used() == 0);
}

// Guards against memory that grows with what a replica sends to a client that does not read, and against connections without end.
TEST_CASE("a client that does not read holds a bounded part of its response and is disconnected")
{
    SlowReaders readers(64 << 20, 8 << 20);
    readers.connect();
    readers.runFor(500ms);
    CHECK(readers.taken >= bufferedBytes / 2);
    CHECK(readers.taken <= bufferedBytes + kernelBytes);
    CHECK(readers.budget->used() <= bufferedBytes);
    CHECK(readers.failed == 0);
    readers.runFor(1s);
    CHECK(readers.failed == 1);
    CHECK(readers.budget->used() == 0);
    CHECK(readers.fixture.server.openConnections() == 0);
}

// Guards against a daemon without memory left, as many clients read slowly at once.
TEST_CASE("many clients that do not read share one bound, and other requests are served meanwhile")
{
    constexpr size_t readersAtOnce = 60;
    constexpr size_t budgetBytes = 1 << 20;
    SlowReaders readers(budgetBytes, 8 << 20);
    for (size_t i = 0; i < readersAtOnce; ++i)
        readers.connect();
    readers.runFor(500ms);
    CHECK(readers.budget->used() <= budgetBytes);
    CHECK(readers.taken <= budgetBytes + readersAtOnce * kernelBytes);
    auto startedAt = std::chrono::steady_clock::now();
    auto response = readers.fixture.run(readers.fixture.client.exchange(readers.fixture.server.endpoint(), { "GET", "/short", {}, {} }, {}));
    CHECK(response.has_value());
    CHECK(std::chrono::steady_clock::now() - startedAt < 300ms);
    readers.runFor(1500ms);
    CHECK(readers.failed == static_cast<int>(readersAtOnce));
    CHECK(readers.budget->used() == 0);
}

// Guards against an unbounded wait where no memory is configured.
TEST_CASE("without a budget each chunk waits for the client, which is disconnected when it does not read")
{
    SlowReaders readers(0, 8 << 20);
    readers.connect();
    readers.runFor(500ms);
    CHECK(readers.handled == 0);
    readers.runFor(1s);
    CHECK(readers.failed == 1);
}
