#include "gateway/GatewayFixture.h"

#include <algorithm>
#include <array>
#include <doctest/doctest.h>

using namespace chestnut;
using namespace std::chrono_literals;

namespace {

/** Orders replicas that appear in the store after a boot time, and leave it when fewer are ordered. */
class FakeScalingPlatform final : public TaskPlatform {
public:
    FakeScalingPlatform(FakeVersionedStore& store, VirtualTimerService& timers)
        : m_store(store)
        , m_timers(timers)
    {
    }

    struct Call {
        ReplicaOrder order;
        TaskAuthority authority;
        TimePoint at;
    };

    std::vector<Call> calls;
    std::map<PoolKey, uint32_t> numbers;
    std::set<AvailabilityZone> unavailable; /**< zones without reclaimable replicas */
    std::optional<Error> error; /**< of all calls */
    bool executesLostCalls = false; /**< calls with an error take effect */
    bool isRateLimited = false;
    Duration responseTime {};
    size_t inFlight = 0;
    size_t mostInFlightOfZone = 0;

    asio::awaitable<Result<TaskResult>> reportUsage(UsageReport, TaskAuthority) override { co_return TaskResult::Done; }

    asio::awaitable<Result<TaskResult>> orderReplicas(ReplicaOrder order, TaskAuthority authority) override
    {
        calls.push_back({ order, authority, m_timers.now() });
        mostInFlightOfZone = std::max(mostInFlightOfZone, ++m_inFlightOfZone[order.zone]);
        co_await m_timers.sleep(responseTime + 1ms);
        --m_inFlightOfZone[order.zone];
        if (isRateLimited)
            co_return TaskResult::RateLimited;
        if (!error || executesLostCalls) {
            auto& number = numbers[{ order.zone, order.isReclaimable }];
            if (order.replicas > number && order.isReclaimable && unavailable.contains(order.zone))
                co_return TaskResult::Unavailable;
            number = order.replicas;
            m_timerSubscriptions.push_back(m_timers.once(4s, [this, zone = order.zone] { applyTo(zone); }));
        }
        if (error)
            co_return *error;
        co_return TaskResult::Done;
    }

    /** Writes the entries of a zone as ordered. */
    void applyTo(const AvailabilityZone& zone)
    {
        for (auto isReclaimable : { false, true }) {
            auto& entries = m_entries[{ zone, isReclaimable }];
            auto number = numbers[{ zone, isReclaimable }];
            for (; entries.size() > number; entries.pop_back())
                m_store.erase(entries.back());
            while (entries.size() < number) {
                entries.push_back("servers/i-" + std::to_string(++m_lastId));
                m_store.put(entries.back(), testEntry("s", isReclaimable || entries.size() % 2 == 0 ? "decode" : "prefill", zone.value()) + (isReclaimable ? " reclaimable" : ""));
            }
        }
    }

    /** Takes the reclaimable replicas of a zone away. */
    void reclaim(const AvailabilityZone& zone)
    {
        numbers[{ zone, true }] = 0;
        applyTo(zone);
    }

private:
    FakeVersionedStore& m_store;
    VirtualTimerService& m_timers;
    std::map<PoolKey, std::vector<std::string>> m_entries;
    std::map<AvailabilityZone, size_t> m_inFlightOfZone;
    std::vector<TimerSubscription> m_timerSubscriptions;
    int m_lastId = 0;
};

/** A service of 24 regular engines in three zones, and one daemon that may order others. */
struct ScaledService : GatewayFixture {
    ScaledService()
    {
        source.start();
        store.put("op/config", "1");
        for (const auto* zone : { "a", "b", "c" }) {
            platform.numbers[{ AvailabilityZone(zone), false }] = 8;
            platform.applyTo(AvailabilityZone(zone));
        }
        settle();
        manager = makeManager();
    }

    static Result<RoutingConfiguration> decode(std::string_view version)
    {
        RoutingConfiguration configuration;
        configuration.version = std::stoull(std::string(version));
        ServiceProfile service;
        service.id = ServiceId("s");
        service.engine = EngineProfile {};
        service.scaling = ScalingProfile { 1, 20, 4s, 0.15, { { AvailabilityZone("a"), 1.0 }, { AvailabilityZone("b"), 1.0 }, { AvailabilityZone("c"), 1.0 } } };
        configuration.services = { service };
        return configuration;
    }

