#include "gateway/AccountsFixture.h"

#include <algorithm>
#include <array>
#include <doctest/doctest.h>

using namespace chestnut;
using namespace std::chrono_literals;

namespace {

Endpoint endpointOf(const std::string& id)
{
    return { "10.0.1." + id.substr(1), 9000 };
}

/** One daemon with peers that exist only as announcements and as servers of configurations. */
struct VersionsFixture {
    explicit VersionsFixture(const std::string& stored)
    {
        for (const auto* id : { "d1", "d2", "d3" })
            store.put("chestnutroute/daemons/" + std::string(id), encodeDaemonRecord({ DaemonId(id), AvailabilityZone("a"), endpointOf(id), endpointOf(id), 0, endpointOf(id) }));
        if (!stored.empty())
            store.put("config", stored);
    }

    void start()
    {
        ownKeys->start();
        routing.start();
        exchange.start();
        timers.advance(20ms);
    }

    /** Waits until the daemon serves, as one that has been running for a while. */
    void startAndSettle()
    {
        start();
        timers.advance(1s);
        REQUIRE(exchange.isSettled());
    }

    void serve(const std::string& id, const std::string& value)
    {
        client.responses[formatEndpoint(endpointOf(id))] = [value](uint64_t) { return std::optional<std::string>(value); };
    }

    /** Advances the time while the daemons announce their versions every 100 ms. */
    void advanceWith(const std::map<std::string, uint64_t>& versions, Duration time, bool isSettled = true)
    {
        for (Duration step {}; step < time; step += 100ms) {
            for (const auto& [id, version] : versions)
                exchange.record(DaemonId(id), { version, isSettled, {} });
            timers.advance(100ms);
        }
    }

    bool isKey(const std::string& key) const { return routing.table() && routing.table()->accounts() && routing.table()->accounts()->find(key); }

    asio::io_context context;
    VirtualTimerService timers { context };
    MemoryLog log;
    Metrics metrics;
    FakeVersionedStore store { timers };
    FakeConfigurationClient client { timers };
    std::shared_ptr<StoreMirror> ownKeys = std::make_shared<StoreMirror>(context, store, timers, log, "chestnutroute/", [] { return Duration::zero(); });
    DaemonDirectory daemons { context, store, timers, log, ownKeys, { DaemonId("d0"), AvailabilityZone("a"), { "10.0.0.9", 1 }, { "10.0.0.9", 2 } }, [] {} };
    RoutingSource routing { context, store, timers, log, "config", decodeAccountsConfiguration, [](const RoutingConfiguration&) {} };
    ConfigurationExchange exchange { context, timers, log, metrics, routing, daemons, ownKeys, &client };
};

} // namespace

// Guards against a withdrawn key that stays in force because the store turns this one daemon away.
TEST_CASE("a daemon that the store turns away takes a withdrawal from a peer within the bound")
{
    VersionsFixture fixture("1 accounts a=k1,k2");
    fixture.startAndSettle();
    fixture.serve("d1", "2 accounts a=k2");
    fixture.serve("d2", "2 accounts a=k2");
    Duration bound = 9s;
    SUBCASE("when its calls fail")
    {
        fixture.store.isDown = true;
        bound = 1500ms;
    }
    SUBCASE("when its watch gets no response")
    {
        fixture.store.silenceConnections();
        bound = 1500ms;
    }
    SUBCASE("when the first peer does not respond")
    {
        fixture.store.isDown = true;
        fixture.client.silent.insert(formatEndpoint(endpointOf("d1")));
    }
    CHECK(fixture.isKey("k1"));
    fixture.advanceWith({ { "d1", 2 }, { "d2", 2 }, { "d3", 1 } }, bound);
    CHECK_FALSE(fixture.isKey("k1"));
    CHECK(fixture.isKey("k2"));
    CHECK(fixture.routing.version() == 2);
    CHECK(fixture.log.recent(EventId::ConfigurationFetched).size() == 1);
}

// Guards against traffic between daemons, which is billed, for changes that the store delivers.
TEST_CASE("nothing is fetched when the store delivers in time")
{
    VersionsFixture fixture("1 accounts a=k1");
    fixture.startAndSettle();
    fixture.serve("d1", "2 accounts a=k2");
    fixture.advanceWith({ { "d1", 2 } }, 300ms);
    fixture.store.put("config", "2 accounts a=k2");
    fixture.advanceWith({ { "d1", 2 } }, 3s);
    CHECK(fixture.routing.version() == 2);
    CHECK(fixture.client.fetched.empty());
}

