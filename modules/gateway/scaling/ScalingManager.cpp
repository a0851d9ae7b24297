#include "gateway/scaling/ScalingManager.h"

#include "gateway/replicas/FleetLoad.h"
#include "kernel/tasks/BackgroundTask.h"

#include <algorithm>

namespace chestnut {

namespace {

    constexpr Duration samplePeriod = std::chrono::milliseconds(200);
    constexpr Duration decisionPeriod = std::chrono::milliseconds(500);
    constexpr Duration stopCheckPeriod = std::chrono::milliseconds(20);
    /** Pause of all calls after one that failed or exceeded the rate; doubled for each further one. */
    constexpr Duration firstPause = std::chrono::milliseconds(500);
    constexpr Duration longestPause = std::chrono::seconds(4);
    /** A pool whose order was refused would be refused again. */
    constexpr Duration refusalPause = std::chrono::seconds(10);
    /** An order without a response takes effect at most this long after it was sent. */
    constexpr Duration longestDelay = std::chrono::seconds(12);
    /** Nothing is released for this long after a change of the configuration, until the demand shows its effect. */
    constexpr Duration configurationTime = std::chrono::seconds(15);

    std::string_view nameOfKind(const PoolKey& pool)
    {
        return pool.isReclaimable ? "reclaimable" : "regular";
    }

    MetricLabels labelsOf(const ServiceId& service, const PoolKey& pool)
    {
        return { { "service", service.value() }, { "zone", pool.zone.value() }, { "kind", std::string(nameOfKind(pool)) } };
    }

    std::string_view nameOf(const Result<TaskResult>& result)
    {
        if (!result)
            return describe(result.error().kind).name;
        switch (*result) {
        case TaskResult::Done:
            return "done";
        case TaskResult::Unavailable:
            return "unavailable";
        case TaskResult::RateLimited:
            return "rate_limited";
        case TaskResult::Refused:
            return "refused";
        }
        return "refused";
    }

