#include "gateway/AccountsFixture.h"
#include "support/HttpFixture.h"

#include <doctest/doctest.h>

using namespace chestnut;
using namespace std::chrono_literals;

namespace {

/** A daemon's port for other daemons, and a client on real sockets. */
struct PeerPort {
    explicit PeerPort(HttpHandler handler = {})
        : http(handler ? std::move(handler) : [this](HttpRequest request, HttpResponseWriter& writer) { return api.handle(std::move(request), writer); })
    {
    }

    Result<std::optional<std::string>> fetch(uint64_t above) { return http.run(client.fetch(http.server.endpoint(), above)); }

    asio::io_context storeContext;
    VirtualTimerService virtualTimers { storeContext };
    FakeVersionedStore store { virtualTimers };
    MemoryLog log;
    RoutingSource routing { storeContext, store, virtualTimers, log, "config", decodeAccountsConfiguration, [](const RoutingConfiguration&) {} };
    ConfigurationApi api { routing };
    test::HttpFixture http;
    ConnectionPool pool { http.context, http.timers, {} };
    HttpConfigurationClient client { pool };
};

/** A configuration with so many accounts that it fills many packets. */
std::string largeConfiguration()
{
    std::string value = "7 accounts";
    for (int i = 0; i < 27'000; ++i)
        value += " account-" + std::to_string(i) + "=key-0123456789abcdef-" + std::to_string(i);
    return value;
}

} // namespace

// Guards against bytes that differ from those of the store, and against transfers that bring nothing new.
TEST_CASE("a daemon fetches the bytes of a higher version from the port of another one")
{
    PeerPort port;
    CHECK(port.fetch(0).value() == std::nullopt);
    auto value = largeConfiguration();
    REQUIRE(port.routing.applyFromPeer(value, DaemonId("d1")).has_value());
    CHECK(port.fetch(6).value() == value);
    CHECK(port.fetch(7).value() == std::nullopt);
    CHECK(port.fetch(8).value() == std::nullopt);
}

// Guards against memory that a faulty peer fills, and against responses that are taken for a configuration.
TEST_CASE("a fetch fails at a refusal, an unknown status, and a response without end")
{
    HttpResponse response;
    PeerPort port([&](HttpRequest, HttpResponseWriter& writer) -> asio::awaitable<void> { (void)co_await writer.send(response); });
    response.status = 503;
    CHECK(port.fetch(1).error().kind == ErrorKind::Overloaded);
    response.status = 404;
    CHECK(port.fetch(1).error().kind == ErrorKind::ProtocolError);
    response = { 200, {}, std::string((16 << 20) + 1, 'x') };
    CHECK_FALSE(port.fetch(1).has_value());
}

TEST_CASE("a fetch from a daemon that does not run fails")
{
    PeerPort port;
    auto closed = port.http.server.endpoint();
    closed.address = "127.0.9.77";
    CHECK_FALSE(port.http.run(port.client.fetch(closed, 0)).has_value());
}