// Guards against a withdrawn key that is in force again, and against a daemon that serves before it has asked.
TEST_CASE("a daemon that starts with an old copy of the store does not serve before it has the version of its peers")
{
    VersionsFixture fixture("1 accounts a=withdrawn");
    fixture.serve("d1", "3 accounts a=k3");
    fixture.client.delay = 700ms;
    fixture.start();
    CHECK(fixture.routing.version() == 1);
    for (int step = 0; step < 7; ++step) {
        fixture.advanceWith({ { "d1", 3 } }, 100ms);
        CHECK((fixture.routing.version() == 3 || !fixture.exchange.isSettled()));
    }
    fixture.advanceWith({ { "d1", 3 } }, 300ms);
    CHECK(fixture.exchange.isSettled());
    CHECK(fixture.routing.version() == 3);
    // The store, which still has the old copy, changes nothing afterwards.
    fixture.store.put("config", "2 accounts a=withdrawn");
    fixture.advanceWith({ { "d1", 3 } }, 2s);
    CHECK_FALSE(fixture.isKey("withdrawn"));
    CHECK(fixture.routing.version() == 3);
}

TEST_CASE("a daemon that cannot read the configuration from the store starts with that of a peer")
{
    VersionsFixture fixture("");
    fixture.serve("d1", "3 accounts a=k3");
    fixture.start();
    fixture.advanceWith({ { "d1", 3 } }, 500ms);
    CHECK(fixture.routing.version() == 3);
    CHECK(fixture.exchange.isSettled());
}

// Guards against a fleet that does not serve after all its processes were restarted.
TEST_CASE("daemons that all start serve after a short wait")
{
    VersionsFixture fixture("1");
    fixture.start();
    fixture.advanceWith({ { "d1", 1 }, { "d2", 1 } }, 400ms, false);
    CHECK_FALSE(fixture.exchange.isSettled());
    fixture.advanceWith({ { "d1", 1 }, { "d2", 1 } }, 200ms, false);
    CHECK(fixture.exchange.isSettled());
}

// Guards against a configuration that is lost, a daemon that does not serve, and calls without end, because of one faulty peer.
TEST_CASE("wrong bytes from a peer lose nothing, and the peer is asked ever less often")
{
    VersionsFixture fixture("1 accounts a=k1");
    fixture.serve("d2", "2 accounts a=k2");
    SUBCASE("no configuration") { fixture.serve("d1", "garbage"); }
    SUBCASE("nothing") { fixture.serve("d1", ""); }
    SUBCASE("a lower version") { fixture.serve("d1", "1 accounts a=old"); }
    SUBCASE("the same version")
    {
        fixture.client.responses[formatEndpoint(endpointOf("d1"))] = [](uint64_t) { return std::optional<std::string>(); };
    }
    SUBCASE("an error")
    {
        fixture.client.responses[formatEndpoint(endpointOf("d1"))] = [](uint64_t) { return makeError(ErrorKind::ConnectFailed, "refused"); };
    }
    fixture.startAndSettle();
    fixture.advanceWith({ { "d1", 900 } }, 30s);
    CHECK(fixture.isKey("k1"));
    CHECK(fixture.routing.version() == 1);
    CHECK(fixture.client.fetched.size() >= 3);
    CHECK(fixture.client.fetched.size() <= 8);
    CHECK(fixture.log.recent(EventId::ConfigurationFetchFailed).size() == fixture.client.fetched.size());
    // A version that exists is fetched although another daemon announces a higher one.
    fixture.advanceWith({ { "d1", 900 }, { "d2", 2 } }, 2s);
    CHECK(fixture.routing.version() == 2);
}

TEST_CASE("a starting daemon serves in spite of a peer that does not have what it announces")
{
    VersionsFixture fixture("1 accounts a=k1");
    fixture.serve("d1", "garbage");
    fixture.start();
    fixture.advanceWith({ { "d1", 900 } }, 5s);
    CHECK_FALSE(fixture.exchange.isSettled());
    fixture.advanceWith({ { "d1", 900 } }, 2s);
    CHECK(fixture.exchange.isSettled());
    CHECK(fixture.isKey("k1"));
}

// Guards against a zone whose members all ask its collector.
TEST_CASE("a daemon fetches from holders that a collector has named")
{
    VersionsFixture fixture("1");
    fixture.startAndSettle();
    fixture.store.isDown = true;
    fixture.serve("d2", "2 accounts a=k2");
    fixture.serve("d3", "2 accounts a=k2");
    fixture.client.silent.insert(formatEndpoint(endpointOf("d1")));
    fixture.exchange.record(DaemonId("d1"), { 2, true, { DaemonId("d2"), DaemonId("d3"), DaemonId("d0") } });
    fixture.timers.advance(1800ms);
    CHECK(fixture.routing.version() == 2);
    // This daemon names the others in turn.
    auto notice = fixture.exchange.notice(true);
    CHECK(notice.version == 2);
    CHECK(std::ranges::find(notice.holders, DaemonId("d0")) == notice.holders.end());
}

