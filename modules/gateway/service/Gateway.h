#pragma once

#include "decisions/drains/Shutdown.h"
#include "decisions/usage/UsageWindow.h"
#include "gateway/accounts/AccountMetrics.h"
#include "gateway/accounts/AccountUseTracker.h"
#include "gateway/blocks/BlockDirectory.h"
#include "gateway/configuration/ConfigurationApi.h"
#include "gateway/configuration/ConfigurationExchange.h"
#include "gateway/leases/FencedLease.h"
#include "gateway/members/LoadExchange.h"
#include "gateway/requests/RelayContext.h"
#include "gateway/roles/RoleManager.h"
#include "gateway/scaling/ScalingManager.h"
#include "gateway/service/RoutingSource.h"
#include "gateway/streams/StreamRecords.h"
#include "gateway/tasks/TaskPlatform.h"
#include "gateway/usage/UsageExchange.h"
#include "gateway/usage/UsageReporter.h"

namespace chestnut {

/** The store keys of the gateway's state and the decoders of their values. */
struct GatewayFormats {
    std::string configurationKey;
    std::string replicaPrefix;
    RoutingConfigurationDecoder decodeConfiguration;
    ReplicaEntryDecoder decodeReplica;
};

/** Settings that may change while the daemon runs. */
struct GatewayBounds {
    ServiceRetryLimits retryBudget;
    Duration takeoverWait = std::chrono::seconds(3); /**< of both leases */
    Duration longestDiscoveryValidity = std::chrono::seconds(5);
    Duration soundSilence = std::chrono::milliseconds(1500); /**< longest silence of a sound engine in the middle of a stream */

    bool operator==(const GatewayBounds&) const = default;
};

struct GatewaySettings {
    DaemonRecord self;
    GatewayBounds bounds;
    std::optional<UsageWindows> usage; /**< absent: no usage is reported */

    bool operator==(const GatewaySettings&) const = default;
};

struct GatewayDependencies {
    asio::io_context& context;
    TimerService& timers;
    Log& log;
    Metrics& metrics;
    VersionedStore& store;
    ReplicaClient& replicaClient;
    std::function<void(const RoutingConfiguration&)> onConfiguration; /**< called after each change */
    ConfigurationClient* configurationClient = nullptr; /**< null: configurations come from the store alone */
    TaskPlatform* taskPlatform = nullptr; /**< null: this daemon runs no singleton tasks */
    std::shared_ptr<ByteBudget> responseBuffers; /**< of responses whose clients read slowly; may be null */
};

/** A discovery response: the daemons that clients may connect to. */
struct DiscoveryList {
    std::vector<Endpoint> addresses;
    Duration validity {};
};

/** Routes requests by host and path to the replicas of a service, for deployments whose configuration, replicas and daemons
    are listed in one store. */
class Gateway : public Service {
public:
    static constexpr std::string_view serviceName = "gateway";
    std::string_view name() const final { return serviceName; }

    Gateway(GatewayDependencies, GatewayFormats, GatewaySettings);

    void start() override;

    /** Replaces the bounds. A takeover wait that has started keeps its duration. */
    void setBounds(const GatewayBounds&);

    /** Starts the shutdown: deregisters this daemon, so that clients use others. Requests are still served, except those that
        could or are expected to last beyond `endsAt`; see mayStart(). */
    asio::awaitable<void> leave(TimePoint endsAt);

    /** Sends the last counts of requests to the daemon that reports them, and waits until it has them. */
    asio::awaitable<void> flushUsage(Duration longestWait);

    /** Ends the requests in progress as at their deadlines; those without a response get an error. */
    void endRequests();

    /** Handles one request. */
    asio::awaitable<void> handle(RoutedRequest, HttpResponseWriter&);

    /** Handles a request of another daemon for the configuration; see ConfigurationApi. */
    asio::awaitable<void> handlePeer(HttpRequest, HttpResponseWriter&);

    bool isReady() const;
    DiscoveryList discover(const AvailabilityZone&) const;
    size_t inProgress() const { return m_inProgress; }

private:
    /** How long a stream may be resumed after it has begun. */
    Duration streamLifetime() const;
    std::unique_ptr<FencedLease> makeTaskLease();
    void addUsage();
    asio::awaitable<void> stopTasks();
    std::unique_ptr<ScalingManager> makeScaling();
    Duration pauseOfOwnKeys() const;
    void onNotice(const ReplicaNotice&);
    void restartWatches();
    void onStoreRestored();
    asio::awaitable<void> relay(RoutedRequest, HttpResponseWriter&);
    asio::awaitable<void> refuse(const RequestId&, Error, HttpResponseWriter&);
    /** Serves a request that its account, if it has one, may send. */
    asio::awaitable<void> serve(RoutedRequest, std::shared_ptr<const RouteTable>, const Route&, const ServiceId&, HttpResponseWriter&);
    /** Serves the request of an account, or refuses it when the account exceeds its share of a service that is short of capacity. */
    asio::awaitable<void> serveAccount(RoutedRequest, std::shared_ptr<const RouteTable>, const Route&, const ServiceId&, HttpResponseWriter&);

    GatewayDependencies m_dependencies;
    GatewaySettings m_settings;
    std::shared_ptr<LoadTracker> m_loadTracker;
    SpeedTracker m_speeds;
    std::shared_ptr<StreamProgress> m_streams = std::make_shared<StreamProgress>();
    CrashTracker m_crashTracker;
    std::shared_ptr<StoreMirror> m_ownKeys;
    std::shared_ptr<DaemonDirectory> m_daemons;
    BlockDirectory m_blocks;
    ReplicaDirectory m_replicas;
    RoutingSource m_routing;
    DefaultVersions m_defaultVersions;
    StreamRecords m_streamRecords;
    ConfigurationApi m_configurationApi;
    ConfigurationExchange m_versions;
    RetryBudgets m_budgets;
    RateLimiter m_rateLimiter;
    LoadExchange m_exchange;
    RoleManager m_roles;
    std::unique_ptr<FencedLease> m_taskLease; /**< null without a task platform */
    /** Null where no usage is reported. */
    std::unique_ptr<UsageMeter> m_usageMeter;
    std::unique_ptr<UsageExchange> m_usageExchange;
    std::unique_ptr<UsageReporter> m_usageReporter;
    std::unique_ptr<ScalingManager> m_scaling; /**< null without a task platform */
    RelayServices m_relayServices;
    AccountMetrics m_accountMetrics;
    AccountUseTracker m_accountUse;
    size_t m_inProgress = 0;
    std::shared_ptr<std::set<RelayPointer>> m_requests = std::make_shared<std::set<RelayPointer>>(); /**< in progress */
    std::optional<ShutdownPlan> m_shutdown; /**< set when the shutdown starts */
};

} // namespace chestnut
