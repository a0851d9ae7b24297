#pragma once

#include "gateway/configuration/HttpConfigurationClient.h"
#include "GatewayDaemonSettings.h"
#include "http/http.h"
#include "kernel/kernel.h"
#include "kernel/timers/AsioTimerService.h"
#include "platform/ClientApi.h"
#include "platform/HttpReplicaClient.h"
#include "platform/StoreClient.h"

#include <boost/asio/signal_set.hpp>

namespace chestnut {

/** Assembles a gateway with the platform's adapters and runs it until a termination signal. */
class GatewayDaemon {
public:
    /** Reads the settings again; nothing when they are invalid. */
    using SettingsSource = std::function<std::optional<GatewayDaemonSettings>()>;

    GatewayDaemon(asio::io_context&, GatewayDaemonSettings, SettingsSource);

    /** Opens the listeners. Throws when an address cannot be bound. */
    void start();
    /** Returns when the daemon has stopped. */
    void run();

private:
    std::unique_ptr<platform::TaskClient> makeTaskClient();
    std::unique_ptr<HttpServer> makeServer(const Endpoint&, HttpHandler, const HttpServerLimits& = {});
    void applyLimits(const RoutingConfiguration&);
    void waitForSignal();
    void reloadSettings();
    static asio::awaitable<void> shutDown(GatewayDaemon&);

    asio::io_context& m_context;
    GatewayDaemonSettings m_settings;
    SettingsSource m_readSettings;
    AsioTimerService m_timers;
    ConsoleLog m_log;
    Metrics m_metrics;
    std::shared_ptr<ByteBudget> m_responseBuffers; /**< null where the memory of the VM is not configured */
    ConnectionPool m_connectionPool;
    ConnectionPool m_watchPool; /**< of the watches of the store */
    platform::StoreClient m_store;
    platform::HttpReplicaClient m_replicas;
    HttpConfigurationClient m_configurationClient;
    std::unique_ptr<platform::TaskClient> m_tasks; /**< null without a task platform */
    Gateway m_gateway;
    platform::ClientApi m_api;
    std::unique_ptr<HttpServer> m_clientServer;
    std::unique_ptr<HttpServer> m_readinessServer;
    std::unique_ptr<HttpServer> m_discoveryServer;
    std::unique_ptr<HttpServer> m_metricsServer;
    std::unique_ptr<HttpServer> m_peerApiServer;
    asio::signal_set m_signals;
};

} // namespace chestnut
