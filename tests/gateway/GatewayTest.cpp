#include "gateway/GatewayFixture.h"

#include <algorithm>
#include <array>
#include <doctest/doctest.h>

using namespace chestnut;
using namespace std::chrono_literals;

namespace {

/** Decodes `kind timeout_ms` as a configuration with one route to the service "s". Each one is newer than those decoded before. */
Result<RoutingConfiguration> decodeTestConfiguration(std::string_view value)
{
    auto space = value.find(' ');
    RoutingConfiguration configuration;
    static uint64_t version = 0;
    configuration.version = ++version;
    Route route;
    route.name = "r";
    route.host = "h";
    route.prefix = "/";
    route.kind = value.substr(0, space) == "idempotent" ? RouteKind::Idempotent : RouteKind::NonIdempotent;
    route.timeout = std::chrono::milliseconds(std::stoi(std::string(value.substr(space + 1))));
    route.shares = { { ServiceId("s"), 1 } };
    configuration.routes = { route };
    configuration.services = { { ServiceId("s"), "/health", 10, std::nullopt } };
    return configuration;
}

/** A complete gateway with a fake store and fake replicas in virtual time. */
struct WholeGateway {
    explicit WholeGateway(const std::string& configuration)
    {
        store.put("config", configuration);
        store.put("servers/i-1", testEntry("s", "none"));
        replicaClient.scripts[ReplicaId("i-1")] = { { .chunks = { "answer" } } };
        gateway.start();
        timers.advance(1s);
    }

    void start(FakeWriter& writer)
    {
        RoutedRequest request;
        request.id = RequestId("q" + std::to_string(++requests));
        request.host = "h";
        request.forwarded = { "GET", "/x", {}, "" };
        request.arrival = timers.now();
        asio::co_spawn(context, gateway.handle(std::move(request), writer), asio::detached);
        timers.advance(100ms);
    }

    void leave(Duration timeLeft)
    {
        asio::co_spawn(context, gateway.leave(timers.now() + timeLeft), asio::detached);
        timers.advance(1ms);
    }

    asio::io_context context;
    VirtualTimerService timers { context };
    MemoryLog log;
    Metrics metrics;
    FakeVersionedStore store { timers };
    FakeReplicaClient replicaClient { timers };
    int requests = 0;
    Gateway gateway {
        { context, timers, log, metrics, store, replicaClient, [](const RoutingConfiguration&) {} },
        { "config", "servers/", decodeTestConfiguration, decodeTestEntry },
        { { DaemonId("d0"), AvailabilityZone("a"), { "127.0.0.1", 1 }, { "127.0.0.1", 0 } }, { {}, 3s, 5s } },
    };
};

} // namespace

TEST_CASE("a gateway with a configuration and replicas is ready and serves, and is not ready during its shutdown")
{
    WholeGateway whole("idempotent 3000");
    CHECK(whole.gateway.isReady());
    FakeWriter writer;
    whole.start(writer);
    CHECK(writer.status == 200);
    whole.leave(8s);
    CHECK_FALSE(whole.gateway.isReady());
}

// Guards against requests that are cut off at the end of a shutdown: clients with a stale list of daemons sent long requests
// to a daemon that stopped before the response (search seed 36423820774 of the scenario tr-spares).
TEST_CASE("during a shutdown a request that could outlast it is refused as not run, and a shorter one is served")
{
    WholeGateway longRoute("idempotent 15000");
    longRoute.leave(8s);
    longRoute.timers.advance(2s);
    FakeWriter early;
    longRoute.start(early);
    CHECK(early.status == 200);
    longRoute.timers.advance(2s);
    FakeWriter late;
    longRoute.start(late);
    CHECK(late.status == 503);
    CHECK_FALSE(late.headers.value("Retry-After").empty());
    CHECK(longRoute.replicaClient.sent.size() == 1);

    WholeGateway shortRoute("idempotent 3000");
    shortRoute.leave(8s);
    shortRoute.timers.advance(4s);
    FakeWriter served;
    shortRoute.start(served);
    CHECK(served.status == 200);
}

