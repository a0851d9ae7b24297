#include "GatewayDaemon.h"

#include "platform/Manifest.h"
#include "platform/Names.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <csignal>

namespace chestnut {

namespace {

    /** Requests still in progress this long before the end of the shutdown time are abandoned. The margin covers the delivery
        of the signal and the exit of the process. */
    constexpr Duration shutdownMargin = std::chrono::milliseconds(200);
    /** Part of the margin in which the abandoned requests get an error response. */
    constexpr Duration errorResponseTime = std::chrono::milliseconds(100);
    /** Longest wait until the counts of the last requests have been sent, and the part of the margin in which they still are. */
    constexpr Duration usageFlushTime = std::chrono::milliseconds(400);
    constexpr Duration usageMargin = std::chrono::milliseconds(50);
    /** Clients may use cached discovery responses for this long after this daemon announced that it leaves. */
    constexpr Duration discoveryExpiry = std::chrono::milliseconds(4700);
    constexpr Duration drainCheckPeriod = std::chrono::milliseconds(50);
    constexpr Duration errorCheckPeriod = std::chrono::milliseconds(10);

    /** Daemons send short requests without a body, and read a response for a few seconds. */
    HttpServerLimits peerApiLimits()
    {
        HttpServerLimits limits;
        limits.maximumHeader = 4 << 10;
        limits.maximumBody = 1 << 10;
        limits.maximumConnections = 64;
        limits.headerTimeout = std::chrono::seconds(2);
        limits.writeTimeout = std::chrono::seconds(5);
        return limits;
    }

    /** Part of the VM's memory for the responses that wait for slow readers. Buffers that grow may take twice their size. */
    constexpr size_t responseBufferDivisor = 8;

    std::shared_ptr<ByteBudget> makeResponseBuffers(uint32_t memoryMegabytes)
    {
        if (memoryMegabytes == 0)
            return nullptr;
        return std::make_shared<ByteBudget>((size_t { memoryMegabytes } << 20) / responseBufferDivisor);
    }

