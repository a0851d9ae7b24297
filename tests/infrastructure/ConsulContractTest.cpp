#include "ConsulServer.h"
#include "infrastructure/infrastructure.h"
#include "infrastructure/testing/FakeKeyValueStore.h"
#include "kernel/timers/AsioTimerService.h"
#include "support/HttpFixture.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>

using namespace chestnut;
using namespace chestnut::test;
using namespace std::chrono_literals;

namespace {

/** The Consul clients connected to the simulated Consul server over loopback. */
struct ContractFixture {
    ContractFixture()
    {
        server.start();
        consul.setNodes({ { "vm1", "127.0.0.1", AvailabilityZone("a"), VmState::Live }, { "vm2", "127.0.0.2", AvailabilityZone("b"), VmState::Leaving } });
        PlatformSettings settings;
        settings.readsPerSecond = settings.writesPerSecond = settings.burst = 1000;
        client = std::make_shared<PlatformClient>(context.get_executor(), timers, log, metrics, makeHttpTransport(http, server.endpoint()), settings, 3);
        store = std::make_unique<ConsulKeyValueStore>(client);
    }

    template <typename T>
    T run(asio::awaitable<T> work)
    {
        return runToEnd(context, std::move(work));
    }

    int control(const std::string& path, const std::string& body)
    {
        return run(http.exchange(server.endpoint(), { "POST", path, {}, body }, {}))->status;
    }

    asio::io_context context;
    AsioTimerService timers { context };
    MemoryLog log;
    Metrics metrics;
    standin::ConsulServer consul { timers, {}, 1 };
    HttpServer server { context, log, { "127.0.0.1", 0 }, {}, consul.handler(), makeErrorResponse };
    HttpClient http { context, timers };
    std::shared_ptr<PlatformClient> client;
    std::unique_ptr<ConsulKeyValueStore> store;
};

struct FakeFixture : ContractFixture {
    FakeKeyValueStore fake { std::make_shared<KeyValueModel>(), timers };
};

/** Checks the behaviour that every KeyValueStore must have. */
void checkContract(ContractFixture& fixture, KeyValueStore& store)
{
    CHECK_FALSE(fixture.run(store.read("a/absent"))->entry.has_value());
    std::string value("bytes \0\xff end", 11);
    CHECK(fixture.run(store.compareAndSwap("a/k 1", value, 0)).value());
    CHECK_FALSE(fixture.run(store.compareAndSwap("a/k 1", "other", 0)).value());
    auto first = fixture.run(store.read("a/k 1")).value();
    REQUIRE(first.entry.has_value());
    CHECK(first.entry->value == value);
    CHECK(fixture.run(store.compareAndSwap("a/k 1", "new", first.entry->modifyIndex)).value());
    CHECK(fixture.run(store.wait("a/k 1", first.index, 1s))->entry->value == "new");

    CHECK(fixture.run(store.compareAndSwap("a/r", "1", 0)).value());
    auto removable = fixture.run(store.read("a/r"))->entry.value();
    CHECK_FALSE(fixture.run(store.removeIf("a/r", removable.modifyIndex + 1)).value());
    CHECK(fixture.run(store.removeIf("a/r", removable.modifyIndex)).value());
    CHECK_FALSE(fixture.run(store.read("a/r"))->entry.has_value());

    CHECK(fixture.run(store.transact({ { "a/t1", "1", 0 }, { "a/closed", "", 0, true } })).value());
    CHECK_FALSE(fixture.run(store.transact({ { "a/t2", "2", 0 }, { "a/t1", "", 0, true } })).value());
    auto index = fixture.run(store.read("a/t1"))->entry->modifyIndex;
    CHECK(fixture.run(store.transact({ { "a/t2", "2", 0 }, { "a/t1", "", index, true } })).value());
    CHECK(fixture.run(store.list("a/t"))->size() == 2);
    CHECK(fixture.run(store.remove("a/t1")).has_value());
    CHECK(fixture.run(store.removePrefix("a/")).has_value());
    CHECK(fixture.run(store.list("a/"))->empty());
}

/** Checks the rules of sessions: one holder, a lock index that increases, and release of the lock at the session's end. */
void checkSessions(ContractFixture& fixture, KeyValueStore& store)
{
    auto first = fixture.run(store.createSession(10s)).value();
    auto second = fixture.run(store.createSession(10s)).value();
    CHECK(fixture.run(store.acquire("lease", "d1", first)).value());
    CHECK(fixture.run(store.acquire("lease", "d1 again", first)).value());
    CHECK_FALSE(fixture.run(store.acquire("lease", "d2", second)).value());
    auto held = fixture.run(store.read("lease"))->entry.value();
    CHECK(held.session == first);
    CHECK(held.lockIndex == 1);
    CHECK(fixture.run(store.renewSession(first)).has_value());
    CHECK(fixture.run(store.destroySession(first)).has_value());
    CHECK(fixture.run(store.renewSession(first)).error().kind == ErrorKind::NotFound);
    CHECK(fixture.run(store.acquire("lease", "d2", second)).value());
    CHECK(fixture.run(store.read("lease"))->entry->lockIndex == 2);
    CHECK_FALSE(fixture.run(store.release("lease", "", first)).value());
    CHECK(fixture.run(store.release("lease", "free", second)).value());
    CHECK(fixture.run(store.read("lease"))->entry->session.empty());
}

} // namespace