    /** The shares of all routes to the service. */
    std::vector<TrafficShare> sharesOf(const RoutingConfiguration& configuration, const ServiceId& service)
    {
        std::vector<TrafficShare> shares;
        for (const auto& route : configuration.routes) {
            if (std::ranges::find(route.shares, service, &TrafficShare::service) != route.shares.end())
                shares.insert(shares.end(), route.shares.begin(), route.shares.end());
        }
        return shares;
    }

} // namespace

ScalingManager::ScalingManager(asio::io_context& context, TimerService& timers, Log& log, Metrics& metrics, TaskPlatform& platform, TaskLeaseView lease, ReplicaDirectory& replicas, std::shared_ptr<LoadTracker> loadTracker, SpeedTracker& speeds, RoutingSource& routing, std::function<bool()> knowsFleetLoad)
    : m_context(context)
    , m_timers(timers)
    , m_log(log)
    , m_metrics(metrics)
    , m_platform(platform)
    , m_lease(std::move(lease))
    , m_replicas(replicas)
    , m_loadTracker(std::move(loadTracker))
    , m_speeds(speeds)
    , m_routing(routing)
    , m_knowsFleetLoad(std::move(knowsFleetLoad))
{
}

void ScalingManager::start()
{
    m_sampleTimer = m_timers.every(samplePeriod, [this] { sampleDemand(); });
    spawnPermanentTask(m_context.get_executor(), m_timers, m_log, "scaling", [this] { return manage(); });
}

asio::awaitable<void> ScalingManager::stop()
{
    m_isStopped = true;
    m_sampleTimer.cancel();
    auto isCalling = [](const auto& service) { return !service.second.calling.empty(); };
    while (std::ranges::any_of(m_services, isCalling))
        co_await m_timers.sleep(stopCheckPeriod);
}

void ScalingManager::sampleDemand()
{
    auto table = m_routing.table();
    if (!table)
        return;
    auto isNewTable = std::exchange(m_sampledTable, table) != table;
    for (const auto& service : table->configuration().services) {
        if (!service.scaling)
            continue;
        auto& state = m_services[service.id];
        if (isNewTable)
            recordConfiguration(*table, service, state);
        std::vector<const ReplicaEntry*> entries;
        for (const auto* replica : m_replicas.registered(service.id))
            entries.push_back(&replica->entry);
        state.demand.hasStages = service.engine.has_value();
        addSample(state.demand, replicaDemandOf(loadsOf(entries, *m_loadTracker, table->prioritiesOf(service.id)), m_speeds.speedOf(service.id).prefill), m_timers.now());
    }
}

void ScalingManager::recordConfiguration(const RouteTable& table, const ServiceProfile& service, ServiceState& state) const
{
    auto shares = sharesOf(table.configuration(), service.id);
    if (state.profile == service.scaling && state.shares == shares)
        return;
    if (state.profile)
        state.configuredAt = m_timers.now();
    state.profile = service.scaling;
    state.shares = std::move(shares);
}

asio::awaitable<void> ScalingManager::manage()
{
    while (!m_isStopped) {
        co_await m_timers.sleep(decisionPeriod);
        adjustAll();
    }
}

void ScalingManager::adjustAll()
{
    auto table = m_routing.table();
    if (!table || m_isStopped || !m_lease.mayAct(longestTaskCall)) {
        withdrawMetrics();
        return;
    }
    m_isPublishing = true;
    for (const auto& service : table->configuration().services) {
        if (service.scaling)
            adjust(service);
    }
}

void ScalingManager::adjust(const ServiceProfile& service)
{
    auto& state = m_services[service.id];
    takeOver(state);
    auto pools = poolsOf(service.id);
    observe(service, state, pools);
    auto changes = decideScaling(*service.scaling, { state.demand, pools, isDisturbed(state) }, state.memory, m_timers.now());
    addRepetitions(changes, state, pools);
    for (const auto& change : changes) {
        if (!mayCall(state, change.pool))
            continue;
        state.calling.insert(change.pool.zone);
        spawnTask(m_context.get_executor(), m_log, "scaling_order", sendOrder(service, change));
    }
    publish(service.id, state, pools);
}

void ScalingManager::takeOver(ServiceState& state) const
{
    auto fencingNumber = m_lease.authority().fencingNumber;
    if (state.fencingNumber == fencingNumber)
        return;
    state.fencingNumber = fencingNumber;
    state.memory = {};
    // The former holder may have seen a loss that this daemon has not.
    state.memory.lostAt = m_timers.now();
    state.lostOrders.clear();
    state.nextCallAt.clear();
}

void ScalingManager::observe(const ServiceProfile& service, ServiceState& state, const PoolViews& pools) const
{
    for (const auto& [pool, event, before, now] : observePools(state.memory, pools, *service.scaling, m_timers.now())) {
        m_log.write(EventId::ReplicasMissing, { { "service", service.id }, { "zone", pool.zone }, { "kind", nameOfKind(pool) }, { "cause", chestnut::nameOf(event) }, { "before", before }, { "now", now } });
        m_metrics.count("chestnut_scaling_missing_replicas_total", { { "service", service.id.value() }, { "cause", std::string(chestnut::nameOf(event)) } }, before - now);
    }
}

PoolViews ScalingManager::poolsOf(const ServiceId& service) const
{
    PoolViews pools;
    for (const auto* replica : m_replicas.registered(service)) {
        auto& view = pools[{ replica->entry.zone, replica->entry.isReclaimable }];
        ++(mayReceiveWork(*replica) ? view.ready : view.leaving);
    }
    return pools;
}

bool ScalingManager::isDisturbed(const ServiceState& state) const
{
    auto isReconfigured = state.configuredAt && m_timers.now() - *state.configuredAt < configurationTime;
    return isReconfigured || !m_knowsFleetLoad();
}

void ScalingManager::addRepetitions(std::vector<PoolChange>& changes, const ServiceState& state, const PoolViews& pools) const
{
    for (const auto& [pool, lost] : state.lostOrders) {
        auto isDue = !lost.isRepeated || m_timers.now() - lost.lostAt >= longestDelay;
        auto isChanging = std::ranges::find(changes, pool, &PoolChange::pool) != changes.end();
        if (!isDue || isChanging)
            continue;
        auto number = expectedReplicas(pool, pools, state.memory);
        changes.push_back({ pool, number, number, ScalingReason::Repeated });
    }
}

bool ScalingManager::mayCall(const ServiceState& state, const PoolKey& pool) const
{
    auto now = m_timers.now();
    auto next = state.nextCallAt.find(pool);
    auto isRefused = next != state.nextCallAt.end() && now < next->second;
    return now >= m_nextCallAt && !isRefused && !state.calling.contains(pool.zone);
}

asio::awaitable<void> ScalingManager::sendOrder(ServiceProfile service, PoolChange change)
{
    auto authority = m_lease.authority();
    logOrder(service, m_services[service.id], change);
    auto result = co_await m_platform.orderReplicas({ service.id, change.pool.zone, change.to, change.pool.isReclaimable }, authority);
    m_metrics.count("chestnut_scaling_orders_total", { { "result", std::string(nameOf(result)) } });
    auto& state = m_services[service.id];
    state.calling.erase(change.pool.zone);
    // After a takeover the response says nothing about the present number.
    if (state.fencingNumber == authority.fencingNumber)
        recordResult(state, service.id, change, result);
    // The rest of the same decision need not wait for the next one.
    adjustAll();
}

void ScalingManager::recordResult(ServiceState& state, const ServiceId& service, const PoolChange& change, const Result<TaskResult>& result)
{
    auto now = m_timers.now();
    if (!result || *result == TaskResult::RateLimited) {
        if (!result && result.error().kind == ErrorKind::PlatformAnswerLost)
            state.lostOrders[change.pool] = { now, false };
        pauseCalls();
        logFailure(service, change, nameOf(result), m_nextCallAt - now);
        return;
    }
    m_failedCalls = 0;
    if (*result == TaskResult::Done) {
        recordOrder(state.memory, change.pool, change.to, now);
        if (auto lost = state.lostOrders.find(change.pool); lost != state.lostOrders.end()) {
            lost->second.isRepeated = true;
            if (now - lost->second.lostAt >= longestDelay)
                state.lostOrders.erase(lost);
        }
        return;
    }
    auto pause = refusalPause;
    if (*result == TaskResult::Unavailable)
        pause = recordUnavailable(state.memory, change.pool, now);
    state.nextCallAt[change.pool] = now + pause;
    logFailure(service, change, nameOf(result), pause);
}

void ScalingManager::pauseCalls()
{
    // Several calls of one decision fail together.
    if (m_timers.now() < m_nextCallAt)
        return;
    auto pause = std::min(firstPause * (1 << std::min(m_failedCalls, 8U)), longestPause);
    ++m_failedCalls;
    m_nextCallAt = m_timers.now() + pause;
}

void ScalingManager::logOrder(const ServiceProfile& service, const ServiceState& state, const PoolChange& change) const
{
    auto need = scalingNeedOf(state.demand, service.scaling->bootTime, 0, m_timers.now());
    m_log.write(EventId::ReplicasOrdered, { { "service", service.id }, { "zone", change.pool.zone }, { "kind", nameOfKind(change.pool) }, { "from", change.from }, { "to", change.to }, { "reason", chestnut::nameOf(change.reason) }, { "demand", state.demand.slotted.smoothed }, { "prefill_demand", state.demand.prefill.smoothed }, { "need", need.slotted }, { "prefill_need", need.prefill }, { "regular_need", need.regular }, { "fencing", state.fencingNumber } });
}

void ScalingManager::logFailure(const ServiceId& service, const PoolChange& change, std::string_view result, Duration pause) const
{
    m_log.write(EventId::ReplicaOrderFailed, { { "service", service }, { "zone", change.pool.zone }, { "kind", nameOfKind(change.pool) }, { "to", change.to }, { "result", result }, { "pause_ms", pause.count() / 1000 } });
}

void ScalingManager::publish(const ServiceId& service, const ServiceState& state, const PoolViews& pools) const
{
    for (const auto& [pool, remembered] : state.memory.pools) {
        auto view = pools.find(pool);
        m_metrics.setGauge("chestnut_scaling_running_replicas", view == pools.end() ? 0 : view->second.ready, labelsOf(service, pool));
        m_metrics.setGauge("chestnut_scaling_desired_replicas", expectedReplicas(pool, pools, state.memory), labelsOf(service, pool));
    }
}

void ScalingManager::withdrawMetrics()
{
    if (!std::exchange(m_isPublishing, false))
        return;
    for (const auto& [service, state] : m_services) {
        for (const auto& [pool, remembered] : state.memory.pools) {
            m_metrics.setGauge("chestnut_scaling_running_replicas", 0, labelsOf(service, pool));
            m_metrics.setGauge("chestnut_scaling_desired_replicas", 0, labelsOf(service, pool));
        }
    }
}

} // namespace chestnut