    GatewayFormats platformFormats()
    {
        return { std::string(platform::names::configurationKey), std::string(platform::names::replicaPrefix), platform::decodeManifest, platform::decodeServerEntry };
    }

} // namespace

GatewayDaemon::GatewayDaemon(asio::io_context& context, GatewayDaemonSettings settings, SettingsSource readSettings)
    : m_context(context)
    , m_settings(std::move(settings))
    , m_readSettings(std::move(readSettings))
    , m_timers(context)
    , m_log(LogFormat::Logfmt, m_settings.logLevel)
    , m_responseBuffers(makeResponseBuffers(m_settings.memoryMegabytes))
    , m_connectionPool(context, m_timers, {})
    , m_watchPool(context, m_timers, {})
    , m_store(m_connectionPool, m_watchPool, m_log, m_settings.store)
    , m_replicas(m_connectionPool, m_timers, m_log)
    , m_configurationClient(m_connectionPool)
    , m_tasks(makeTaskClient())
    , m_gateway({ context, m_timers, m_log, m_metrics, m_store, m_replicas, [this](const RoutingConfiguration& configuration) { applyLimits(configuration); }, m_settings.peerApiListener ? &m_configurationClient : nullptr, m_tasks.get(), m_responseBuffers }, platformFormats(), m_settings.gateway)
    , m_api(m_gateway, m_timers)
    , m_signals(context, SIGTERM, SIGINT, SIGHUP)
{
}

std::unique_ptr<platform::TaskClient> GatewayDaemon::makeTaskClient()
{
    return m_settings.tasks ? std::make_unique<platform::TaskClient>(m_connectionPool, m_timers, m_metrics, *m_settings.tasks) : nullptr;
}

std::unique_ptr<HttpServer> GatewayDaemon::makeServer(const Endpoint& endpoint, HttpHandler handler, const HttpServerLimits& limits)
{
    auto bounded = limits;
    bounded.responseBuffers = m_responseBuffers;
    auto server = std::make_unique<HttpServer>(m_context, m_log, endpoint, bounded, std::move(handler), platform::ClientApi::makeErrorResponse);
    server->start();
    return server;
}

void GatewayDaemon::start()
{
    m_log.write(EventId::DaemonStarted, { { "daemon", m_settings.gateway.self.id }, { "zone", m_settings.gateway.self.zone } });
    m_clientServer = makeServer(m_settings.clientListener, [this](HttpRequest request, HttpResponseWriter& writer) { return m_api.handleRequest(std::move(request), writer); });
    m_readinessServer = makeServer(m_settings.readinessListener, [this](HttpRequest request, HttpResponseWriter& writer) { return m_api.handleReadiness(std::move(request), writer); });
    m_discoveryServer = makeServer(m_settings.discoveryListener, [this](HttpRequest request, HttpResponseWriter& writer) { return m_api.handleDiscovery(std::move(request), writer); });
    if (m_settings.metricsListener) {
        m_metricsServer = makeServer(*m_settings.metricsListener, [this](HttpRequest, HttpResponseWriter& writer) -> asio::awaitable<void> {
            m_metrics.setGauge("chestnut_gateway_requests_in_progress", static_cast<double>(m_gateway.inProgress()));
            if (m_responseBuffers)
                m_metrics.setGauge("chestnut_response_buffer_bytes", static_cast<double>(m_responseBuffers->used()));
            m_metrics.setGauge("chestnut_replica_connections_opened", static_cast<double>(m_connectionPool.openedConnections()));
            (void)co_await writer.send({ 200, { { "Content-Type", "text/plain; version=0.0.4" } }, m_metrics.expose() });
        });
    }
    if (m_settings.peerApiListener)
        m_peerApiServer = makeServer(
            *m_settings.peerApiListener, [this](HttpRequest request, HttpResponseWriter& writer) { return m_gateway.handlePeer(std::move(request), writer); }, peerApiLimits());
    m_gateway.start();
    waitForSignal();
}

void GatewayDaemon::run()
{
    runEventLoop(m_context, m_log);
}

void GatewayDaemon::applyLimits(const RoutingConfiguration& configuration)
{
    HttpServerLimits limits;
    limits.maximumHeader = configuration.limits.maximumHeader;
    limits.maximumBody = configuration.limits.maximumBody;
    limits.headerTimeout = configuration.limits.headerTimeout;
    limits.idleTimeout = configuration.limits.idleTimeout;
    limits.responseBuffers = m_responseBuffers;
    m_clientServer->setLimits(limits);
}

void GatewayDaemon::waitForSignal()
{
    m_signals.async_wait([this](const boost::system::error_code& error, int signal) {
        if (error)
            return;
        if (signal == SIGHUP) {
            reloadSettings();
            waitForSignal();
            return;
        }
        asio::co_spawn(m_context, shutDown(*this), asio::detached);
    });
}

void GatewayDaemon::reloadSettings()
{
    auto settings = m_readSettings();
    if (!settings) {
        m_log.write(EventId::SettingsRefused, { { "signal", "SIGHUP" } });
        return;
    }
    m_settings.gateway.bounds = settings->gateway.bounds;
    m_settings.shutdownTimeout = settings->shutdownTimeout;
    m_settings.logLevel = settings->logLevel;
    m_gateway.setBounds(m_settings.gateway.bounds);
    m_log.setMinimumSeverity(m_settings.logLevel);
    // The remaining settings, such as listeners, take effect only at the next start.
    m_log.write(EventId::SettingsReloaded, { { "needs_restart", m_settings == *settings ? 0 : 1 } });
}

asio::awaitable<void> GatewayDaemon::shutDown(GatewayDaemon& daemon)
{
    auto endsAt = daemon.m_timers.now() + daemon.m_settings.shutdownTimeout - shutdownMargin;
    auto closesAt = std::min(endsAt, daemon.m_timers.now() + discoveryExpiry);
    daemon.m_log.write(EventId::DaemonLeaving, { { "daemon", daemon.m_settings.gateway.self.id }, { "in_progress", daemon.m_gateway.inProgress() } });
    co_await daemon.m_gateway.leave(endsAt);
    daemon.m_clientServer->closeAfterResponses();
    while (daemon.m_timers.now() < closesAt)
        co_await daemon.m_timers.sleep(drainCheckPeriod);
    daemon.m_clientServer->stopAccepting();
    // The open connections include requests that have not been read in full.
    while (daemon.m_clientServer->openConnections() > 0 && daemon.m_timers.now() < endsAt)
        co_await daemon.m_timers.sleep(std::min(drainCheckPeriod, endsAt - daemon.m_timers.now()));
    auto abandoned = daemon.m_gateway.inProgress();
    daemon.m_gateway.endRequests();
    while (daemon.m_gateway.inProgress() > 0 && daemon.m_timers.now() < endsAt + errorResponseTime)
        co_await daemon.m_timers.sleep(errorCheckPeriod);
    daemon.m_clientServer->endResponses();
    co_await daemon.m_gateway.flushUsage(std::min(usageFlushTime, endsAt + errorResponseTime + usageMargin - daemon.m_timers.now()));
    daemon.m_log.write(EventId::DaemonStopped, { { "daemon", daemon.m_settings.gateway.self.id }, { "in_progress", abandoned }, { "connections", daemon.m_clientServer->openConnections() } });
    daemon.m_context.stop();
}

} // namespace chestnut
