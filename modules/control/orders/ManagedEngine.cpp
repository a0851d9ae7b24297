#include "control/orders/ManagedEngine.h"

#include "control/tickets/ConfigurationCodec.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace chestnut {

namespace {

    constexpr Duration noticeTimeout = std::chrono::seconds(2);
    /** The slots of an engine that has not reported its state for this long are released. Restarts take less time. */
    constexpr Duration unresponsiveLimit = std::chrono::seconds(120);
    /** Allows take-over, drain and send to follow each other in one pass. */
    constexpr int stepsPerPass = 4;

    EngineOrder orderOf(const OrderIntent& intent)
    {
        const auto& desired = intent.desired;
        return { intent.fencingNumber, intent.sequence, desired.revision, desired.role, desired.model, desired.version, desired.adapters };
    }

    ObservedEngine observedOf(const EngineState& state)
    {
        const auto& order = state.order;
        return { order.fencingNumber, order.sequence, { order.revision, 0, order.role, order.model, order.version, order.adapters }, state.isReady };
    }

    bool isJoined(const EngineSpec& engine)
    {
        return engine.membership == Membership::Joined;
    }

} // namespace

OrderService::State::State(asio::io_context& ioContext, OrderDependencies dependencies)
    : context(ioContext)
    , services(dependencies)
    , slots(dependencies.store, dependencies.leases)
{
}

std::optional<Lease> OrderService::State::leaseOf(const ManagedEngine& managed) const
{
    auto lease = services.leases.leaseOf(managed.group);
    if (!lease || services.leases.tenureOf(*lease) != managed.tenure || managed.isEnded)
        return std::nullopt;
    return lease;
}

bool OrderService::State::isBusy(const EngineGroupId& group) const
{
    return std::ranges::any_of(managedEngines, [&group](const auto& entry) { return entry.second->group == group && (entry.second->isBusy || entry.second->drain); });
}

bool OrderService::State::isAnyBusy() const
{
    return std::ranges::any_of(managedEngines, [](const auto& entry) { return entry.second->isBusy; });
}

asio::awaitable<void> OrderService::State::stopManagingAll()
{
    for (const auto& [id, managed] : managedEngines)
        stopManaging(managed);
    managedEngines.clear();
    co_await slots.flush();
}

void OrderService::State::stopManaging(const ManagedEnginePointer& managed)
{
    managed->isEnded = true;
    releaseSlots(*managed);
}

void OrderService::State::releaseSlots(ManagedEngine& managed)
{
    for (const auto& slot : managed.slots)
        slots.release(slot);
    managed.slots.clear();
}

void OrderService::State::updateManagedEngines(const Configuration& current)
{
    std::vector<EngineId> removed;
    for (const auto& [id, managed] : managedEngines) {
        auto engine = current.engines.find(id.value());
        bool isInGroup = engine != current.engines.end() && isJoined(engine->second) && groupOf(engine->second) == managed->group;
        if (!isInGroup || !leaseOf(*managed))
            removed.push_back(id);
    }
    for (const auto& id : removed) {
        stopManaging(managedEngines.at(id));
        managedEngines.erase(id);
    }
    for (const auto& [id, engine] : current.engines) {
        auto lease = isJoined(engine) ? services.leases.leaseOf(groupOf(engine)) : std::nullopt;
        auto& managed = managedEngines[engine.id];
        if (lease && !managed) {
            managed = std::make_shared<ManagedEngine>();
            managed->id = engine.id;
            managed->group = lease->group;
            managed->tenure = services.leases.tenureOf(*lease);
            managed->roleSince = services.timers.now();
        }
        if (!managed)
            managedEngines.erase(engine.id);
    }
}

DrainCandidate OrderService::State::candidateOf(const ManagedEngine& managed, const Configuration& current) const
{
    DrainCandidate candidate { managed.id, 0, 0, managed.waitingSince };
    for (const auto& [id, engine] : current.engines) {
        if (engine.model != managed.desired.model || !isJoined(engine))
            continue;
        ++candidate.joined;
        candidate.ready += services.fleet.acceptsNewWork(ReplicaId(id)) && engine.id != managed.id ? 1 : 0;
    }
    return candidate;
}

bool OrderService::State::keepsMinimumReplicas(const ManagedEngine& managed, const Configuration& current) const
{
    uint32_t joined = 0;
    uint32_t readyOthers = 0;
    for (const auto& [id, engine] : current.engines) {
        if (!isJoined(engine) || groupOf(engine) != managed.group)
            continue;
        ++joined;
        readyOthers += engine.id != managed.id && services.fleet.acceptsNewWork(ReplicaId(id)) ? 1 : 0;
    }
    // Without this cap, a group that is no larger than the minimum could never be changed.
    auto minimum = std::min(current.limits.minimumReplicasPerModelZone, joined == 0 ? 0 : joined - 1);
    return readyOthers >= minimum;
}

