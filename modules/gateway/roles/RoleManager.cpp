#include "gateway/roles/RoleManager.h"

#include "decisions/leases/StoreFencing.h"
#include "kernel/tasks/BackgroundTask.h"

#include <algorithm>
#include <random>

namespace chestnut {

namespace {

    constexpr std::string_view holderKey = "chestnutroute/roles/holder";
    /** Short, so that a killed holder is replaced quickly. */
    constexpr Duration leaseTime = std::chrono::seconds(3);
    constexpr Duration renewalPeriod = std::chrono::milliseconds(900);
    /** Covers the transit time of an order and differences between clock rates. */
    constexpr Duration leaseMargin = std::chrono::milliseconds(600);
    constexpr Duration electionPeriod = std::chrono::milliseconds(500);
    /** Spreads the attempts of the candidates: a failed one costs two calls, and the others see the first success only a
        second later. */
    constexpr Duration electionSpread = std::chrono::milliseconds(50);
    /** The least spread: a daemon that has just started knows few of the others. */
    constexpr Duration leastElectionSpread = std::chrono::seconds(1);
    /** Pause after a failed attempt because another daemon holds the lease. It is longer than the pause between two watches
        of a daemon that relies on its collectors, after which that daemon knows the holder. */
    constexpr Duration conflictPause = std::chrono::seconds(12);
    constexpr Duration adjustPeriod = std::chrono::milliseconds(500);
    constexpr Duration samplePeriod = std::chrono::milliseconds(200);
    /** Weight of a sample in the moving average of the demand. The time constant of eight seconds filters out fluctuations
        that a stage change of three seconds cannot follow. */
    constexpr double sampleWeight = 0.025;
    /** Maximum number of engines that change their stage at the same time, before the first traffic and with traffic. */
    constexpr size_t changesBeforeTraffic = 8;
    constexpr size_t changesWithTraffic = 1;
    constexpr size_t urgentChanges = 3;
    /** An engine counts as changing for at most this long: an order without a response may take effect 12 s later, and
        running streams complete before the change. */
    constexpr Duration longestChange = std::chrono::seconds(20);
    /** Minimum time between two changes with traffic, so that the demand reflects the effect of the first. */
    constexpr Duration dwellTime = std::chrono::seconds(10);
    /** The same when there are too few decode slots. */
    constexpr Duration urgentDwellTime = std::chrono::seconds(1);

} // namespace

RoleManager::RoleManager(asio::io_context& context, VersionedStore& store, TimerService& timers, Log& log, std::shared_ptr<StoreMirror> mirror, ReplicaClient& replicaClient, ReplicaDirectory& replicas, std::shared_ptr<LoadTracker> loadTracker, RoutingSource& routing, RoleManagerSettings settings)
    : m_context(context)
    , m_store(store)
    , m_timers(timers)
    , m_log(log)
    , m_replicaClient(replicaClient)
    , m_replicas(replicas)
    , m_loadTracker(std::move(loadTracker))
    , m_routing(routing)
    , m_settings(std::move(settings))
    , m_mirror(std::move(mirror))
{
    m_mirror->subscribe(std::string(holderKey), { [this](const StoreItem& item) { onHolder(item); }, [this](const std::string&) { recordHolder(false); } });
}

void RoleManager::onHolder(const StoreItem& item)
{
    auto isOwn = item.value == m_settings.self.value();
    recordHolder(!isOwn || item.createdAt != m_acquiredAt);
    // Such a key is left when the response to the write is lost, by a process before a restart, or by a restore of the store. Its
    // lease may be that of another daemon, so it might never expire.
    m_strayRevision = isOwn && m_lease.id == 0 ? item.revision : 0;
}

void RoleManager::recordHolder(bool isAnother)
{
    m_strayRevision = 0;
    m_isHeldByAnother = isAnother;
    m_nextAttemptAt = {};
}

void RoleManager::start()
{
    spawnPermanentTask(m_context.get_executor(), m_timers, m_log, "role_lease", [this] { return maintainLease(); });
    spawnPermanentTask(m_context.get_executor(), m_timers, m_log, "role_splits", [this] { return manageSplits(); });
    m_sampleTimer = m_timers.every(samplePeriod, [this] { sampleDemand(); });
}

asio::awaitable<void> RoleManager::stop()
{
    m_isStopped = true;
    if (auto lease = std::exchange(m_lease, {}); lease.id != 0) {
        auto ended = co_await m_store.endLease(lease);
        m_log.write(EventId::LeaseReleased, { { "key", holderKey }, { "fencing", m_fencingNumber }, { "answered", ended ? 1 : 0 } });
    }
}

asio::awaitable<void> RoleManager::maintainLease()
{
    std::mt19937 random { std::random_device {}() };
    while (!m_isStopped) {
        if (m_lease.id != 0) {
            auto sentAt = m_timers.nowIncludingSuspend();
            auto renewed = co_await m_store.renewLease(m_lease);
            if (renewed)
                m_renewedAt = sentAt;
            else if (renewed.error().kind == ErrorKind::NotFound || m_timers.nowIncludingSuspend() - m_renewedAt > leaseTime) {
                m_log.write(EventId::LeaseLost, { { "key", holderKey }, { "fencing", m_fencingNumber }, { "detail", renewed.error().detail } });
                m_lease = {};
            }
            co_await m_timers.sleep(renewalPeriod);
            continue;
        }
        std::uniform_int_distribution<Duration::rep> jitter(0, std::max(leastElectionSpread, Duration(electionSpread * m_settings.candidates())).count());
        co_await m_timers.sleep(electionPeriod + Duration(jitter(random)));
        if (m_strayRevision != 0 && !m_isStopped) {
            co_await removeStrayKey();
            continue;
        }
        auto mayTry = m_mirror->isListed() && !m_mirror->isFailing() && !m_isHeldByAnother && m_timers.now() >= m_nextAttemptAt;
        if (!mayTry || m_isStopped)
            continue;
        auto acquired = co_await acquire();
        if (acquired)
            continue;
        if (acquired.error().kind == ErrorKind::PlatformConflict)
            m_nextAttemptAt = m_timers.now() + conflictPause;
        m_log.write(EventId::LeaseNotAcquired, { { "key", holderKey }, { "kind", describe(acquired.error().kind).name }, { "detail", acquired.error().detail } });
    }
}

asio::awaitable<Result<void>> RoleManager::acquire()
{
    auto sentAt = m_timers.nowIncludingSuspend();
    auto lease = co_await m_store.grantLease(leaseTime);
    if (!lease)
        co_return lease.error();
    auto revision = co_await m_store.transact({ { std::string(holderKey), 0 } }, { { std::string(holderKey), m_settings.self.value(), lease->id } }, {});
    if (!revision)
        co_return revision.error();
    if (lease->epoch != m_store.epoch())
        co_return makeError(ErrorKind::NotFound, "the store was restored during the acquisition");
    m_lease = *lease;
    m_acquiredAt = *revision;
    m_fencingNumber = fencingNumberAt(lease->epoch, *revision);
    m_renewedAt = sentAt;
    m_strayRevision = 0;
    m_ordersAllowedFrom = m_timers.now() + m_settings.takeoverWait;
    m_pendingOrders.clear();
    m_log.write(EventId::LeaseAcquired, { { "key", holderKey }, { "fencing", m_fencingNumber } });
    co_return Result<void>();
}

asio::awaitable<void> RoleManager::removeStrayKey()
{
    auto removed = co_await m_store.transact({ { std::string(holderKey), m_strayRevision } }, {}, { std::string(holderKey) });
    m_log.write(EventId::LeaseReleased, { { "key", holderKey }, { "revision", m_strayRevision }, { "answered", removed ? 1 : 0 } });
}

TimePoint RoleManager::formerLeaseEnd() const
{
    // A restore removes the lease of a holder that may have renewed it just before, and that sends orders until it ends.
    auto restoredAt = m_mirror->restoredAt();
    return restoredAt ? *restoredAt + leaseTime : TimePoint();
}

bool RoleManager::mayOrder() const
{
    return m_lease.id != 0 && m_lease.epoch == m_store.epoch() && !m_isStopped && m_timers.now() >= std::max(m_ordersAllowedFrom, formerLeaseEnd() + m_settings.takeoverWait) && m_timers.nowIncludingSuspend() - m_renewedAt < leaseTime - leaseMargin;
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
        double requests = m_loadTracker->requestsAt(waitingAt(service.id));
        for (const auto* entry : m_replicas.usable(service.id, EngineStage::Decode)) {
            requests += m_loadTracker->requestsAt(entry->id);
            demand.slots = entry->slots;
        }
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
        // An engine that wants no requests gets no order either.
        auto isUnavailable = isChanging || m_replicas.isBackingOff(entry->id);
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
        auto maximumChanges = !demand.isMeasured ? changesBeforeTraffic : isUrgent ? urgentChanges
                                                                                   : changesWithTraffic;
        auto isDwelling = demand.isMeasured && m_timers.now() - m_lastOrderAt < (isUrgent ? urgentDwellTime : dwellTime);
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
    m_log.write(EventId::OrderSent, { { "replica", change.id }, { "service", service.id }, { "stage", nameOf(change.stage) }, { "fencing", m_fencingNumber }, { "expected_orders", report->acceptedOrders }, { "demand", demand.requests }, { "slots", demand.slots } });
    m_replicas.pauseForOrder(change.id, change.stage);
    auto result = co_await m_replicaClient.order({ change.id, address, change.stage, m_settings.self.value(), m_fencingNumber, report->acceptedOrders });
    if (result && *result != OrderResult::Refused) {
        m_log.write(EventId::OrderSettled, { { "replica", change.id }, { "stage", nameOf(change.stage) } });
        co_return;
    }
    // An order without a response may still take effect, so the replica stays paused.
    if (result)
        m_replicas.endPause(change.id);
    m_log.write(EventId::OrderFailed, { { "replica", change.id }, { "detail", result ? "refused" : result.error().detail } });
}

} // namespace chestnut
