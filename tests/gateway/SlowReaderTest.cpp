#include "gateway/requests/BodyRelay.h"
#include "http/http.h"
#include "kernel/timers/AsioTimerService.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>
#include <fstream>
#include <list>
#include <sys/resource.h>
#include <unistd.h>

using namespace chestnut;
using namespace std::chrono_literals;
using asio::ip::tcp;

namespace {

HttpResponse responseTo(const Error& error)
{
    return { describe(error.kind).status, {}, error.detail };
}

size_t residentBytes()
{
    std::ifstream file("/proc/self/statm");
    size_t total = 0;
    size_t resident = 0;
    file >> total >> resident;
    return resident * static_cast<size_t>(getpagesize());
}

/** Each client needs a socket, the relay two and the replica one. */
void allowManyDescriptors()
{
    rlimit limit {};
    getrlimit(RLIMIT_NOFILE, &limit);
    limit.rlim_cur = limit.rlim_max;
    setrlimit(RLIMIT_NOFILE, &limit);
}

/** A listener that relays the response of a replica, whose clients do not read. */
struct RelayedReaders {
    static constexpr size_t responseBytes = 1 << 20;
    static constexpr size_t chunkBytes = 16 << 10;

    RelayedReaders()
    {
        replica.start();
        relay.start();
    }

    static asio::awaitable<void> respond(HttpRequest request, HttpResponseWriter& writer)
    {
        auto size = request.path() == "/short" ? chunkBytes : responseBytes;
        auto result = co_await writer.begin(200, {});
        for (size_t sent = 0; result && sent < size; sent += chunkBytes)
            result = co_await writer.write(std::string(chunkBytes, 'x'));
        if (result)
            (void)co_await writer.finish();
    }

    asio::awaitable<void> relayRequest(HttpRequest request, HttpResponseWriter& writer)
    {
        auto body = co_await pool.open(replica.endpoint(), std::move(request), {});
        if (!body)
            co_return;
        auto start = co_await readBodyStart(**body, budget);
        if (start)
            (void)co_await relayBody(writer, 200, {}, std::move(*start), body->get());
    }

    HttpServerLimits limits() const
    {
        HttpServerLimits result;
        result.responseBuffers = budget;
        result.writeTimeout = 20s;
        return result;
    }

    void connectReader()
    {
        auto& socket = readers.emplace_back(context);
        socket.open(tcp::v4());
        socket.set_option(tcp::socket::receive_buffer_size(4 << 10));
        auto endpoint = relay.endpoint();
        socket.connect({ asio::ip::make_address(endpoint.address), endpoint.port });
        asio::write(socket, asio::buffer(std::string("GET /long HTTP/1.1\r\nHost: h\r\n\r\n")));
    }

    std::shared_ptr<ByteBudget> budget = std::make_shared<ByteBudget>((size_t { 160 } << 20) / 8);
    asio::io_context context;
    MemoryLog log;
    AsioTimerService timers { context };
    ConnectionPool pool { context, timers, {} };
    HttpServer replica { context, log, { "127.0.0.1", 0 }, {}, respond, responseTo };
    HttpServer relay { context, log, { "127.0.0.1", 0 }, limits(), [this](HttpRequest request, HttpResponseWriter& writer) { return relayRequest(std::move(request), writer); }, responseTo };
    std::list<tcp::socket> readers;
};

} // namespace

// Guards against a VM of 160 MB without memory left, as a thousand clients read nothing of responses of 1 MB.
TEST_CASE("a thousand slow readers are relayed within the memory of a small VM")
{
    constexpr size_t readerCount = 1000;
    constexpr size_t allowedBytes = size_t { 160 } << 20;
    allowManyDescriptors();
    RelayedReaders fixture;
    auto before = residentBytes();
    for (size_t i = 0; i < readerCount; ++i) {
        fixture.connectReader();
        fixture.context.poll();
    }
    fixture.context.run_for(3s);
    CHECK(fixture.relay.openConnections() == readerCount);
    CHECK(fixture.budget->used() <= fixture.budget->limit());
    CHECK(fixture.budget->used() > 0);
    auto used = residentBytes() - before;
    INFO("resident bytes: ", used);
    CHECK(used < allowedBytes);
    MESSAGE("a thousand slow readers take ", used >> 20, " MB, of which ", fixture.budget->used() >> 20, " MB are responses");
    HttpClient client(fixture.context, fixture.timers);
    std::optional<Result<HttpResponse>> response;
    asio::co_spawn(fixture.context, client.exchange(fixture.relay.endpoint(), { "GET", "/short", {}, {} }, {}), [&](const std::exception_ptr&, Result<HttpResponse> result) { response = std::move(result); });
    fixture.context.run_for(1s);
    REQUIRE(response.has_value());
    REQUIRE(response->has_value());
    CHECK((*response)->body.size() == RelayedReaders::chunkBytes);
}
