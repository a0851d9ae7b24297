#include "gateway/service/Gateway.h"

#include "gateway/accounts/Authentication.h"
#include "gateway/accounts/StatusRecorder.h"
#include "gateway/requests/GenerationRelay.h"
#include "gateway/requests/PlainRelay.h"

#include "base/digest/Digest.h"

#include <algorithm>

namespace chestnut {

namespace {

    /** Clients cache a discovery response for this long. It is short because some cache it three times as long and a daemon
        that shuts down has to wait for that. */
    constexpr Duration discoveryValidity = std::chrono::milliseconds(1500);

    /** Names the daemon that runs the singleton tasks. */
    constexpr std::string_view taskHolderKey = "chestnutroute/tasks/holder";
    /** Prefix of the keys of the daemons and of the leases on engine orders and singleton tasks. */
    /** The client's attempts at one stream, each of which may last as long as the timeout of its route. */
    constexpr int attemptsOfStream = 2;
    constexpr Duration shortestStreamLifetime = std::chrono::seconds(30);
    constexpr std::string_view ownKeyPrefix = "chestnutroute/";
    /** Pauses between two watches. Replicas and daemons change in bursts at a cold start or a release, each change ends the
        watches of all daemons, and each watch is a billed call. */
    constexpr Duration replicasPause = std::chrono::milliseconds(400);
    constexpr Duration ownKeysPause = std::chrono::seconds(1);
    /** The pause while collectors report the changes; limits the delay of changes that they failed to report. */
    constexpr Duration memberPause = std::chrono::seconds(10);

    /** Retry-After of a request beyond its account's share. The shares follow the demand within this time. */
    constexpr std::chrono::milliseconds accountRetryAfter { 1000 };

    Error accountLimitError()
    {
        auto error = makeError(ErrorKind::AccountLimit, "the service is short of capacity, and the account exceeds its share");
        error.retryAfter = accountRetryAfter;
        return error;
    }

    /** Counts a request in progress. */
    class InProgressCounter {
    public:
        explicit InProgressCounter(size_t& count)
            : m_count(count)
        {
            ++m_count;
        }
        InProgressCounter(const InProgressCounter&) = delete;
        InProgressCounter& operator=(const InProgressCounter&) = delete;
        ~InProgressCounter() { --m_count; }

    private:
        size_t& m_count;
    };

    /** Lists a request for the lifetime of this object, which may exceed that of the gateway. */
    class RequestGuard {
    public:
        RequestGuard(std::shared_ptr<std::set<RelayPointer>> requests, RelayPointer request)
            : m_requests(std::move(requests))
            , m_request(std::move(request))
        {
            m_requests->insert(m_request);
        }
        RequestGuard(const RequestGuard&) = delete;
        RequestGuard& operator=(const RequestGuard&) = delete;
        ~RequestGuard() { m_requests->erase(m_request); }