// Guards against requests that a stopping daemon takes and passes on although they usually last longer than it.
TEST_CASE("during a shutdown a request of a service with long requests is refused as not run")
{
    WholeGateway whole("non_idempotent 60000");
    whole.replicaClient.scripts[ReplicaId("i-1")] = { { .chunks = { "answer" }, .delay = 5s } };
    std::array<FakeWriter, 5> earlier;
    for (auto& writer : earlier)
        whole.start(writer);
    whole.timers.advance(6s);
    auto sent = whole.replicaClient.sent.size();
    whole.leave(8s);
    FakeWriter late;
    whole.start(late);
    CHECK(late.status == 503);
    CHECK(whole.replicaClient.sent.size() == sent);
}

// Guards against requests that get no response because the daemon stops while they wait for their replica.
TEST_CASE("requests in progress at the end of a shutdown are answered with an error")
{
    WholeGateway whole("idempotent 15000");
    whole.replicaClient.scripts[ReplicaId("i-1")] = { { .chunks = { "answer" }, .delay = 10s } };
    FakeWriter writer;
    whole.start(writer);
    whole.leave(8s);
    whole.gateway.endRequests();
    whole.timers.advance(10ms);
    CHECK(writer.status == 504);
    CHECK(whole.gateway.inProgress() == 0);
}

// Guards against reloaded settings (SIGHUP) that have no effect.
TEST_CASE("changed bounds take effect while the gateway runs")
{
    WholeGateway whole("idempotent 3000");
    CHECK(whole.gateway.discover(AvailabilityZone("a")).validity == 1500ms);
    whole.gateway.setBounds({ { 0, 0, 10s }, 3s, 700ms });
    CHECK(whole.gateway.discover(AvailabilityZone("a")).validity == 700ms);
    // Without a retry budget a refused request is not sent again.
    whole.store.put("servers/i-2", testEntry("s", "none"));
    for (const auto* replica : { "i-1", "i-2" })
        whole.replicaClient.scripts[ReplicaId(replica)] = { { .executionStatus = ExecutionStatus::NotExecuted, .status = 503 } };
    whole.timers.advance(1s);
    FakeWriter writer;
    whole.start(writer);
    CHECK(writer.status == 503);
    CHECK(whole.replicaClient.sent.size() == 1);
}

// Guards against a configuration that takes effect half a minute late, as no call fails and the watch waits on.
TEST_CASE("a renewal that shows a restore of the store ends the watches that wait")
{
    WholeGateway whole("idempotent 3000");
    auto copy = whole.store.copy();
    whole.store.put("config", "idempotent 2000");
    whole.timers.advance(1s);
    whole.store.restore(copy);
    whole.store.put("config", "idempotent 1000");
    auto applied = whole.log.recent(EventId::ConfigurationApplied).size();
    whole.timers.advance(2s);
    CHECK(whole.log.recent(EventId::ConfigurationApplied).size() == applied + 1);
    // An interrupted watch is not an outage.
    CHECK(whole.log.recent(EventId::PlatformLost).empty());
}