// Guards against a fake that behaves differently from the Consul client, which would invalidate the tests that use it.
TEST_CASE("ConsulKeyValueStore and FakeKeyValueStore follow the same contract")
{
    FakeFixture fixture;
    checkContract(fixture, *fixture.store);
    checkContract(fixture, fixture.fake);
    checkSessions(fixture, *fixture.store);
    checkSessions(fixture, fixture.fake);
}

// Guards against a write that is reported as not executed although it was, and against an outage that is not detected.
TEST_CASE("a lost response is reported as PlatformAnswerLost, and an outage stops calls")
{
    ContractFixture fixture;
    REQUIRE(fixture.control("/control/faults", R"({"lose_next":1})") == 200);
    CHECK(fixture.run(fixture.store->compareAndSwap("k", "v", 0)).error().kind == ErrorKind::PlatformAnswerLost);
    CHECK(fixture.run(fixture.store->read("k"))->entry->value == "v");
    REQUIRE(fixture.control("/control/faults", R"({"outage":true})") == 200);
    CHECK(fixture.run(fixture.store->compareAndSwap("k2", "v", 0)).error().kind == ErrorKind::PlatformAnswerLost);
    CHECK(fixture.run(fixture.store->read("k")).error().kind == ErrorKind::PlatformUnavailable);
    CHECK(fixture.client->isInOutage());
    CHECK(fixture.run(fixture.store->compareAndSwap("k3", "v", 0)).error().kind == ErrorKind::PlatformUnavailable);
    REQUIRE(fixture.control("/control/faults", "{\"outage\":1}") == 400);
    auto counts = fixture.run(fixture.http.exchange(fixture.server.endpoint(), { "GET", "/control/counts", {}, "" }, {}));
    CHECK(counts->body.find("\"kv_cas\":2") != std::string::npos);
}

// Guards against lost states or zones in the VM list, and against a simulated lag that has no effect.
TEST_CASE("the VM list has states and zones, and lags as configured")
{
    ContractFixture fixture;
    ConsulVmList list(fixture.client);
    auto vms = fixture.run(list.fetch()).value();
    REQUIRE(vms.size() == 2);
    CHECK(vms[1] == Vm { "vm2", "127.0.0.2", AvailabilityZone("b"), VmState::Leaving });
    REQUIRE(fixture.control("/control/faults", R"({"vm_list_lag_ms":60000})") == 200);
    REQUIRE(fixture.control("/control/nodes", R"([{"id":"vm3","address":"127.0.0.3","zone":"c"}])") == 200);
    CHECK(fixture.run(list.fetch())->size() == 2);
    REQUIRE(fixture.control("/control/faults", R"({"vm_list_lag_ms":0})") == 200);
    CHECK(fixture.run(list.fetch())->size() == 1);
}

namespace {

asio::awaitable<void> serveWeights(HttpRequest request, HttpResponseWriter& writer)
{
    HttpResponse response;
    if (request.path() == "/limited")
        response = { 429, { { "Retry-After", "7" } }, "" };
    else if (request.path() != "/model")
        response.status = 404;
    else
        response.body = std::string(1234, 'x');
    co_await writer.send(std::move(response));
}

} // namespace

// Guards against ignoring the store's rate limit, and against an absent object that is reported as an empty one.
TEST_CASE("the weight store returns sizes, NotFound and retry delays")
{
    ContractFixture fixture;
    HttpServer weights(fixture.context, fixture.log, { "127.0.0.1", 0 }, {}, serveWeights, makeErrorResponse);
    weights.start();
    HttpWeightStore store(fixture.http, weights.endpoint());
    CHECK(fixture.run(store.objectSize("model")).value() == 1234);
    CHECK(fixture.run(store.objectSize("absent")).error().kind == ErrorKind::NotFound);
    auto limited = fixture.run(store.objectSize("limited"));
    CHECK(limited.error().kind == ErrorKind::Overloaded);
    CHECK(limited.error().retryAfter == 7s);
}