asio::awaitable<void> OrderService::State::assignSlots(std::shared_ptr<const Configuration> current)
{
    co_await slots.flush();
    std::vector<DrainCandidate> waiting;
    for (const auto& [id, managed] : managedEngines) {
        if (managed->lastAction == OrderAction::Drain && !managed->drain && !managed->isBusy)
            waiting.push_back(candidateOf(*managed, *current));
    }
    for (const auto& candidate : sortedByUrgency(std::move(waiting))) {
        auto found = managedEngines.find(candidate.engine);
        if (found != managedEngines.end() && !isStopped)
            co_await acquireSlots(found->second, current);
    }
}

asio::awaitable<void> OrderService::State::acquireSlots(ManagedEnginePointer managed, std::shared_ptr<const Configuration> current)
{
    if (!managed->observed)
        co_return;
    if (!keepsMinimumReplicas(*managed, *current)) {
        recordAction(*managed, OrderAction::Drain, "too few other replicas of the model in the zone accept work");
        co_return;
    }
    auto running = managed->observed->running;
    std::vector<std::pair<std::string, uint32_t>> neededSlots;
    auto joined = std::ranges::count_if(current->engines, [&running](const auto& entry) { return entry.second.model == running.model && isJoined(entry.second); });
    if (!running.model.empty())
        neededSlots.emplace_back("away/" + running.model.value(), maximumUnavailable(static_cast<size_t>(joined)));
    if (loadsWeights(running, managed->desired))
        neededSlots.emplace_back("loads", current->limits.maximumConcurrentLoads);
    for (const auto& [prefix, limit] : neededSlots) {
        auto slot = co_await slots.acquire(prefix, limit, managed->id);
        if (!slot) {
            releaseSlots(*managed);
            recordAction(*managed, OrderAction::Drain, "no free slot of " + prefix + ": other engines are unavailable");
            co_return;
        }
        managed->slots.push_back(*slot);
    }
    if (!leaseOf(*managed)) {
        releaseSlots(*managed);
        co_return;
    }
    managed->drain = DrainProgress { services.timers.now(), services.timers.now(), std::nullopt, std::nullopt, {} };
    managed->acknowledgements.clear();
    managed->nextNoticeAt = services.timers.now();
    services.log.write(EventId::DrainStarted, { { "replica", managed->id }, { "reason", "engine change" }, { "fencing_number", managed->intent ? managed->intent->fencingNumber : 0 } });
}

asio::awaitable<void> OrderService::State::tick()
{
    auto self = shared_from_this();
    auto current = services.configuration.current();
    if (isTicking || isStopped || !current)
        co_return;
    isTicking = true;
    updateManagedEngines(*current);
    co_await assignSlots(current);
    isTicking = false;
    for (const auto& [id, managed] : managedEngines) {
        if (managed->isBusy || isStopped)
            continue;
        managed->isBusy = true;
        asio::co_spawn(
            context, [](std::shared_ptr<State> state, ManagedEnginePointer pointer) { return state->run(std::move(pointer)); }(self, managed), [self](std::exception_ptr) {});
    }
}

asio::awaitable<void> OrderService::State::run(ManagedEnginePointer managed)
{
    auto self = shared_from_this();
    bool hasMore = true;
    for (int i = 0; i < stepsPerPass && hasMore && !isStopped; ++i)
        hasMore = co_await step(managed);
    managed->isBusy = false;
}

asio::awaitable<bool> OrderService::State::readIntent(ManagedEnginePointer managed)
{
    auto read = co_await services.store.read(std::string(intentPrefix) + managed->id.value());
    if (!read) {
        recordAction(*managed, OrderAction::Wait, "cannot read the intent: " + read.error().detail);
        co_return false;
    }
    managed->intent.reset();
    managed->intentIndex = read->entry ? read->entry->modifyIndex : 0;
    if (read->entry) {
        if (auto intent = decodeIntent(read->entry->value))
            managed->intent = *intent;
    }
    managed->isIntentRead = true;
    co_return true;
}

asio::awaitable<void> OrderService::State::observe(ManagedEnginePointer managed, Endpoint endpoint)
{
    auto state = co_await services.engines.state(endpoint);
    if (!state) {
        managed->observed.reset();
        managed->unresponsiveSince = managed->unresponsiveSince.value_or(services.timers.now());
        co_return;
    }
    managed->unresponsiveSince.reset();
    managed->observed = observedOf(*state);
    if (state->isReady)
        managed->changingSince.reset();
    else if (!managed->changingSince)
        managed->changingSince = services.timers.now();
}

