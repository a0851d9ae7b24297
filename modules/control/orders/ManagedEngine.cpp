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

std::optional<Lease> OrderService::State::leaseOf(const EngineWork& work) const
{
    auto lease = services.leases.leaseOf(work.group);
    if (!lease || services.leases.tenureOf(*lease) != work.tenure || work.isEnded)
        return std::nullopt;
    return lease;
}

bool OrderService::State::isBusy(const EngineGroupId& group) const
{
    return std::ranges::any_of(workByEngine, [&group](const auto& entry) { return entry.second->group == group && (entry.second->isBusy || entry.second->drain); });
}

bool OrderService::State::isAnyBusy() const
{
    return std::ranges::any_of(workByEngine, [](const auto& entry) { return entry.second->isBusy; });
}

asio::awaitable<void> OrderService::State::finish()
{
    for (const auto& [id, work] : workByEngine)
        endWork(work);
    workByEngine.clear();
    co_await slots.flush();
}

void OrderService::State::endWork(const EngineWorkPointer& work)
{
    work->isEnded = true;
    releaseSlots(*work);
}

void OrderService::State::releaseSlots(EngineWork& work)
{
    for (const auto& slot : work.slots)
        slots.release(slot);
    work.slots.clear();
}

void OrderService::State::updateWork(const Configuration& current)
{
    std::vector<EngineId> removed;
    for (const auto& [id, work] : workByEngine) {
        auto engine = current.engines.find(id.value());
        bool isInGroup = engine != current.engines.end() && isJoined(engine->second) && groupOf(engine->second) == work->group;
        if (!isInGroup || !leaseOf(*work))
            removed.push_back(id);
    }
    for (const auto& id : removed) {
        endWork(workByEngine.at(id));
        workByEngine.erase(id);
    }
    for (const auto& [id, engine] : current.engines) {
        auto lease = isJoined(engine) ? services.leases.leaseOf(groupOf(engine)) : std::nullopt;
        auto& work = workByEngine[engine.id];
        if (lease && !work) {
            work = std::make_shared<EngineWork>();
            work->id = engine.id;
            work->group = lease->group;
            work->tenure = services.leases.tenureOf(*lease);
            work->roleSince = services.timers.now();
        }
        if (!work)
            workByEngine.erase(engine.id);
    }
}

AwayCandidate OrderService::State::candidateOf(const EngineWork& work, const Configuration& current) const
{
    AwayCandidate candidate { work.id, 0, 0, work.waitingSince };
    for (const auto& [id, engine] : current.engines) {
        if (engine.model != work.desired.model || !isJoined(engine))
            continue;
        ++candidate.joined;
        candidate.ready += services.fleet.acceptsNewWork(ReplicaId(id)) && engine.id != work.id ? 1 : 0;
    }
    return candidate;
}

bool OrderService::State::keepsMinimumReplicas(const EngineWork& work, const Configuration& current) const
{
    uint32_t joined = 0;
    uint32_t readyOthers = 0;
    for (const auto& [id, engine] : current.engines) {
        if (!isJoined(engine) || groupOf(engine) != work.group)
            continue;
        ++joined;
        readyOthers += engine.id != work.id && services.fleet.acceptsNewWork(ReplicaId(id)) ? 1 : 0;
    }
    // Without this cap, a group that is no larger than the minimum could never be changed.
    auto minimum = std::min(current.limits.minimumReplicasPerModelZone, joined == 0 ? 0 : joined - 1);
    return readyOthers >= minimum;
}

asio::awaitable<void> OrderService::State::assignSlots(std::shared_ptr<const Configuration> current)
{
    co_await slots.flush();
    std::vector<AwayCandidate> waiting;
    for (const auto& [id, work] : workByEngine) {
        if (work->lastAction == OrderAction::Drain && !work->drain && !work->isBusy)
            waiting.push_back(candidateOf(*work, *current));
    }
    for (const auto& candidate : byNeed(std::move(waiting))) {
        auto found = workByEngine.find(candidate.engine);
        if (found != workByEngine.end() && !isStopped)
            co_await acquireSlots(found->second, current);
    }
}