    private:
        std::shared_ptr<std::set<RelayPointer>> m_requests;
        RelayPointer m_request;
    };

} // namespace

Gateway::Gateway(GatewayDependencies dependencies, GatewayFormats formats, GatewaySettings settings)
    : m_dependencies(std::move(dependencies))
    , m_settings(std::move(settings))
    , m_loadTracker(std::make_shared<LoadTracker>(m_dependencies.timers, m_dependencies.log))
    , m_speeds(m_dependencies.timers)
    , m_crashTracker(m_dependencies.timers, hash64(m_settings.self.id.value()))
    , m_ownKeys(std::make_shared<StoreMirror>(m_dependencies.context, m_dependencies.store, m_dependencies.timers, m_dependencies.log, std::string(ownKeyPrefix), [this] { return pauseOfOwnKeys(); }))
    , m_daemons(std::make_shared<DaemonDirectory>(m_dependencies.context, m_dependencies.store, m_dependencies.timers, m_dependencies.log, m_ownKeys, m_settings.self, [this] { restartWatches(); }))
    , m_blocks(m_dependencies.context, m_dependencies.store, m_dependencies.timers, m_dependencies.log, m_ownKeys, m_crashTracker, [daemons = m_daemons] { return daemons->activeDaemons(); })
    , m_replicas(
          m_dependencies.context, m_dependencies.store, m_dependencies.timers, m_dependencies.log, m_loadTracker, std::move(formats.replicaPrefix), std::move(formats.decodeReplica), [this] { return m_exchange.receivesStoreChanges() ? memberPause : replicasPause; }, [daemons = m_daemons] { return daemons->lastStoreUnreachableAt(); })
    , m_routing(m_dependencies.context, m_dependencies.store, m_dependencies.timers, m_dependencies.log, std::move(formats.configurationKey), std::move(formats.decodeConfiguration), m_dependencies.onConfiguration)
    , m_defaultVersions(
          m_dependencies.context, m_dependencies.store, m_dependencies.timers, m_dependencies.log, m_ownKeys, m_replicas, [this] { return streamLifetime(); }, [daemons = m_daemons] { return daemons->activeDaemons(); })
    , m_streamRecords(m_dependencies.context, m_dependencies.store, m_dependencies.timers, m_dependencies.log, m_dependencies.metrics, m_defaultVersions, [this] { return streamLifetime(); })
    , m_configurationApi(m_routing)
    , m_versions(m_dependencies.context, m_dependencies.timers, m_dependencies.log, m_dependencies.metrics, m_routing, *m_daemons, m_ownKeys, m_dependencies.configurationClient)
    , m_budgets(m_dependencies.timers, *m_daemons, m_settings.bounds.retryBudget)
    , m_rateLimiter(
          m_dependencies.timers, [daemons = m_daemons] { return daemons->activeDaemons(); }, hash64(m_settings.self.id.value()))
    , m_exchange(m_dependencies.context, m_dependencies.timers, m_dependencies.log, *m_daemons, m_loadTracker, m_speeds, m_crashTracker, m_replicas)
    , m_roles(m_dependencies.context, m_dependencies.store, m_dependencies.timers, m_dependencies.log, m_ownKeys, m_dependencies.replicaClient, m_replicas, m_loadTracker, m_routing, { m_settings.self.id, m_settings.bounds.takeoverWait, [daemons = m_daemons] { return daemons->activeDaemons(); } })
    , m_taskLease(makeTaskLease())
    , m_scaling(makeScaling())
    , m_relayServices { m_dependencies.context, m_dependencies.timers, m_dependencies.log, m_dependencies.metrics, m_dependencies.replicaClient, m_replicas, m_loadTracker, m_speeds, m_streams, m_crashTracker, m_budgets, m_rateLimiter, m_settings.self.zone, m_settings.bounds.soundSilence, m_dependencies.responseBuffers, &m_streamRecords }
    , m_accountMetrics(m_dependencies.timers, m_dependencies.metrics)
    , m_accountUse(m_dependencies.timers, hash64(m_settings.self.id.value()))
{
    m_exchange.shareVersions(m_versions);
    addUsage();
    m_loadTracker->seed(hash64(m_settings.self.id.value()));
    m_loadTracker->capacity().publishTo(m_dependencies.metrics);
    m_exchange.shareAccountUse(m_accountUse);
    m_exchange.shareDemand(m_rateLimiter);
    m_dependencies.replicaClient.onNotice([this](const ReplicaNotice& notice) { onNotice(notice); });
    m_dependencies.store.onEpochChange([this] { onStoreRestored(); });
    m_dependencies.store.onResponseLost([this] { m_daemons->verifyStore(); });
    m_dependencies.replicaClient.setAdmission([this](const ReplicaId& replica) { return !m_replicas.isBackingOff(replica); });
}

std::unique_ptr<FencedLease> Gateway::makeTaskLease()
{
    if (!m_dependencies.taskPlatform)
        return nullptr;
    FencedLeaseSettings settings { std::string(taskHolderKey), m_settings.self.id, m_settings.bounds.takeoverWait, [daemons = m_daemons] { return daemons->activeDaemons(); }, true };
    auto lease = std::make_unique<FencedLease>(m_dependencies.context, m_dependencies.store, m_dependencies.timers, m_dependencies.log, m_ownKeys, std::move(settings));
    m_dependencies.taskPlatform->setAdmission([held = lease.get()](const TaskAuthority& authority) { return held->fencingNumber() == authority.fencingNumber && held->mayAct(longestTaskCall); });
    return lease;
}

void Gateway::addUsage()
{
    if (!m_taskLease || !m_settings.usage)
        return;
    auto& given = m_dependencies;
    m_usageMeter = std::make_unique<UsageMeter>(given.timers, *m_settings.usage);
    m_usageExchange = std::make_unique<UsageExchange>(given.store, given.timers, given.log, given.metrics, *m_ownKeys, *m_daemons, *m_taskLease, *m_usageMeter, [this](const Endpoint& target, std::string_view bytes) { m_exchange.sendDatagram(target, bytes); });
    m_usageReporter = std::make_unique<UsageReporter>(given.context, given.store, given.timers, given.log, given.metrics, *m_ownKeys, *given.taskPlatform, *m_taskLease, *m_usageMeter, m_usageExchange->ledger());
    m_exchange.setReceiver(std::string(usageMessagePrefix), [this](std::string_view datagram) { m_usageExchange->receive(datagram); });
    m_relayServices.usage = m_usageMeter.get();
}

std::unique_ptr<ScalingManager> Gateway::makeScaling()
{
    if (!m_dependencies.taskPlatform)
        return nullptr;
    auto mayAct = [this](Duration callTime) { return m_taskLease->mayAct(callTime); };
    auto authority = [this] { return TaskAuthority { m_taskLease->self(), m_taskLease->fencingNumber() }; };
    return std::make_unique<ScalingManager>(m_dependencies.context, m_dependencies.timers, m_dependencies.log, m_dependencies.metrics, *m_dependencies.taskPlatform, TaskLeaseView { mayAct, authority }, m_replicas, m_loadTracker, m_speeds, m_routing, [this] { return m_exchange.knowsFleetLoad(); });
}

Duration Gateway::streamLifetime() const
{
    auto table = m_routing.table();
    auto timeout = table ? table->longestResumableTimeout() : Duration::zero();
    return std::max(shortestStreamLifetime, timeout * attemptsOfStream);
}

Duration Gateway::pauseOfOwnKeys() const
{
    // A holder of a lease has to notice soon that the key was removed and another daemon has acquired it.
    auto holdsLease = m_roles.holdsLease() || (m_taskLease && m_taskLease->isHeld());
    return m_exchange.receivesStoreChanges() && !holdsLease ? memberPause : ownKeysPause;
}

void Gateway::onNotice(const ReplicaNotice& notice)
{
    if (notice.content.isLeaving)
        m_dependencies.metrics.count("chestnut_replica_leaving_notices_total");
    if (notice.content.backoff)
        m_dependencies.metrics.count("chestnut_replica_backoff_notices_total");
    m_replicas.applyNotice(notice);
}

void Gateway::start()
{
    m_routing.start();
    m_replicas.start();
    m_ownKeys->start();
    m_daemons->start();
    m_blocks.start();
    m_defaultVersions.start();
    m_streamRecords.start();
    m_exchange.start();
    m_versions.start();
    m_roles.start();
    if (m_taskLease) {
        m_taskLease->start();
        m_scaling->start();
    }
    if (m_usageReporter) {
        m_usageExchange->start();
        m_usageReporter->start();
    }
}

void Gateway::setBounds(const GatewayBounds& bounds)
{
    m_settings.bounds = bounds;
    m_budgets.setLimits(bounds.retryBudget);
    m_roles.setTakeoverWait(bounds.takeoverWait);
    if (m_taskLease)
        m_taskLease->setTakeoverWait(bounds.takeoverWait);
    m_relayServices.soundSilence = bounds.soundSilence;
}

void Gateway::restartWatches()
{
    m_routing.restartWatch();
    m_replicas.restartWatch();
    m_ownKeys->restartWatch();
}

void Gateway::onStoreRestored()
{
    m_dependencies.log.write(EventId::StoreRestored, { { "epoch", m_dependencies.store.epoch() } });
    m_dependencies.metrics.count("chestnut_store_restores_total");
    m_streamRecords.rewrite();
    restartWatches();
}

asio::awaitable<void> Gateway::leave(TimePoint endsAt)
{
    m_shutdown = ShutdownPlan { m_dependencies.timers.now(), endsAt };
    m_exchange.announceLeaving();
    co_await m_roles.stop();
    co_await stopTasks();
    co_await m_daemons->deregister();
}

asio::awaitable<void> Gateway::stopTasks()
{
    // The next holder acts as soon as the lease has been given up, so the calls in flight end before that.
    if (m_usageReporter)
        co_await m_usageReporter->stop();
    if (m_scaling)
        co_await m_scaling->stop();
    if (m_taskLease)
        co_await m_taskLease->stop();
}

asio::awaitable<void> Gateway::flushUsage(Duration longestWait)
{
    if (m_usageExchange)
        co_await m_usageExchange->flush(longestWait);
}

void Gateway::endRequests()
{
    auto requests = *m_requests;
    for (const auto& request : requests)
        request->expire();
}

bool Gateway::isReady() const
{
    return !m_shutdown && m_routing.table() && m_versions.isSettled() && m_ownKeys->isListed() && !m_replicas.isEmpty();
}

DiscoveryList Gateway::discover(const AvailabilityZone& zone) const
{
    auto views = m_daemons->others();
    if (isReady())
        views.push_back({ m_settings.self, true, Duration::zero(), true, false });
    return { entryPointsFor(views, zone), std::min(discoveryValidity, m_settings.bounds.longestDiscoveryValidity) };
}

asio::awaitable<void> Gateway::handlePeer(HttpRequest request, HttpResponseWriter& writer)
{
    co_await m_configurationApi.handle(std::move(request), writer);
}

asio::awaitable<void> Gateway::handle(RoutedRequest request, HttpResponseWriter& writer)
{
    InProgressCounter counted(m_inProgress);
    auto startedAt = m_dependencies.timers.now();
    co_await relay(std::move(request), writer);
    m_dependencies.metrics.observeSeconds("chestnut_gateway_request_seconds", toSeconds(m_dependencies.timers.now() - startedAt));
}

asio::awaitable<void> Gateway::refuse(const RequestId& request, Error error, HttpResponseWriter& writer)
{
    m_dependencies.log.write(EventId::RequestRefused, { { "request", request }, { "kind", describe(error.kind).name }, { "detail", error.detail } });
    co_await sendErrorResponse(writer, request, error);
}

asio::awaitable<void> Gateway::relay(RoutedRequest request, HttpResponseWriter& writer)
{
    auto table = m_routing.table();
    if (!table || !m_ownKeys->isListed()) {
        co_await refuse(request.id, makeError(ErrorKind::NotReady, table ? "the blocked requests have not been loaded yet" : "no configuration has been loaded yet"), writer);
        co_return;
    }
    if (!m_versions.isSettled()) {
        co_await refuse(request.id, makeError(ErrorKind::NotReady, "other daemons have not been asked for a newer configuration yet"), writer);
        co_return;
    }
    const auto* route = table->find(request.host, request.forwarded.path());
    if (!route || route->shares.empty()) {
        co_await refuse(request.id, makeError(ErrorKind::NotFound, "no route matches"), writer);
        co_return;
    }
    m_dependencies.metrics.count("chestnut_gateway_requests_total");
    if (auto authenticated = authenticate(request, *route, *table); !authenticated) {
        m_dependencies.metrics.count("chestnut_gateway_unauthenticated_total");
        co_await refuse(request.id, authenticated.error(), writer);
        co_return;
    }
    auto service = serviceFor(*route, hash64(request.id.value()));
    if (request.account)
        co_await serveAccount(std::move(request), table, *route, service, writer);
    else
        co_await serve(std::move(request), table, *route, service, writer);
}

asio::awaitable<void> Gateway::serveAccount(RoutedRequest request, std::shared_ptr<const RouteTable> table, const Route& route, const ServiceId& service, HttpResponseWriter& writer)
{
    auto account = *request.account;
    auto priority = account.priority.value_or(route.priority);
    if (!m_accountUse.admit(service, account.id, priority)) {
        auto part = m_accountUse.partOf(service, account.id, priority);
        m_dependencies.metrics.count("chestnut_account_limited_total");
        m_accountMetrics.record(account.id, true);
        auto error = accountLimitError();
        m_dependencies.log.write(EventId::RequestRefused, { { "request", request.id }, { "kind", describe(error.kind).name }, { "account", account.id }, { "priority", priority }, { "service", service }, { "admitted_part", part }, { "detail", error.detail } });
        co_await sendErrorResponse(writer, request.id, error);
        co_return;
    }
    StatusRecorder recorder(writer);
    co_await serve(std::move(request), table, route, service, recorder);
    if (recorder.refusal() == ErrorKind::Overloaded || recorder.refusal() == ErrorKind::DeadlineUnreachable)
        m_accountUse.recordRefusal(service);
    auto isRefused = recorder.status() == 503 || recorder.status() == 429;
    m_accountMetrics.record(account.id, isRefused);
}

asio::awaitable<void> Gateway::serve(RoutedRequest request, std::shared_ptr<const RouteTable> table, const Route& route, const ServiceId& service, HttpResponseWriter& writer)
{
    m_budgets.addRequest(service);
    m_rateLimiter.recordDemand(service);
    auto context = std::make_shared<RelayContext>(m_relayServices, std::move(request), table, route, service);
    if (m_shutdown && !mayStart(*m_shutdown, context->request.arrival, context->deadline(), m_speeds.speedOf(service).occupancy)) {
        co_await refuse(context->request.id, makeError(ErrorKind::Leaving, "the request could outlast this daemon, which is shutting down"), writer);
        co_return;
    }
    context->abortOnDisconnectOrDeadline(writer);
    RequestGuard listed(m_requests, context);
    const auto* profile = table->service(service);
    if (profile && profile->engine) {
        GenerationRelay generation(context, writer);
        co_await generation.run();
    } else
        co_await relayPlain(context, writer);
}

} // namespace chestnut