asio::awaitable<bool> OrderService::State::step(ManagedEnginePointer managed)
{
    auto current = services.configuration.current();
    auto engine = current->engines.find(managed->id.value());
    auto endpoint = engine == current->engines.end() ? std::nullopt : parseEndpoint(engine->second.address);
    if (!endpoint || groupOf(engine->second) != managed->group || !leaseOf(*managed))
        co_return false;
    if (!managed->isIntentRead && !co_await readIntent(managed))
        co_return false;
    co_await observe(managed, *endpoint);
    releaseSlotsIfUnresponsive(*managed);
    if (managed->drain)
        co_await continueDrain(managed, *endpoint);
    auto lease = leaseOf(*managed);
    if (!lease)
        co_return false;
    auto intent = managed->intent;
    if (managed->mustReclaim && intent)
        intent->holder.clear();
    managed->desired = desiredEngine(*current, engine->second, intent, managed->decidedRole);
    auto now = services.timers.now();
    bool isEngineDrained = managed->drain && isDrained(*managed->drain, now);
    auto next = nextOrderStep({ *lease, managed->tenure, intent, managed->observed, managed->desired, isEngineDrained, managed->sendFrom, managed->changingSince.value_or(now), managed->retryAt, now });
    if (managed->lastAction != next.action)
        managed->waitingSince = now;
    auto reason = next.action == OrderAction::Drain && managed->lastAction == OrderAction::Drain && !managed->drain ? managed->problem : next.reason;
    recordAction(*managed, next.action, reason);
    switch (next.action) {
    case OrderAction::Settled:
        settle(managed);
        co_return false;
    case OrderAction::TakeOver:
        co_return co_await takeOver(managed, std::move(next.intent));
    case OrderAction::Send:
        co_await send(managed, *endpoint, std::move(next.intent));
        co_return false;
    case OrderAction::Yield:
        managed->isIntentRead = false;
        managed->mustReclaim = true;
        co_return true;
    case OrderAction::Drain:
    case OrderAction::Wait:
        co_return false;
    }
    co_return false;
}

asio::awaitable<bool> OrderService::State::writeIntent(ManagedEnginePointer managed, OrderIntent intent)
{
    auto key = std::string(intentPrefix) + managed->id.value();
    auto written = co_await services.store.compareAndSwap(key, encodeIntent(intent), managed->intentIndex);
    // The response lacks the index of the write, so the record is read back. This also resolves lost responses.
    managed->isIntentRead = false;
    if (written && !*written) {
        services.log.write(EventId::OrderSuperseded, { { "engine", managed->id }, { "fencing_number", intent.fencingNumber }, { "sequence", intent.sequence } });
        co_return false;
    }
    if (!written)
        recordAction(*managed, OrderAction::Wait, "cannot write the intent: " + written.error().detail);
    if (!co_await readIntent(managed))
        co_return false;
    co_return managed->intent == intent;
}

asio::awaitable<bool> OrderService::State::takeOver(ManagedEnginePointer managed, OrderIntent intent)
{
    // The successor's wait covers the former holder of this group, but not the holder of the engine's previous group.
    bool fromOtherGroup = managed->intent && managed->intent->group != managed->group;
    bool isTakenOver = co_await writeIntent(managed, std::move(intent));
    if (!isTakenOver)
        co_return false;
    managed->mustReclaim = false;
    managed->sendFrom = services.timers.now() + (fromOtherGroup ? orderTimeout + leaseMargin : Duration::zero());
    co_return true;
}

asio::awaitable<void> OrderService::State::send(ManagedEnginePointer managed, Endpoint endpoint, OrderIntent intent)
{
    if (!co_await writeIntent(managed, intent))
        co_return;
    auto lease = leaseOf(*managed);
    if (!lease || !mayOrder(*lease, services.timers.now()) || isStopped)
        co_return;
    if (managed->observed && managed->observed->running.role != intent.desired.role)
        managed->roleSince = services.timers.now();
    managed->decidedRole.reset();
    managed->retryAt = services.timers.now() + orderRetryDelay(managed->attempts++);
    managed->lastAction = OrderAction::Wait;
    services.log.write(EventId::OrderSent,
        { { "engine", managed->id }, { "group", managed->group }, { "fencing_number", intent.fencingNumber }, { "sequence", intent.sequence }, { "revision", intent.desired.revision },
            { "desired", desiredToJson(intent.desired).dump() }, { "observed", managed->observed ? desiredToJson(managed->observed->running).dump() : "" },
            { "lease_left_seconds", toSeconds(leaseEnd(*lease) - services.timers.now()) }, { "attempt", managed->attempts } });
    auto result = co_await services.engines.order(endpoint, orderOf(intent), orderTimeout);
    if (result)
        co_return;
    managed->problem = std::string(describe(result.error().kind).name) + ": " + result.error().detail;
    services.log.write(EventId::OrderFailed, { { "engine", managed->id }, { "sequence", intent.sequence }, { "reason", managed->problem } });
}

