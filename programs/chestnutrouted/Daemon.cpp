#include "Daemon.h"

#include "claims/claims.h"
#include "decisions/decisions.h"
#include "kernel/logging/ConsoleLog.h"
#include "kernel/timers/AsioTimerService.h"
#include "operations/operations.h"
#include "peers/peers.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <csignal>
#include <random>

namespace chestnut {

namespace {

    constexpr Duration readinessPeriod = std::chrono::milliseconds(200);
    constexpr Duration connectionCheckPeriod = std::chrono::milliseconds(50);

    uint64_t randomSeed()
    {
        std::random_device device;
        return (static_cast<uint64_t>(device()) << 32) | device();
    }

    Incarnation makeIncarnation()
    {
        auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
        return static_cast<Incarnation>(std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count());
    }

} // namespace

Daemon::Daemon(asio::io_context& context, DaemonSettings settings)
    : m_context(context)
    , m_settings(std::move(settings))
    , m_incarnation(makeIncarnation())
    , m_client(context, m_serviceRegistry.emplace<AsioTimerService>(context))
    , m_signals(context, SIGTERM, SIGINT)
{
    m_serviceRegistry.emplace<ConsoleLog>(m_settings.logFormat, m_settings.logLevel);
    m_serviceRegistry.emplace<Metrics>();
    addPlatform();
    addPeers();
    addControl();
    addFrontend();
}

void Daemon::addPlatform()
{
    auto transport = makeHttpTransport(m_client, m_settings.platform.endpoint);
    auto client = std::make_shared<PlatformClient>(m_context.get_executor(), service<TimerService>(), service<Log>(), service<Metrics>(),
        std::move(transport), m_settings.platform, randomSeed());
    m_serviceRegistry.emplace<ConsulKeyValueStore>(client);
    m_serviceRegistry.emplace<ConsulVmList>(client);
}

void Daemon::addPeers()
{
    NngPeerOptions options;
    options.deployment = m_settings.deployment;
    options.id = m_settings.id;
    options.zone = m_settings.zone;
    options.region = m_settings.region;
    options.callerAddress = formatEndpoint(m_settings.callerListener);
    options.listenAddress = m_settings.peerListener;
    options.seeds = m_settings.peerSeeds;
    options.incarnation = m_incarnation;
    options.randomSeed = randomSeed();
    m_serviceRegistry.emplace<NngPeerService>(m_context, service<TimerService>(), service<Log>(), service<Metrics>(), std::move(options),
        [this] { return peersFromVmList(); });
}

void Daemon::addControl()
{
    auto& store = service<KeyValueStore>();
    auto& peers = service<PeerService>();
    auto& timers = service<TimerService>();
    auto& log = service<Log>();
    auto& configuration = m_serviceRegistry.emplace<StoredConfigurationService>(m_context, store, peers, timers, log);
    m_serviceRegistry.emplace<HttpEngineClient>(m_client);
    m_serviceRegistry.emplace<HttpBackendServerClient>(m_client);
    auto& fleet = m_serviceRegistry.emplace<ReplicaFleet>(m_context, configuration, service<VmList>(), store, peers, timers, log);
    auto& leases = m_serviceRegistry.emplace<LeaseService>(m_context, store, peers, configuration, timers, log);
    auto& orders = m_serviceRegistry.emplace<OrderService>(m_context,
        OrderDependencies { store, service<EngineClient>(), peers, configuration, leases, fleet, timers, log });
    m_serviceRegistry.emplace<RecordCleaner>(m_context, store, configuration, leases, timers, log);
    auto& status = m_serviceRegistry.emplace<FleetStatusService>(m_context, orders, peers, timers);
    auto& tickets = m_serviceRegistry.emplace<TicketService>(store, timers, log,
        [&configuration](Configuration accepted) { configuration.applyIfNewer(std::move(accepted)); });
    m_serviceRegistry.emplace<OperatorApi>(OperatorDependencies { tickets, configuration, status, fleet, peers, log, service<Metrics>(),
        [this] { return isReady(); } });
}

void Daemon::addFrontend()
{
    auto& claims = m_serviceRegistry.emplace<SharedClaimService>(
        ClaimDependencies { m_context.get_executor(), service<KeyValueStore>(), service<TimerService>(), service<Log>(), service<Metrics>() },
        service<PeerService>(), randomSeed());
    FrontendSettings settings;
    settings.locality.self = m_settings.id;
    settings.locality.zone = m_settings.zone;
    settings.locality.region = m_settings.region;
    settings.seed = randomSeed();
    auto& fleet = m_serviceRegistry.require<FleetService>(FleetService::serviceName);
    ReplicaStatusSource statusSource { [&fleet](const ReplicaId& id) { return fleet.acceptsNewWork(id); },
        [&fleet](const ReplicaId& id) { return fleet.slowStartShare(id); },
        [&fleet](const ReplicaId& id) { return fleet.roleOf(EngineId(id.value())); } };
    auto& frontend = m_serviceRegistry.emplace<Frontend>(FrontendServices { m_context, service<TimerService>(), service<Log>(), service<Metrics>(),
                                                             service<ConfigurationService>(), claims, service<PeerService>(), service<EngineClient>(), service<BackendServerClient>() },
        std::move(settings), std::move(statusSource));
    m_serviceRegistry.emplace<RoleController>(service<OrderService>(), service<ConfigurationService>(), service<TimerService>(), service<Log>(),
        RoleDecisions { smoothedDemand, decideRoleChange }, [&frontend](const EngineGroupId& group) { return frontend.demandOf(group); });
}

void Daemon::openCallerListener()
{
    auto& frontend = service<Frontend>();
    m_callerListener = std::make_unique<HttpServer>(
        m_context, service<Log>(), m_settings.callerListener, m_settings.callerLimits,
        [&frontend](HttpRequest request, HttpResponseWriter& writer) { return frontend.handle(std::move(request), writer); },
        [](const Error& error) { return Frontend::makeErrorResponse(error); });
    m_callerListener->start();
}

void Daemon::start()
{
    auto& log = service<Log>();
    log.write(EventId::DaemonStarted, { { "daemon", m_settings.id }, { "incarnation", m_incarnation }, { "zone", m_settings.zone } });
    service<OperatorApi>().listen(m_context, m_settings.operatorListener);
    openCallerListener();
    m_serviceRegistry.start();
    m_readinessTimer = service<TimerService>().every(readinessPeriod, [this] { updateReadiness(); });
    if (m_settings.vmPeerPort != 0) {
        m_vmListTimer = service<TimerService>().every(m_settings.vmListPeriod,
            [this] { asio::co_spawn(m_context, refreshVmList(*this), asio::detached); });
    }
    m_signals.async_wait([this](const boost::system::error_code& error, int) {
        if (!error)
            asio::co_spawn(m_context, shutDown(*this), asio::detached);
    });
}

void Daemon::run()
{
    runEventLoop(m_context, service<Log>());
}

bool Daemon::isReady() const
{
    return !m_isLeaving && service<ConfigurationService>().isReady();
}

void Daemon::updateReadiness()
{
    if (m_isReadyAnnounced || !isReady())
        return;
    m_isReadyAnnounced = true;
    service<PeerService>().announceState(MemberState::Ready);
    service<Log>().write(EventId::DaemonReady, { { "daemon", m_settings.id }, { "revision", service<ConfigurationService>().current()->revision } });
}

std::vector<Endpoint> Daemon::peersFromVmList() const
{
    return m_vmPeers;
}

asio::awaitable<void> Daemon::refreshVmList(Daemon& daemon)
{
    auto vms = co_await daemon.service<VmList>().fetch();
    if (!vms)
        co_return;
    daemon.m_vmPeers.clear();
    for (const auto& vm : *vms) {
        if (vm.state == VmState::Live)
            daemon.m_vmPeers.push_back({ vm.address, daemon.m_settings.vmPeerPort });
    }
}

asio::awaitable<void> Daemon::shutDown(Daemon& daemon)
{
    auto& log = daemon.service<Log>();
    log.write(EventId::DaemonLeaving, { { "daemon", daemon.m_settings.id }, { "in_progress", daemon.service<Frontend>().inProgress() } });
    daemon.m_isLeaving = true;
    auto deadline = daemon.service<TimerService>().once(daemon.m_settings.shutdownTimeout, [&daemon] { daemon.exitAtOnce(); });
    co_await daemon.m_serviceRegistry.stop();
    daemon.m_callerListener->stopAccepting();
    // Requests that are queued or have been read in part are refused.
    while (daemon.m_callerListener->openConnections() > 0)
        co_await daemon.service<TimerService>().sleep(connectionCheckPeriod);
    daemon.exitAtOnce();
}

void Daemon::exitAtOnce()
{
    m_callerListener->endResponses();
    service<Log>().write(EventId::DaemonStopped, { { "daemon", m_settings.id }, { "in_progress", service<Frontend>().inProgress() } });
    m_context.stop();
}

} // namespace chestnut