// Guards against a removed replica that gets work for longer than its drain time, because a daemon takes connections to the store that
// got silent for an outage, in which entries expire although their replicas live. The daemon has three seconds from the silence on.
TEST_CASE("a replica that leaves while the connections to the store are silent gets no work three seconds after the silence began")
{
    WholeGateway whole("idempotent 3000");
    whole.store.put("servers/i-2", testEntry("s", "none"));
    whole.replicaClient.scripts[ReplicaId("i-2")] = { { .chunks = { "answer" } } };
    whole.timers.advance(1s);
    auto leaves = [&] { whole.store.erase("servers/i-2"); };
    auto silenceFor = [&](Duration time) {
        whole.store.silenceConnections();
        whole.timers.advance(time);
    };
    SUBCASE("just before it")
    {
        leaves();
        silenceFor(3s);
    }
    SUBCASE("during it")
    {
        silenceFor(500ms);
        leaves();
        whole.timers.advance(2500ms);
    }
    SUBCASE("when a renewal on a new connection has already succeeded")
    {
        silenceFor(2900ms);
        leaves();
        whole.timers.advance(1s);
    }
    SUBCASE("between two silences")
    {
        silenceFor(2s);
        leaves();
        silenceFor(3s);
    }
    SUBCASE("and reports that it is draining")
    {
        silenceFor(500ms);
        whole.store.put("servers/i-2", testEntry("s", "none", "a", "draining", 1, 2));
        whole.timers.advance(2500ms);
    }
    whole.replicaClient.sent.clear();
    std::array<FakeWriter, 20> writers;
    for (auto& writer : writers)
        whole.start(writer);
    CHECK(whole.replicaClient.sent.size() == writers.size());
    CHECK(std::ranges::none_of(whole.replicaClient.sent, [](const auto& call) { return call.replica == ReplicaId("i-2"); }));
    CHECK(whole.log.recent(EventId::PlatformLost).empty());
}

// Guards against a route that is served on for longer because the daemon waits on a silent connection for its withdrawal.
TEST_CASE("a configuration that is written while the connections to the store are silent is applied within three seconds of the silence")
{
    WholeGateway whole("idempotent 3000");
    auto applied = whole.log.recent(EventId::ConfigurationApplied).size();
    whole.store.silenceConnections();
    whole.store.put("config", "idempotent 1000");
    whole.timers.advance(2900ms);
    CHECK(whole.log.recent(EventId::ConfigurationApplied).size() == applied + 1);
}

// Guards against sound replicas that get no work because an outage of the store was taken for a silent connection.
TEST_CASE("a replica whose entry expired in an outage that only the renewals show stays in use")
{
    WholeGateway whole("idempotent 3000");
    whole.store.isDown = true;
    whole.timers.advance(5s);
    whole.store.erase("servers/i-1");
    whole.store.isDown = false;
    whole.timers.advance(1s);
    FakeWriter writer;
    whole.start(writer);
    CHECK(writer.status == 200);
    whole.timers.advance(3s);
    FakeWriter late;
    whole.start(late);
    CHECK(late.status == 503);
}

// Guards against a request that reaches replicas again after each restart of a daemon although it has crashed three (review/1).
TEST_CASE("a daemon that starts after a request has crashed three replicas does not send it to a fourth one")
{
    WholeGateway whole("idempotent 3000");
    whole.store.erase("servers/i-1");
    auto crash = makeError(ErrorKind::BackendFailed, "connection reset");
    for (const auto* replica : { "i-2", "i-3", "i-4" }) {
        whole.store.put(std::string("servers/") + replica, testEntry("s", "none"));
        whole.replicaClient.scripts[ReplicaId(replica)] = { { .error = crash } };
        whole.timers.advance(1s);
        FakeWriter writer;
        whole.start(writer);
        whole.store.erase(std::string("servers/") + replica);
    }
    whole.store.put("servers/i-5", testEntry("s", "none"));
    whole.timers.advance(10s);
    REQUIRE(whole.replicaClient.sent.size() == 3);
    Gateway later {
        { whole.context, whole.timers, whole.log, whole.metrics, whole.store, whole.replicaClient, [](const RoutingConfiguration&) {} },
        { "config", "servers/", decodeTestConfiguration, decodeTestEntry },
        { { DaemonId("d1"), AvailabilityZone("a"), { "127.0.0.1", 1 }, { "127.0.0.1", 0 } }, { {}, 3s, 5s } },
    };
    later.start();
    whole.timers.advance(1s);
    REQUIRE(later.isReady());
    FakeWriter writer;
    RoutedRequest request;
    request.id = RequestId("repeated");
    request.host = "h";
    request.forwarded = { "GET", "/x", {}, "" };
    request.arrival = whole.timers.now();
    asio::co_spawn(whole.context, later.handle(std::move(request), writer), asio::detached);
    whole.timers.advance(100ms);
    CHECK(writer.status == 503);
    CHECK(whole.replicaClient.sent.size() == 3);
}
