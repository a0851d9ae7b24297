#include "gateway/roles/RoleManager.h"

#include "gateway/replicas/FleetLoad.h"
#include "kernel/tasks/BackgroundTask.h"

#include <algorithm>

namespace chestnut {

namespace {

    constexpr std::string_view holderKey = "chestnutroute/roles/holder";
    constexpr Duration adjustPeriod = std::chrono::milliseconds(500);
    constexpr Duration samplePeriod = std::chrono::milliseconds(200);
    /** Weight of a sample in the moving average of the demand. The time constant of eight seconds filters out fluctuations
        that a stage change of three seconds cannot follow. */
    constexpr double sampleWeight = 0.025;
    /** Maximum number of engines that change their stage at the same time, before the first traffic and with traffic. */
    constexpr size_t changesBeforeTraffic = 8;
    constexpr size_t changesWithTraffic = 1;
    constexpr size_t urgentChanges = 3;
    /** The same with traffic, as a share of the engines of a service whose number of replicas is ordered. */
    constexpr size_t scaledChangesDivisor = 10;
    /** An engine counts as changing for at most this long: an order without a response may take effect 12 s later, and
        running streams complete before the change. */
    constexpr Duration longestChange = std::chrono::seconds(20);
    /** Minimum time between two changes with traffic, so that the demand reflects the effect of the first. */
    constexpr Duration dwellTime = std::chrono::seconds(10);
    /** The same for a service whose number of replicas is ordered: its stages change with each replica that comes or leaves. The
        share of engines that change at the same time limits the orders. */
    constexpr Duration scaledDwellTime = std::chrono::milliseconds(300);
    /** The same when there are too few decode slots. */
    constexpr Duration urgentDwellTime = std::chrono::seconds(1);

} // namespace

RoleManager::RoleManager(asio::io_context& context, VersionedStore& store, TimerService& timers, Log& log, std::shared_ptr<StoreMirror> mirror, ReplicaClient& replicaClient, ReplicaDirectory& replicas, std::shared_ptr<LoadTracker> loadTracker, RoutingSource& routing, RoleManagerSettings settings)
    : m_context(context)
    , m_timers(timers)
    , m_log(log)
    , m_replicaClient(replicaClient)
    , m_replicas(replicas)
    , m_loadTracker(std::move(loadTracker))
    , m_routing(routing)
    , m_lease(context, store, timers, log, std::move(mirror), { std::string(holderKey), std::move(settings.self), settings.takeoverWait, std::move(settings.candidates) })
{
}

void RoleManager::start()
{
    m_lease.start();
    spawnPermanentTask(m_context.get_executor(), m_timers, m_log, "role_splits", [this] { return manageSplits(); });
    m_sampleTimer = m_timers.every(samplePeriod, [this] { sampleDemand(); });
}

asio::awaitable<void> RoleManager::stop()
{
    m_isStopped = true;
    co_await m_lease.stop();
}

bool RoleManager::mayOrder() const
{
    // An order that is in transit when the lease ends arrives during the takeover wait of the next holder.
    return !m_isStopped && m_lease.mayAct(Duration::zero());
}

void RoleManager::sampleDemand()
{
    auto table = m_routing.table();
    if (!table)
        return;
    for (const auto& service : table->configuration().services) {
        if (!service.engine)
            continue;
        auto& demand = m_demand[service.id];
        auto load = slotLoadOf(loadsOf(m_replicas.usable(service.id, EngineStage::Decode), *m_loadTracker, table->prioritiesOf(service.id)), EngineStage::Decode);
        double requests = load.requests + m_loadTracker->requestsAt(waitingAt(service.id));
        if (load.slots > 0)
            demand.slots = load.slots;
        if (!demand.isMeasured && requests == 0)
            continue;
        demand.requests = demand.isMeasured ? demand.requests + (requests - demand.requests) * sampleWeight : requests;
        demand.isMeasured = true;
    }
}

std::vector<SplitEngine> RoleManager::enginesOf(const ServiceId& service) const
{
    std::vector<SplitEngine> engines;
    for (const auto* entry : m_replicas.engines(service)) {
        auto pending = m_pendingOrders.find(entry->id);
        auto isChanging = pending != m_pendingOrders.end();
        // An engine that wants no requests gets no order either, nor does one that is probably taken away.
        auto isReclaimed = entry->isReclaimable && m_replicas.isReclaiming(service, entry->zone);
        auto isUnavailable = isChanging || isReclaimed || m_replicas.isBackingOff(entry->id);
        engines.push_back({ entry->id, entry->zone, isChanging ? pending->second.stage : entry->stage, isUnavailable });
    }
    return engines;
}

void RoleManager::expireOrders(const ServiceProfile& service)
{
    auto now = m_timers.now();
    std::erase_if(m_pendingOrders, [&](const auto& entry) {
        const auto* replica = m_replicas.find(entry.first);
        auto age = now - entry.second.orderedAt;
        auto isDone = replica && replica->entry.stage == entry.second.stage && age > service.engine->roleChangeTime;
        return isDone || !replica || !mayReceiveWork(*replica) || age > longestChange;
    });
}

asio::awaitable<void> RoleManager::manageSplits()
{
    while (!m_isStopped) {
        co_await m_timers.sleep(adjustPeriod);
        auto table = m_routing.table();
        if (!table || !mayOrder())
            continue;
        // Orders before this holder's time have taken effect or never will.
        if (std::exchange(m_ordersOf, m_lease.fencingNumber()) != m_lease.fencingNumber())
            m_pendingOrders.clear();
        for (const auto& service : table->configuration().services) {
            if (service.engine)
                co_await adjustSplit(service);
        }
    }
}

asio::awaitable<void> RoleManager::adjustSplit(const ServiceProfile& service)
{
    auto demand = m_demand[service.id];
    while (mayOrder()) {
        expireOrders(service);
        auto engines = enginesOf(service.id);
        auto isUrgent = lacksDecodeCapacity(engines, demand);
        // New engines of a scaled pool come in one stage, whatever is needed, while old ones of both stages leave.
        auto usualChanges = service.scaling ? std::max(engines.size() / scaledChangesDivisor, changesWithTraffic) : changesWithTraffic;
        auto usualDwellTime = service.scaling ? scaledDwellTime : dwellTime;
        auto maximumChanges = !demand.isMeasured ? changesBeforeTraffic : isUrgent ? std::max(urgentChanges, usualChanges)
                                                                                   : usualChanges;
        auto isDwelling = demand.isMeasured && m_timers.now() - m_lastOrderAt < (isUrgent ? urgentDwellTime : usualDwellTime);
        if (m_pendingOrders.size() >= maximumChanges || isDwelling)
            co_return;
        auto change = nextStageChange(engines, demand);
        if (!change)
            co_return;
        co_await sendOrder(service, *change, demand);
    }
}

asio::awaitable<void> RoleManager::sendOrder(const ServiceProfile& service, StageChange change, const DecodeDemand& demand)
{
    const auto* replica = m_replicas.find(change.id);
    auto address = replica->entry.address;
    m_pendingOrders[change.id] = { change.stage, m_timers.now() };
    m_lastOrderAt = m_timers.now();
    auto report = co_await m_replicaClient.report(change.id, address);
    if (!report || report->isChanging || !mayOrder()) {
        m_log.write(EventId::OrderWaiting, { { "replica", change.id }, { "reason", report ? "changing" : report.error().detail } });
        co_return;
    }
    if (report->stage == change.stage)
        co_return;
    if (!m_replicas.acceptsControlCalls(change.id))
        co_return;
    m_log.write(EventId::OrderSent, { { "replica", change.id }, { "service", service.id }, { "stage", nameOf(change.stage) }, { "fencing", m_lease.fencingNumber() }, { "expected_orders", report->acceptedOrders }, { "demand", demand.requests }, { "slots", demand.slots } });
    m_replicas.pauses().begin(change.id, change.stage);
    auto result = co_await m_replicaClient.order({ change.id, address, change.stage, m_lease.self().value(), m_lease.fencingNumber(), report->acceptedOrders });
    if (result && *result != OrderResult::Refused) {
        m_log.write(EventId::OrderSettled, { { "replica", change.id }, { "stage", nameOf(change.stage) } });
        co_return;
    }
    // An order without a response may still take effect, so the replica stays paused.
    if (result)
        m_replicas.pauses().end(change.id);
    m_log.write(EventId::OrderFailed, { { "replica", change.id }, { "detail", result ? "refused" : result.error().detail } });
}

} // namespace chestnut