    std::unique_ptr<ScalingManager> makeManager()
    {
        auto result = std::make_unique<ScalingManager>(
            context, timers, log, metrics, platform, TaskLeaseView { [this](Duration) { return isHolder; }, [this] { return TaskAuthority { DaemonId("d0"), fencingNumber }; } }, replicas, loadTracker, speeds, source, [this] { return knowsFleetLoad; });
        result->start();
        return result;
    }

    /** Replaces the work of a peer: requests at the engines of each stage, spread evenly. */
    void setWork(uint32_t decodes, uint32_t prefills)
    {
        peerWork = { decodes, prefills };
        refreshWork();
    }

    void refreshWork()
    {
        std::vector<ReplicaWork> work;
        for (auto [stage, requests] : { std::pair(EngineStage::Decode, peerWork.first), std::pair(EngineStage::Prefill, peerWork.second) }) {
            auto entries = replicas.usable(ServiceId("s"), stage);
            for (size_t i = 0; i < entries.size(); ++i) {
                auto share = static_cast<uint32_t>(requests * (i + 1) / entries.size() - requests * i / entries.size());
                work.push_back({ entries[i]->id, share, amountAt(share * 100.0, 4), {} });
            }
        }
        loadTracker->setPeerWork(DaemonId("peer"), work);
    }

    void run(Duration time)
    {
        for (auto end = timers.now() + time; timers.now() < end;) {
            refreshWork();
            timers.advance(100ms);
        }
    }

    uint32_t running(bool isReclaimable) const
    {
        uint32_t sum = 0;
        for (const auto* replica : replicas.registered(ServiceId("s")))
            sum += mayReceiveWork(*replica) && replica->entry.isReclaimable == isReclaimable ? 1 : 0;
        return sum;
    }

    FakeScalingPlatform platform { store, timers };
    RoutingSource source { context, store, timers, log, "op/config", decode, [](const RoutingConfiguration&) {} };
    bool isHolder = true;
    FencingNumber fencingNumber = 7;
    bool knowsFleetLoad = true;
    std::pair<uint32_t, uint32_t> peerWork;
    std::unique_ptr<ScalingManager> manager;
};

} // namespace

// Guards against a pool that stays as it was at the start, and against one that shrinks below its work.
TEST_CASE("reclaimable replicas are ordered first, and regular ones are released once those serve")
{
    ScaledService fixture;
    fixture.setWork(16, 4);
    fixture.run(14s);
    REQUIRE_FALSE(fixture.platform.calls.empty());
    CHECK(std::ranges::all_of(fixture.platform.calls, [](const auto& call) { return call.order.isReclaimable; }));
    CHECK(fixture.running(false) == 24);
    fixture.run(90s);
    CHECK(fixture.running(false) <= 6);
    CHECK(fixture.running(false) + fixture.running(true) >= 18);
    CHECK(fixture.platform.mostInFlightOfZone == 1);
    for (const auto& call : fixture.platform.calls)
        CHECK(call.authority == TaskAuthority { DaemonId("d0"), 7 });
    CHECK(fixture.log.recent(EventId::ReplicasOrdered).size() == fixture.platform.calls.size());
    MetricLabels labels { { "service", "s" }, { "zone", "a" }, { "kind", "reclaimable" } };
    CHECK(fixture.metrics.value("chestnut_scaling_desired_replicas", labels) == fixture.platform.numbers[{ AvailabilityZone("a"), true }]);
    CHECK(fixture.metrics.value("chestnut_scaling_running_replicas", labels) == fixture.platform.numbers[{ AvailabilityZone("a"), true }]);
    // The numbers of a former holder would be out of date.
    fixture.isHolder = false;
    fixture.run(1s);
    CHECK(fixture.metrics.value("chestnut_scaling_desired_replicas", labels) == 0);
}

// Guards against orders of two daemons at a time, and against orders without knowledge.
TEST_CASE("nothing is ordered before the first traffic, or by a daemon that does not hold the lease")
{
    ScaledService fixture;
    fixture.run(60s);
    CHECK(fixture.platform.calls.empty());
    fixture.isHolder = false;
    fixture.setWork(60, 8);
    fixture.run(30s);
    CHECK(fixture.platform.calls.empty());
}

