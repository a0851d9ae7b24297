#include "gateway/service/Gateway.h"

#include "gateway/requests/GenerationRelay.h"
#include "gateway/requests/PlainRelay.h"

#include "base/digest/Digest.h"

#include <algorithm>

namespace chestnut {

namespace {

    /** Clients keep a discovery answer this long; short, because some keep it three times as long and a stopping daemon must
        outlast that. */
    constexpr Duration discoveryValidity = std::chrono::milliseconds(1500);

    /** Below it stand the daemons and the lease over the engines. */
    constexpr std::string_view ownKeyPrefix = "chestnutroute/";
    /** Pauses between two watches. Replicas and daemons change in bursts at a cold start or a release, each change wakes the
        watches of all daemons, and each watch is a priced call. */
    constexpr Duration replicasPause = std::chrono::milliseconds(400);
    constexpr Duration ownKeysPause = std::chrono::seconds(1);
    /** The same where the collectors tell what changes; it bounds how long something that they did not tell stays unknown. */
    constexpr Duration toldPause = std::chrono::seconds(10);

    /** Counts a request in progress. */
    class InProgress {
    public:
        explicit InProgress(size_t& count)
            : m_count(count)
        {
            ++m_count;
        }
        InProgress(const InProgress&) = delete;
        InProgress& operator=(const InProgress&) = delete;
        ~InProgress() { --m_count; }

    private:
        size_t& m_count;
    };

} // namespace

Gateway::Gateway(GatewayDependencies dependencies, GatewayFormats formats, GatewaySettings settings)
    : m_dependencies(std::move(dependencies))
    , m_settings(std::move(settings))
    , m_board(std::make_shared<LoadTracker>(m_dependencies.timers, m_dependencies.log))
    , m_losses(m_dependencies.timers)
    , m_ownKeys(std::make_shared<StoreMirror>(m_dependencies.context, m_dependencies.store, m_dependencies.timers, m_dependencies.log, std::string(ownKeyPrefix), [this] { return m_exchange.isTold() ? toldPause : ownKeysPause; }))
    , m_daemons(std::make_shared<DaemonDirectory>(m_dependencies.context, m_dependencies.store, m_dependencies.timers, m_dependencies.log, m_ownKeys, m_settings.self, [this] { restartWatches(); }))
    , m_replicas(
          m_dependencies.context, m_dependencies.store, m_dependencies.timers, m_dependencies.log, m_board, std::move(formats.replicaPrefix), std::move(formats.decodeReplica), [this] { return m_exchange.isTold() ? toldPause : replicasPause; }, [daemons = m_daemons] { return daemons->isStoreAway(); })
    , m_routing(m_dependencies.context, m_dependencies.store, m_dependencies.timers, m_dependencies.log, std::move(formats.configurationKey), std::move(formats.decodeConfiguration), m_dependencies.onConfiguration)
    , m_budgets(m_dependencies.timers, *m_daemons, m_settings.bounds.retryBudget)
    , m_exchange(m_dependencies.context, m_dependencies.timers, m_dependencies.log, *m_daemons, m_board, m_losses, m_replicas)
    , m_roles(m_dependencies.context, m_dependencies.store, m_dependencies.timers, m_dependencies.log, m_ownKeys, m_dependencies.instances, m_replicas, m_board, m_routing, { m_settings.self.id, m_settings.bounds.takeoverWait, [daemons = m_daemons] { return daemons->activeDaemons(); } })
    , m_relayServices { m_dependencies.context, m_dependencies.timers, m_dependencies.log, m_dependencies.metrics, m_dependencies.instances, m_replicas, m_board, m_losses, m_budgets, m_settings.self.zone }
{
}

void Gateway::start()
{
    m_routing.start();
    m_replicas.start();
    m_ownKeys->start();
    m_daemons->start();
    m_exchange.start();
    m_roles.start();
}

void Gateway::setBounds(const GatewayBounds& bounds)
{
    m_settings.bounds = bounds;
    m_budgets.setLimits(bounds.retryBudget);
    m_roles.setTakeoverWait(bounds.takeoverWait);
}

void Gateway::restartWatches()
{
    m_routing.restartWatch();
    m_replicas.restartWatch();
    m_ownKeys->restartWatch();
}

asio::awaitable<void> Gateway::leave(TimePoint endsAt)
{
    m_shutdown = ShutdownPlan { m_dependencies.timers.now(), endsAt };
    m_exchange.announceLeaving();
    co_await m_roles.stop();
    co_await m_daemons->withdraw();
}

bool Gateway::isReady() const
{
    return !m_shutdown && m_routing.table() && !m_replicas.isEmpty();
}

DiscoveryList Gateway::discover(const AvailabilityZone& zone) const
{
    auto views = m_daemons->others();
    if (isReady())
        views.push_back({ m_settings.self, true, Duration::zero(), true, false });
    return { entryPointsFor(views, zone), std::min(discoveryValidity, m_settings.bounds.longestDiscoveryValidity) };
}

asio::awaitable<void> Gateway::handle(RoutedRequest request, HttpResponseWriter& writer)
{
    InProgress counted(m_inProgress);
    auto startedAt = m_dependencies.timers.now();
    co_await relay(std::move(request), writer);
    m_dependencies.metrics.observeSeconds("chestnut_gateway_request_seconds", toSeconds(m_dependencies.timers.now() - startedAt));
}

asio::awaitable<void> Gateway::relay(RoutedRequest request, HttpResponseWriter& writer)
{
    auto table = m_routing.table();
    auto refuse = [&](ErrorKind kind, std::string detail) -> asio::awaitable<void> {
        m_dependencies.log.write(EventId::RequestRefused, { { "request", request.id }, { "kind", describe(kind).name }, { "detail", detail } });
        co_await answerError(writer, request.id, makeError(kind, std::move(detail)));
    };
    if (!table) {
        co_await refuse(ErrorKind::NotReady, "no configuration is known yet");
        co_return;
    }
    const auto* route = table->find(request.host, request.forwarded.path());
    if (!route || route->shares.empty()) {
        co_await refuse(ErrorKind::NotFound, "no route matches");
        co_return;
    }
    auto service = serviceFor(*route, hash64(request.id.value()));
    m_budgets.addRequest(service);
    auto context = std::make_shared<RelayContext>(m_relayServices, std::move(request), table, *route, service);
    if (m_shutdown && !mayStart(*m_shutdown, context->request.arrival, context->deadline())) {
        co_await refuse(ErrorKind::Leaving, "the request could outlast this daemon, which is shutting down");
        co_return;
    }
    context->watch(writer);
    const auto* profile = table->service(service);
    if (profile && profile->engine) {
        GenerationRelay generation(context, writer);
        co_await generation.run();
    } else
        co_await relayPlain(context, writer);
}

} // namespace chestnut