TEST_CASE("without a client a daemon waits for no peer and fetches nothing")
{
    VersionsFixture fixture("1");
    ConfigurationExchange exchange { fixture.context, fixture.timers, fixture.log, fixture.metrics, fixture.routing, fixture.daemons, fixture.ownKeys, nullptr };
    CHECK(exchange.isSettled());
    exchange.start();
    fixture.start();
    exchange.record(DaemonId("d1"), { 5, true, {} });
    fixture.timers.advance(3s);
    CHECK(fixture.client.fetched.empty());
    CHECK(exchange.notice(true).version == 1);
}

// Guards against daemons that send an older configuration than asked for, or more copies than the link carries in time.
TEST_CASE("the configuration is served to daemons with a lower version, a few at the same time")
{
    VersionsFixture fixture("7 accounts a=k1");
    ConfigurationApi api(fixture.routing);
    auto request = [&](const std::string& target, FakeWriter& writer) {
        asio::co_spawn(fixture.context, api.handle({ "GET", target, {}, "" }, writer), asio::detached);
        fixture.timers.advance(1ms);
    };
    FakeWriter early;
    request("/configuration", early);
    CHECK(early.status == 204);
    fixture.startAndSettle();
    FakeWriter served;
    request("/configuration?above=6", served);
    CHECK(served.status == 200);
    CHECK(served.body == "7 accounts a=k1");
    FakeWriter same;
    request("/configuration?above=7", same);
    CHECK(same.status == 204);
    FakeWriter other;
    request("/keys", other);
    CHECK(other.status == 404);
}

namespace {

/** Fetches from a gateway in the same process. */
class LocalConfigurationClient final : public ConfigurationClient {
public:
    asio::awaitable<Result<std::optional<std::string>>> fetch(Endpoint, uint64_t above) override
    {
        FakeWriter writer;
        co_await source->handlePeer({ "GET", "/configuration?above=" + std::to_string(above), {}, "" }, writer);
        if (writer.status == 200)
            co_return std::optional<std::string>(writer.body);
        co_return std::optional<std::string>();
    }

    Gateway* source = nullptr;
};

/** A gateway with a store of its own, as a daemon that the store treats differently from the others. */
struct StoreSide {
    StoreSide(asio::io_context& context, VirtualTimerService& timers, int number, const std::string& configuration)
        : store(timers)
        , replicaClient(timers)
        , gateway({ context, timers, log, metrics, store, replicaClient, [](const RoutingConfiguration&) {}, &client }, { "config", "servers/", decodeAccountsConfiguration, decodeTestEntry }, { recordOf(number), {} })
    {
        store.put("config", configuration);
        store.put("servers/s-1", testEntry("s", "none"));
        store.put("chestnutroute/daemons/d" + std::to_string(3 - number), encodeDaemonRecord(recordOf(3 - number)));
        replicaClient.scripts[ReplicaId("s-1")] = { { .chunks = { "answer" } } };
    }

    static DaemonRecord recordOf(int number)
    {
        auto address = "127.0.9." + std::to_string(number);
        return { DaemonId("d" + std::to_string(number)), AvailabilityZone("a"), { address, 80 }, { address, 47'661 }, 0, Endpoint { address, 47'662 } };
    }

    MemoryLog log;
    Metrics metrics;
    FakeVersionedStore store;
    FakeReplicaClient replicaClient;
    LocalConfigurationClient client;
    Gateway gateway;
};

} // namespace

// Guards against requests under a withdrawn key at a daemon that is restarted after the store was restored from an older copy.
TEST_CASE("a gateway that starts with an old copy of the store refuses requests until it has the version of another gateway")
{
    asio::io_context context;
    VirtualTimerService timers(context);
    StoreSide current(context, timers, 1, "2 accounts a=k2");
    StoreSide restarted(context, timers, 2, "1 accounts a=withdrawn");
    restarted.client.source = &current.gateway;
    current.client.source = &restarted.gateway;
    auto advance = [&](Duration time) {
        for (Duration step {}; step < time; step += 50ms) {
            timers.advance(50ms);
            context.restart();
            context.run_for(1ms);
        }
    };
    current.gateway.start();
    advance(1s);
    REQUIRE(current.gateway.isReady());
    restarted.gateway.start();
    std::array<FakeWriter, 40> writers;
    for (auto& writer : writers) {
        RoutedRequest request;
        request.id = RequestId("q");
        request.host = "h";
        request.forwarded = { "GET", "/x", {}, "" };
        request.arrival = timers.now();
        request.key = "withdrawn";
        asio::co_spawn(context, restarted.gateway.handle(std::move(request), writer), asio::detached);
        advance(50ms);
    }
    CHECK(restarted.gateway.isReady());
    CHECK(std::ranges::all_of(writers, [](const FakeWriter& writer) { return writer.status == 503 || writer.status == 401; }));
    CHECK(writers.back().status == 401);
    CHECK(restarted.replicaClient.sent.empty());
    // The higher version was not taken back by the daemon with the older one.
    CHECK(current.log.recent(EventId::ConfigurationFetched).empty());
}