// Guards against a new holder that continues from its own former orders, or releases before it has seen a loss.
TEST_CASE("a new holder starts with the replicas that it sees")
{
    ScaledService fixture;
    fixture.setWork(16, 4);
    fixture.run(100s);
    auto before = fixture.platform.calls.size();
    auto numbers = fixture.platform.numbers;
    fixture.isHolder = false;
    fixture.run(2s);
    fixture.isHolder = true;
    fixture.fencingNumber = 9;
    fixture.run(30s);
    CHECK(fixture.platform.calls.size() == before);
    CHECK(fixture.platform.numbers == numbers);
    fixture.setWork(60, 8);
    fixture.run(8s);
    REQUIRE(fixture.platform.calls.size() > before);
    CHECK(fixture.platform.calls.back().authority.fencingNumber == 9);
    CHECK(fixture.running(false) + fixture.running(true) >= 34);
}

// Guards against capacity that is not ordered elsewhere, and against calls that are repeated without pause.
TEST_CASE("a reclaimed zone without replicas is replaced by the others, and is asked again with growing pauses")
{
    ScaledService fixture;
    fixture.setWork(20, 4);
    fixture.run(100s);
    fixture.platform.unavailable.insert(AvailabilityZone("a"));
    fixture.platform.reclaim(AvailabilityZone("a"));
    auto before = fixture.platform.calls.size();
    fixture.run(20s);
    CHECK(fixture.log.recent("cause", "reclaimed").size() == 1);
    CHECK_FALSE(fixture.log.recent("result", "unavailable").empty());
    auto inZone = std::ranges::count_if(fixture.platform.calls.begin() + static_cast<ptrdiff_t>(before), fixture.platform.calls.end(), [](const auto& call) { return call.order.zone == AvailabilityZone("a"); });
    CHECK(inZone <= 6);
    auto left = fixture.running(false) + fixture.running(true) - fixture.platform.numbers[{ AvailabilityZone("b"), true }];
    CHECK(left >= 17);
    fixture.platform.unavailable.clear();
    fixture.run(20s);
    CHECK(fixture.platform.numbers[{ AvailabilityZone("a"), true }] > 0);
}

// Guards against a storm of calls at a platform that is down, slow or beyond its rate, and against orders that are forgotten.
TEST_CASE("calls pause while the platform fails, and the number is ordered once it answers")
{
    ScaledService fixture;
    SUBCASE("down") { fixture.platform.error = makeError(ErrorKind::PlatformUnavailable, "connection refused"); }
    SUBCASE("beyond the rate") { fixture.platform.isRateLimited = true; }
    SUBCASE("without answers") { fixture.platform.error = makeError(ErrorKind::PlatformAnswerLost, "no answer"); }
    fixture.setWork(60, 8);
    fixture.run(30s);
    // Three zones at once; then pauses of up to four seconds.
    CHECK(fixture.platform.calls.size() <= 3 * 12);
    CHECK(fixture.running(false) == 24);
    CHECK(fixture.running(true) == 0);
    fixture.platform.error.reset();
    fixture.platform.isRateLimited = false;
    fixture.run(12s);
    CHECK(fixture.running(true) >= 20);
}

// Guards against a number that nobody knows: a lost order may take effect, also after a later one.
TEST_CASE("an order whose response is lost is repeated until it is acknowledged, and once more when it cannot take effect any more")
{
    ScaledService fixture;
    fixture.platform.error = makeError(ErrorKind::PlatformAnswerLost, "no answer");
    fixture.platform.executesLostCalls = true;
    fixture.setWork(20, 4);
    fixture.run(2s);
    auto lost = fixture.platform.calls.size();
    REQUIRE(lost > 0);
    fixture.platform.error.reset();
    fixture.platform.executesLostCalls = false;
    fixture.run(4s);
    auto acknowledged = fixture.platform.calls.size();
    CHECK(acknowledged > lost);
    fixture.run(20s);
    CHECK_FALSE(fixture.log.recent("reason", "repeated").empty());
}