asio::awaitable<void> OrderService::State::acquireSlots(EngineWorkPointer work, std::shared_ptr<const Configuration> current)
{
    if (!work->observed)
        co_return;
    if (!keepsMinimumReplicas(*work, *current)) {
        recordAction(*work, OrderAction::Drain, "too few other replicas of the model in the zone accept work");
        co_return;
    }
    auto running = work->observed->running;
    std::vector<std::pair<std::string, uint32_t>> neededSlots;
    auto joined = std::ranges::count_if(current->engines, [&running](const auto& entry) { return entry.second.model == running.model && isJoined(entry.second); });
    if (!running.model.empty())
        neededSlots.emplace_back("away/" + running.model.value(), awayLimit(static_cast<size_t>(joined)));
    if (loadsWeights(running, work->desired))
        neededSlots.emplace_back("loads", current->limits.maximumConcurrentLoads);
    for (const auto& [prefix, limit] : neededSlots) {
        auto slot = co_await slots.acquire(prefix, limit, work->id);
        if (!slot) {
            releaseSlots(*work);
            recordAction(*work, OrderAction::Drain, "no free slot of " + prefix + ": other engines are unavailable");
            co_return;
        }
        work->slots.push_back(*slot);
    }
    if (!leaseOf(*work)) {
        releaseSlots(*work);
        co_return;
    }
    work->drain = DrainProgress { services.timers.now(), services.timers.now(), std::nullopt, std::nullopt, {} };
    work->acknowledgments.clear();
    work->nextNoticeAt = services.timers.now();
    services.log.write(EventId::DrainStarted, { { "replica", work->id }, { "reason", "engine change" }, { "fencing_number", work->intent ? work->intent->fencingNumber : 0 } });
}

asio::awaitable<void> OrderService::State::tick()
{
    auto self = shared_from_this();
    auto current = services.configuration.current();
    if (isTicking || isStopped || !current)
        co_return;
    isTicking = true;
    updateWork(*current);
    co_await assignSlots(current);
    isTicking = false;
    for (const auto& [id, work] : workByEngine) {
        if (work->isBusy || isStopped)
            continue;
        work->isBusy = true;
        asio::co_spawn(
            context, [](std::shared_ptr<State> state, EngineWorkPointer pointer) { return state->run(std::move(pointer)); }(self, work), [self](std::exception_ptr) {});
    }
}

asio::awaitable<void> OrderService::State::run(EngineWorkPointer work)
{
    auto self = shared_from_this();
    bool hasMore = true;
    for (int i = 0; i < stepsPerPass && hasMore && !isStopped; ++i)
        hasMore = co_await step(work);
    work->isBusy = false;
}

asio::awaitable<bool> OrderService::State::readIntent(EngineWorkPointer work)
{
    auto read = co_await services.store.read(std::string(intentPrefix) + work->id.value());
    if (!read) {
        recordAction(*work, OrderAction::Wait, "cannot read the intent: " + read.error().detail);
        co_return false;
    }
    work->intent.reset();
    work->intentIndex = read->entry ? read->entry->modifyIndex : 0;
    if (read->entry) {
        if (auto intent = decodeIntent(read->entry->value))
            work->intent = *intent;
    }
    work->isIntentRead = true;
    co_return true;
}

asio::awaitable<void> OrderService::State::observe(EngineWorkPointer work, Endpoint endpoint)
{
    auto state = co_await services.engines.state(endpoint);
    if (!state) {
        work->observed.reset();
        work->unresponsiveSince = work->unresponsiveSince.value_or(services.timers.now());
        co_return;
    }
    work->unresponsiveSince.reset();
    work->observed = observedOf(*state);
    if (state->isReady)
        work->changingSince.reset();
    else if (!work->changingSince)
        work->changingSince = services.timers.now();
}

