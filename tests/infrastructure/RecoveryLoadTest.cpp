#include "infrastructure/infrastructure.h"
#include "infrastructure/testing/KeyValueModel.h"
#include "kernel/timers/VirtualTimerService.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>
#include <map>

using namespace chestnut;
using namespace std::chrono_literals;

namespace {

constexpr int clients = 330;
constexpr unsigned serviceReads = 2000; // a second; rate limit of the key-value service
constexpr unsigned serviceWrites = 400; // a second; rate limit of the key-value service
constexpr Duration claimWritePeriod = 100ms; // of one shard

/** A simulated key-value service that counts the calls of all clients in each second. */
struct LoadedService {
    KeyValueModel model;
    bool isDown = false;
    std::map<int64_t, unsigned> reads; // by second
    std::map<int64_t, unsigned> writes;

    void reset()
    {
        reads.clear();
        writes.clear();
    }

    static unsigned peak(const std::map<int64_t, unsigned>& seconds)
    {
        unsigned most = 0;
        for (const auto& [second, count] : seconds)
            most = std::max(most, count);
        return most;
    }
};

asio::awaitable<Result<HttpResponse>> serve(LoadedService& service, TimerService& timers, HttpRequest request)
{
    auto second = std::chrono::duration_cast<std::chrono::seconds>(timers.now().time_since_epoch()).count();
    bool isWrite = request.method == "PUT";
    ++(isWrite ? service.writes : service.reads)[second];
    co_await timers.sleep(2ms);
    if (service.isDown)
        co_return makeError(ErrorKind::ConnectFailed, "refused");
    if (isWrite)
        service.model.put(request.target, "value");
    else
        service.model.read(request.target);
    co_return HttpResponse { 200, {}, "true" };
}

/** Repeats a call with a pause in between, whatever its result. */
asio::awaitable<void> repeat(std::shared_ptr<PlatformClient> client, TimerService& timers, bool isWrite, std::string target, Duration pause, Duration start)
{
    co_await timers.sleep(start);
    while (true) {
        PlatformCall call { isWrite ? "kv_cas" : "kv_read", { isWrite ? "PUT" : "GET", target, {}, "" }, isWrite, {} };
        co_await client->call(std::move(call));
        co_await timers.sleep(pause);
    }
}

struct LoadFixture {
    explicit LoadFixture(const PlatformSettings& settings)
    {
        for (int i = 0; i < clients; ++i) {
            auto transport = [this](HttpRequest request, Duration) { return serve(service, timers, std::move(request)); };
            platformClients.push_back(std::make_shared<PlatformClient>(context.get_executor(), timers, log, metrics, transport, settings, i));
        }
    }

    void addDemand(int client, bool isWrite, const std::string& name, Duration pause)
    {
        auto target = "/v1/kv/" + name + "/" + std::to_string(client);
        // The daemons start their calls at different times.
        auto start = pause * (client * 37 % clients) / clients;
        asio::co_spawn(context, repeat(platformClients[client], timers, isWrite, target, pause, start), asio::detached);
    }

    void runOutageAndRecovery()
    {
        timers.advance(30s);
        service.isDown = true;
        timers.advance(2min);
        service.reset();
        service.isDown = false;
        timers.advance(60s);
    }

    asio::io_context context;
    VirtualTimerService timers { context };
    MemoryLog log;
    Metrics metrics;
    LoadedService service;
    std::vector<std::shared_ptr<PlatformClient>> platformClients;
};

} // namespace

// Guards against an overload of the service by the calls of all daemons as soon as it has recovered.
TEST_CASE("330 daemons with unlimited demand stay below the service's rate limits after an outage")
{
    PlatformSettings settings;
    settings.readsPerSecond = 5;
    settings.writesPerSecond = 1;
    settings.burst = 5;
    LoadFixture fixture(settings);
    for (int client = 0; client < clients; ++client) {
        for (int caller = 0; caller < 4; ++caller) {
            fixture.addDemand(client, false, "r" + std::to_string(caller), 200ms);
            fixture.addDemand(client, true, "w" + std::to_string(caller), 200ms);
        }
    }
    fixture.runOutageAndRecovery();
    auto reads = LoadedService::peak(fixture.service.reads);
    auto writes = LoadedService::peak(fixture.service.writes);
    MESSAGE("unlimited demand: at most " << reads << " reads/s and " << writes << " writes/s after recovery");
    CHECK(reads < serviceReads);
    CHECK(writes < serviceWrites);
    CHECK(writes > serviceWrites / 2); // the demand does use up the rate limit
}

// Guards against rate limits too low for the target rate of claims: 16 daemons write 10 records/s each.
TEST_CASE("the demand at the target load stays below the service's rate limits after an outage")
{
    PlatformSettings settings;
    settings.readsPerSecond = 5;
    settings.writesPerSecond = 12;
    settings.burst = 5;
    LoadFixture fixture(settings);
    for (int client = 0; client < clients; ++client) {
        fixture.addDemand(client, false, "vm_list", 2s);
        fixture.addDemand(client, false, "orders", 30s);
        if (client < 16)
            fixture.addDemand(client, true, "claims", claimWritePeriod);
        if (client >= 16 && client < 56) { // holders of 40 engine groups
            fixture.addDemand(client, true, "session", 3s);
            fixture.addDemand(client, true, "lease", 1s);
            fixture.addDemand(client, false, "lease", 1s);
        }
    }
    fixture.runOutageAndRecovery();
    auto reads = LoadedService::peak(fixture.service.reads);
    auto writes = LoadedService::peak(fixture.service.writes);
    MESSAGE("target load: at most " << reads << " reads/s and " << writes << " writes/s after recovery");
    CHECK(reads < serviceReads);
    CHECK(writes < serviceWrites);
}