// Guards against a second call for a zone while one is in flight, which could arrive first.
TEST_CASE("a slow platform has one call in flight for each zone")
{
    ScaledService fixture;
    fixture.platform.responseTime = 3s;
    fixture.setWork(30, 6);
    fixture.run(20s);
    fixture.setWork(80, 12);
    fixture.run(20s);
    CHECK(fixture.platform.mostInFlightOfZone == 1);
    CHECK(fixture.running(true) >= 20);
}

// Guards against releases by a daemon that sees only its own work.
TEST_CASE("nothing is released while the work of other daemons is unknown, or soon after a change of the configuration")
{
    ScaledService fixture;
    SUBCASE("unknown work")
    {
        fixture.knowsFleetLoad = false;
        fixture.setWork(16, 4);
        fixture.run(60s);
        CHECK(fixture.running(false) == 24);
        fixture.knowsFleetLoad = true;
        fixture.run(60s);
        CHECK(fixture.running(false) < 24);
    }
    SUBCASE("a version that changes nothing for the service")
    {
        fixture.setWork(16, 4);
        for (int version = 2; version < 40; ++version) {
            fixture.store.put("op/config", std::to_string(version));
            fixture.run(2s);
        }
        CHECK(fixture.running(false) < 24);
    }
}

// Guards against a gateway that does not start the scaling, or sends calls that the lease does not cover.
TEST_CASE("a gateway with a task platform orders replicas for its work while it holds the tasks' lease")
{
    asio::io_context context;
    VirtualTimerService timers { context };
    MemoryLog log;
    Metrics metrics;
    FakeVersionedStore store { timers };
    FakeReplicaClient replicaClient { timers };
    FakeScalingPlatform platform { store, timers };
    auto isScaled = true;
    SUBCASE("with limits in the configuration") { }
    SUBCASE("without") { isScaled = false; }
    auto decode = [isScaled](std::string_view) -> Result<RoutingConfiguration> {
        RoutingConfiguration configuration;
        configuration.version = 1;
        Route route;
        route.name = "r";
        route.host = "h";
        route.prefix = "/";
        route.timeout = 60s;
        route.shares = { { ServiceId("s"), 1 } };
        configuration.routes = { route };
        ServiceProfile service;
        service.id = ServiceId("s");
        if (isScaled)
            service.scaling = ScalingProfile { 1, 10, 4s, 0.15, { { AvailabilityZone("a"), 1.0 }, { AvailabilityZone("b"), 1.0 } } };
        configuration.services = { service };
        return configuration;
    };
    store.put("config", "1");
    store.put("servers/i-1", testEntry("s", "none"));
    replicaClient.scripts[ReplicaId("i-1")] = { { .chunks = { "answer" }, .delay = 50s } };
    Gateway gateway { { context, timers, log, metrics, store, replicaClient, [](const RoutingConfiguration&) {}, nullptr, &platform }, { "config", "servers/", decode, decodeTestEntry }, { { DaemonId("d0"), AvailabilityZone("a"), { "127.0.0.1", 1 }, { "127.0.0.1", 0 } }, { {}, 3s, 5s } } };
    gateway.start();
    timers.advance(8s);
    CHECK(platform.calls.empty());
    std::array<FakeWriter, 8> writers;
    for (size_t i = 0; i < writers.size(); ++i) {
        RoutedRequest request;
        request.id = RequestId("q" + std::to_string(i));
        request.host = "h";
        request.forwarded = { "GET", "/x", {}, "" };
        request.arrival = timers.now();
        asio::co_spawn(context, gateway.handle(std::move(request), writers[i]), asio::detached);
    }
    timers.advance(3s);
    CHECK(platform.calls.empty() != isScaled);
    auto holder = store.items().at("chestnutroute/tasks/holder");
    for (const auto& call : platform.calls) {
        CHECK(call.authority == TaskAuthority { DaemonId("d0"), holder.createdAt });
        CHECK(call.order.service == ServiceId("s"));
    }
    asio::co_spawn(context, gateway.leave(timers.now() + 8s), asio::detached);
    timers.advance(3s);
    auto before = platform.calls.size();
    CHECK_FALSE(store.items().contains("chestnutroute/tasks/holder"));
    timers.advance(5s);
    CHECK(platform.calls.size() == before);
}