asio::awaitable<bool> OrderService::State::step(EngineWorkPointer work)
{
    auto current = services.configuration.current();
    auto engine = current->engines.find(work->id.value());
    auto endpoint = engine == current->engines.end() ? std::nullopt : parseEndpoint(engine->second.address);
    if (!endpoint || groupOf(engine->second) != work->group || !leaseOf(*work))
        co_return false;
    if (!work->isIntentRead && !co_await readIntent(work))
        co_return false;
    co_await observe(work, *endpoint);
    releaseSlotsIfUnresponsive(*work);
    if (work->drain)
        co_await continueDrain(work, *endpoint);
    auto lease = leaseOf(*work);
    if (!lease)
        co_return false;
    auto intent = work->intent;
    if (work->mustReclaim && intent)
        intent->holder.clear();
    work->desired = desiredEngine(*current, engine->second, intent, work->decidedRole);
    auto now = services.timers.now();
    bool isEmpty = work->drain && isDrained(*work->drain, now);
    auto next = nextOrderStep({ *lease, work->tenure, intent, work->observed, work->desired, isEmpty, work->sendFrom, work->changingSince.value_or(now), work->retryAt, now });
    if (work->lastAction != next.action)
        work->waitingSince = now;
    auto reason = next.action == OrderAction::Drain && work->lastAction == OrderAction::Drain && !work->drain ? work->problem : next.reason;
    recordAction(*work, next.action, reason);
    switch (next.action) {
    case OrderAction::Settled:
        settle(work);
        co_return false;
    case OrderAction::Claim:
        co_return co_await takeOver(work, std::move(next.intent));
    case OrderAction::Send:
        co_await send(work, *endpoint, std::move(next.intent));
        co_return false;
    case OrderAction::Yield:
        work->isIntentRead = false;
        work->mustReclaim = true;
        co_return true;
    case OrderAction::Drain:
    case OrderAction::Wait:
        co_return false;
    }
    co_return false;
}

asio::awaitable<bool> OrderService::State::writeIntent(EngineWorkPointer work, OrderIntent intent)
{
    auto key = std::string(intentPrefix) + work->id.value();
    auto written = co_await services.store.compareAndSwap(key, encodeIntent(intent), work->intentIndex);
    // The response lacks the index of the write, so the record is read back. This also resolves lost responses.
    work->isIntentRead = false;
    if (written && !*written) {
        services.log.write(EventId::OrderSuperseded, { { "engine", work->id }, { "fencing_number", intent.fencingNumber }, { "sequence", intent.sequence } });
        co_return false;
    }
    if (!written)
        recordAction(*work, OrderAction::Wait, "cannot write the intent: " + written.error().detail);
    if (!co_await readIntent(work))
        co_return false;
    co_return work->intent == intent;
}

asio::awaitable<bool> OrderService::State::takeOver(EngineWorkPointer work, OrderIntent intent)
{
    // The successor's wait covers the former holder of this group, but not the holder of the engine's previous group.
    bool fromOtherGroup = work->intent && work->intent->group != work->group;
    bool isTakenOver = co_await writeIntent(work, std::move(intent));
    if (!isTakenOver)
        co_return false;
    work->mustReclaim = false;
    work->sendFrom = services.timers.now() + (fromOtherGroup ? orderTimeout + leaseMargin : Duration::zero());
    co_return true;
}

asio::awaitable<void> OrderService::State::send(EngineWorkPointer work, Endpoint endpoint, OrderIntent intent)
{
    if (!co_await writeIntent(work, intent))
        co_return;
    auto lease = leaseOf(*work);
    if (!lease || !mayOrder(*lease, services.timers.now()) || isStopped)
        co_return;
    if (work->observed && work->observed->running.role != intent.desired.role)
        work->roleSince = services.timers.now();
    work->decidedRole.reset();
    work->retryAt = services.timers.now() + orderRetryDelay(work->attempts++);
    work->lastAction = OrderAction::Wait;
    services.log.write(EventId::OrderSent,
        { { "engine", work->id }, { "group", work->group }, { "fencing_number", intent.fencingNumber }, { "sequence", intent.sequence }, { "revision", intent.desired.revision },
            { "desired", desiredToJson(intent.desired).dump() }, { "observed", work->observed ? desiredToJson(work->observed->running).dump() : "" },
            { "lease_left_seconds", toSeconds(leaseEnd(*lease) - services.timers.now()) }, { "attempt", work->attempts } });
    auto result = co_await services.engines.order(endpoint, orderOf(intent), orderTimeout);
    if (result)
        co_return;
    work->problem = std::string(answerFor(result.error().kind).name) + ": " + result.error().detail;
    services.log.write(EventId::OrderFailed, { { "engine", work->id }, { "sequence", intent.sequence }, { "reason", work->problem } });
}