asio::awaitable<void> OrderService::State::continueDrain(ManagedEnginePointer managed, Endpoint endpoint)
{
    if (services.timers.now() >= managed->nextNoticeAt) {
        managed->nextNoticeAt = services.timers.now() + noticePeriod;
        broadcastNotice(managed, true);
    }
    updateDrainAcknowledgement(*managed);
    auto load = co_await services.engines.load(endpoint);
    if (!managed->drain)
        co_return;
    bool wasDrained = isDrained(*managed->drain, services.timers.now());
    if (load) {
        managed->drain->running = load->running;
        managed->drain->reportedAt = services.timers.now() - load->age;
    }
    if (!wasDrained && isDrained(*managed->drain, services.timers.now()))
        services.log.write(EventId::DrainFinished, { { "replica", managed->id }, { "running", managed->drain->running.value_or(0) }, { "seconds", toSeconds(services.timers.now() - managed->drain->since) } });
}

void OrderService::State::broadcastNotice(const ManagedEnginePointer& managed, bool isUnavailable)
{
    auto number = managed->intent ? managed->intent->fencingNumber : 0;
    auto role = managed->observed ? managed->observed->running.role : managed->desired.role;
    EngineNotice notice { managed->id, isUnavailable, role, number, ++managed->noticeCounter };
    services.fleet.applyNotice(notice);
    for (const auto& member : services.peers.members()) {
        if (member.id != services.peers.self() && member.state != MemberState::Dropped)
            asio::co_spawn(context, sendNotice(shared_from_this(), managed, member.id, notice), asio::detached);
    }
}

asio::awaitable<void> OrderService::State::sendNotice(std::shared_ptr<State> state, ManagedEnginePointer managed, DaemonId member, EngineNotice notice)
{
    auto sentAt = state->services.timers.now();
    auto reply = co_await state->services.peers.call(member, engineNoticeMessage, noticeToJson(notice), noticeTimeout);
    if (reply && notice.isUnavailable)
        managed->acknowledgements[member] = sentAt;
}

bool OrderService::State::isAcknowledgedByAll(const ManagedEngine& managed) const
{
    return std::ranges::all_of(services.peers.members(), [this, &managed](const MemberRecord& member) {
        bool isUnreachable = member.state == MemberState::Suspected || member.state == MemberState::Dropped;
        auto acknowledged = managed.acknowledgements.find(member.id);
        bool isAcknowledged = acknowledged != managed.acknowledgements.end() && services.timers.now() < acknowledged->second + noticeValidity;
        return isUnreachable || member.id == services.peers.self() || isAcknowledged;
    });
}

void OrderService::State::updateDrainAcknowledgement(ManagedEngine& managed) const
{
    auto& drain = *managed.drain;
    bool isAcknowledged = isAcknowledgedByAll(managed);
    if (isAcknowledged && !drain.acknowledgedAt)
        drain.acknowledgedAt = services.timers.now();
    if (isAcknowledged || !drain.acknowledgedAt)
        return;
    // A member joined, or its acknowledged notice expired. Until that member acknowledges a new notice, it may send
    // work to the engine.
    drain.acknowledgedAt.reset();
    drain.requestedAt = services.timers.now();
}

void OrderService::State::releaseSlotsIfUnresponsive(ManagedEngine& managed)
{
    // An engine that never returns from a change must not block changes of the other engines of its model.
    if (managed.unresponsiveSince && services.timers.now() - *managed.unresponsiveSince >= unresponsiveLimit)
        releaseSlots(managed);
    if (managed.observed && managed.drain && managed.slots.empty())
        managed.drain.reset();
}

void OrderService::State::settle(const ManagedEnginePointer& managed)
{
    managed->attempts = 0;
    managed->decidedRole.reset();
    releaseSlots(*managed);
    if (!managed->drain)
        return;
    managed->drain.reset();
    broadcastNotice(managed, false);
}

void OrderService::State::recordAction(ManagedEngine& managed, OrderAction action, const std::string& reason)
{
    bool isChanged = managed.problem != reason || managed.lastAction != action;
    managed.lastAction = action;
    managed.problem = reason;
    if (!isChanged)
        return;
    auto event = action == OrderAction::Settled ? EventId::OrderSettled : EventId::OrderWaiting;
    services.log.write(event, { { "engine", managed.id }, { "group", managed.group }, { "reason", reason }, { "desired", desiredToJson(managed.desired).dump() }, { "observed", managed.observed ? desiredToJson(managed.observed->running).dump() : "" } });
}

} // namespace chestnut
