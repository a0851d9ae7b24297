#pragma once

#include "gateway/Fakes.h"

namespace chestnut {

/** The relaying parts of a gateway with fake replicas and virtual time. */
class GatewayFixture {
public:
    GatewayFixture()
    {
        replicaClient.onNotice([this](const ReplicaNotice& notice) { replicas.applyNotice(notice); });
        replicas.start();
        settle();
    }

    /** Adds a replica and waits until the directory lists it. */
    void addReplica(const std::string& id, const std::string& service, const std::string& stage, const std::string& zone = "a", const std::string& version = "")
    {
        store.put("servers/" + id, testEntry(service, stage, zone) + (version.empty() ? "" : " version=" + version));
        settle();
    }

    /** Removes a replica and waits until the directory does not list it. */
    void removeReplica(const std::string& id)
    {
        store.erase("servers/" + id);
        settle();
    }

    void settle() { timers.advance(std::chrono::milliseconds(700)); }

    Route route(RouteKind kind, uint32_t attempts, bool isResumable = false) const
    {
        Route result;
        result.name = "r";
        result.host = "h";
        result.prefix = "/";
        result.kind = kind;
        result.timeout = std::chrono::seconds(2);
        result.latencyObjective = std::chrono::milliseconds(150);
        result.shares = { { ServiceId("s"), 1 } };
        result.maximumAttempts = attempts;
        result.isResumable = isResumable;
        return result;
    }

    /** Starts a request; `writer` records its response. */
    void start(Route newRoute, HttpResponseWriter& writer, std::optional<PromptShape> prompt = {})
    {
        asio::co_spawn(context, serve(std::move(newRoute), writer, std::move(prompt)), asio::detached);
    }

    asio::awaitable<void> serve(Route newRoute, HttpResponseWriter& writer, std::optional<PromptShape> prompt)
    {
        RoutingConfiguration configuration;
        configuration.version = 1;
        configuration.routes = otherRoutes;
        configuration.routes.push_back(std::move(newRoute));
        auto table = std::make_shared<const RouteTable>(std::move(configuration));
        RoutedRequest request;
        request.id = RequestId("q" + std::to_string(++m_requests));
        request.host = "h";
        request.forwarded = { "POST", "/x", {}, body };
        request.prompt = std::move(prompt);
        request.arrival = timers.now();
        request.account = account;
        request.resumption = resumption;
        budgets.addRequest(ServiceId("s"));
        rateLimiter.recordDemand(ServiceId("s"));
        auto isGeneration = request.prompt.has_value();
        auto relay = std::make_shared<RelayContext>(services, std::move(request), table, *table->find("h", "/x"), ServiceId("s"));
        relay->abortOnDisconnectOrDeadline(writer);
        if (isGeneration)
            co_await generate(relay, writer);
        else
            co_await relayPlain(relay, writer);
    }

    /** Runs a request to completion. */
    void runRequest(Route newRoute, FakeWriter& writer, std::optional<PromptShape> prompt = {}, Duration time = std::chrono::seconds(4))
    {
        start(std::move(newRoute), writer, std::move(prompt));
        timers.advance(time);
    }

    /** Records completed calls, from which the speed of the engines is known. */
    void recordCalls(double tokensPerMillisecond, Duration firstEvent, Duration occupancy)
    {
        ServiceId service("s");
        for (int i = 1; i <= 6; ++i) {
            speeds.recordPrefill(service, 1000 * i, fromSeconds(i / tokensPerMillisecond));
            speeds.recordFirstEvent(service, firstEvent);
            speeds.recordEventGap(service, firstEvent);
            speeds.recordOccupancy(service, occupancy);
        }
    }

    static PromptShape longPrompt() { return { "m", 9000, 2, { { 1, 6000 }, { 2, 3000 } } }; }

    std::string body = "body"; /**< of the next request */
    std::vector<Route> otherRoutes; /**< of other hosts, in the configuration of the next request */
    std::optional<RequestAccount> account; /**< of the next request */
    std::optional<StreamResumption> resumption; /**< of the next request */
    asio::io_context context;
    VirtualTimerService timers { context };
    MemoryLog log;
    Metrics metrics;
    bool isStoreUnavailable = false; /**< result of the registration renewal */
    std::optional<TimePoint> unreachableUntil; /**< when a renewal last failed before the present successful ones */
    FakeVersionedStore store { timers };
    FakeReplicaClient replicaClient { timers };
    std::shared_ptr<LoadTracker> loadTracker = std::make_shared<LoadTracker>(timers, log);
    SpeedTracker speeds { timers };
    std::shared_ptr<StreamProgress> streams = std::make_shared<StreamProgress>();
    CrashTracker crashTracker { timers };
    ReplicaDirectory replicas { context, store, timers, log, loadTracker, "servers/", decodeTestEntry, [] { return std::chrono::milliseconds(400); }, [this] { return isStoreUnavailable ? timers.now() : unreachableUntil; } };
    std::shared_ptr<StoreMirror> ownKeys = std::make_shared<StoreMirror>(context, store, timers, log, "chestnutroute/", [] { return Duration::zero(); });
    DaemonDirectory daemons { context, store, timers, log, ownKeys, { DaemonId("d0"), AvailabilityZone("a"), { "10.0.0.9", 1 }, { "10.0.0.9", 2 } }, [] {} };
    RetryBudgets budgets { timers, daemons, { 0.2, 20, std::chrono::seconds(10) } };
    RateLimiter rateLimiter { timers, [] { return 1U; }, 1 };
    RelayServices services { context, timers, log, metrics, replicaClient, replicas, loadTracker, speeds, streams, crashTracker, budgets, rateLimiter, AvailabilityZone("a"), std::chrono::milliseconds(1500) };

private:
    static asio::awaitable<void> generate(RelayPointer relay, HttpResponseWriter& writer)
    {
        GenerationRelay generation(std::move(relay), writer);
        co_await generation.run();
    }

    int m_requests = 0;
};

} // namespace chestnut