asio::awaitable<void> OrderService::State::continueDrain(EngineWorkPointer work, Endpoint endpoint)
{
    if (services.timers.now() >= work->nextNoticeAt) {
        work->nextNoticeAt = services.timers.now() + noticePeriod;
        broadcastNotice(work, true);
    }
    updateAcknowledged(*work);
    auto load = co_await services.engines.load(endpoint);
    if (!work->drain)
        co_return;
    bool wasDrained = isDrained(*work->drain, services.timers.now());
    if (load) {
        work->drain->running = load->running;
        work->drain->reportedAt = services.timers.now() - load->age;
    }
    if (!wasDrained && isDrained(*work->drain, services.timers.now()))
        services.log.write(EventId::DrainFinished, { { "replica", work->id }, { "running", work->drain->running.value_or(0) }, { "seconds", toSeconds(services.timers.now() - work->drain->since) } });
}

void OrderService::State::broadcastNotice(const EngineWorkPointer& work, bool isUnavailable)
{
    auto number = work->intent ? work->intent->fencingNumber : 0;
    auto role = work->observed ? work->observed->running.role : work->desired.role;
    EngineNotice notice { work->id, isUnavailable, role, number, ++work->noticeCounter };
    services.fleet.applyNotice(notice);
    for (const auto& member : services.peers.members()) {
        if (member.id != services.peers.self() && member.state != MemberState::Dropped)
            asio::co_spawn(context, sendNotice(shared_from_this(), work, member.id, notice), asio::detached);
    }
}

asio::awaitable<void> OrderService::State::sendNotice(std::shared_ptr<State> state, EngineWorkPointer work, DaemonId member, EngineNotice notice)
{
    auto sentAt = state->services.timers.now();
    auto reply = co_await state->services.peers.call(member, engineNoticeMessage, noticeToJson(notice), noticeTimeout);
    if (reply && notice.isUnavailable)
        work->acknowledgments[member] = sentAt;
}

bool OrderService::State::isAcknowledgedByAll(const EngineWork& work) const
{
    return std::ranges::all_of(services.peers.members(), [this, &work](const MemberRecord& member) {
        bool isUnreachable = member.state == MemberState::Suspected || member.state == MemberState::Dropped;
        auto acknowledged = work.acknowledgments.find(member.id);
        bool isAcknowledged = acknowledged != work.acknowledgments.end() && services.timers.now() < acknowledged->second + noticeValidity;
        return isUnreachable || member.id == services.peers.self() || isAcknowledged;
    });
}

void OrderService::State::updateAcknowledged(EngineWork& work) const
{
    auto& drain = *work.drain;
    bool isAcknowledged = isAcknowledgedByAll(work);
    if (isAcknowledged && !drain.informedAt)
        drain.informedAt = services.timers.now();
    if (isAcknowledged || !drain.informedAt)
        return;
    // A member joined, or its notice expired: it may send work to the engine until it acknowledges a notice again.
    drain.informedAt.reset();
    drain.askedAt = services.timers.now();
}

void OrderService::State::releaseSlotsIfUnresponsive(EngineWork& work)
{
    // An engine that never returns from a change must not block changes of the other engines of its model.
    if (work.unresponsiveSince && services.timers.now() - *work.unresponsiveSince >= unresponsiveLimit)
        releaseSlots(work);
    if (work.observed && work.drain && work.slots.empty())
        work.drain.reset();
}

void OrderService::State::settle(const EngineWorkPointer& work)
{
    work->attempts = 0;
    work->decidedRole.reset();
    releaseSlots(*work);
    if (!work->drain)
        return;
    work->drain.reset();
    broadcastNotice(work, false);
}

void OrderService::State::recordAction(EngineWork& work, OrderAction action, const std::string& reason)
{
    bool isChanged = work.problem != reason || work.lastAction != action;
    work.lastAction = action;
    work.problem = reason;
    if (!isChanged)
        return;
    auto event = action == OrderAction::Settled ? EventId::OrderSettled : EventId::OrderWaiting;
    services.log.write(event, { { "engine", work.id }, { "group", work.group }, { "reason", reason }, { "desired", desiredToJson(work.desired).dump() }, { "observed", work.observed ? desiredToJson(work.observed->running).dump() : "" } });
}

} // namespace chestnut
