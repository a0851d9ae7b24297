#include "control/orders/EngineWork.h"

#include "control/tickets/ConfigurationCodec.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace chestnut {

namespace {

    constexpr Duration informTimeout = std::chrono::seconds(2);
    /** An engine that has not reported its state for this long gives its slots to others; restarts take less. */
    constexpr Duration silenceBound = std::chrono::seconds(120);
    /** Claim, drain and send can follow each other in one pass. */
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

    bool isWorkable(const EngineSpec& engine)
    {
        return engine.membership == Membership::Joined;
    }

} // namespace

OrderService::State::State(asio::io_context& ioContext, OrderDependencies dependencies)
    : context(ioContext)
    , on(dependencies)
    , slots(dependencies.store, dependencies.leases)
{
}

std::optional<Lease> OrderService::State::leaseOf(const EngineWork& work) const
{
    auto lease = on.leases.leaseOf(work.group);
    if (!lease || on.leases.tenureOf(*lease) != work.tenure || work.isEnded)
        return std::nullopt;
    return lease;
}

bool OrderService::State::isBusy(const EngineGroupId& group) const
{
    return std::ranges::any_of(works, [&group](const auto& entry) { return entry.second->group == group && (entry.second->isBusy || entry.second->drain); });
}

bool OrderService::State::hasWorkInProgress() const
{
    return std::ranges::any_of(works, [](const auto& entry) { return entry.second->isBusy; });
}

asio::awaitable<void> OrderService::State::finish()
{
    for (const auto& [id, work] : works)
        drop(work);
    works.clear();
    co_await slots.flush();
}

void OrderService::State::drop(const EngineWorkPointer& work)
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

void OrderService::State::matchWorks(const Configuration& current)
{
    std::vector<EngineId> ended;
    for (const auto& [id, work] : works) {
        auto engine = current.engines.find(id.value());
        bool belongs = engine != current.engines.end() && isWorkable(engine->second) && groupOf(engine->second) == work->group;
        if (!belongs || !leaseOf(*work))
            ended.push_back(id);
    }
    for (const auto& id : ended) {
        drop(works.at(id));
        works.erase(id);
    }
    for (const auto& [id, engine] : current.engines) {
        auto lease = isWorkable(engine) ? on.leases.leaseOf(groupOf(engine)) : std::nullopt;
        auto& work = works[engine.id];
        if (lease && !work) {
            work = std::make_shared<EngineWork>();
            work->id = engine.id;
            work->group = lease->group;
            work->tenure = on.leases.tenureOf(*lease);
            work->roleSince = on.timers.now();
        }
        if (!work)
            works.erase(engine.id);
    }
}

DrainCandidate OrderService::State::candidateOf(const EngineWork& work, const Configuration& current) const
{
    DrainCandidate candidate { work.id, 0, 0, work.waitingSince };
    for (const auto& [id, engine] : current.engines) {
        if (engine.model != work.desired.model || !isWorkable(engine))
            continue;
        ++candidate.joined;
        candidate.ready += on.fleet.acceptsNewWork(ReplicaId(id)) && engine.id != work.id ? 1 : 0;
    }
    return candidate;
}

bool OrderService::State::keepsFloor(const EngineWork& work, const Configuration& current) const
{
    uint32_t joined = 0;
    uint32_t readyOthers = 0;
    for (const auto& [id, engine] : current.engines) {
        if (!isWorkable(engine) || groupOf(engine) != work.group)
            continue;
        ++joined;
        readyOthers += engine.id != work.id && on.fleet.acceptsNewWork(ReplicaId(id)) ? 1 : 0;
    }
    // A group that is no larger than the floor could otherwise never be changed.
    auto floor = std::min(current.limits.minimumReplicasPerModelZone, joined == 0 ? 0 : joined - 1);
    return readyOthers >= floor;
}

asio::awaitable<void> OrderService::State::assignSlots(std::shared_ptr<const Configuration> current)
{
    co_await slots.flush();
    std::vector<DrainCandidate> waiting;
    for (const auto& [id, work] : works) {
        if (work->lastAction == OrderAction::Drain && !work->drain && !work->isBusy)
            waiting.push_back(candidateOf(*work, *current));
    }
    for (const auto& candidate : sortedByUrgency(std::move(waiting))) {
        auto found = works.find(candidate.engine);
        if (found != works.end() && !isStopped)
            co_await takeSlots(found->second, current);
    }
}

asio::awaitable<void> OrderService::State::takeSlots(EngineWorkPointer work, std::shared_ptr<const Configuration> current)
{
    if (!work->observed)
        co_return;
    if (!keepsFloor(*work, *current)) {
        note(*work, OrderAction::Drain, "too few replicas of its model and zone accept work");
        co_return;
    }
    auto running = work->observed->running;
    std::vector<std::pair<std::string, uint32_t>> wanted;
    auto joined = std::ranges::count_if(current->engines, [&running](const auto& entry) { return entry.second.model == running.model && isWorkable(entry.second); });
    if (!running.model.empty())
        wanted.emplace_back("away/" + running.model.value(), maximumUnavailable(static_cast<size_t>(joined)));
    if (loadsWeights(running, work->desired))
        wanted.emplace_back("loads", current->limits.maximumConcurrentLoads);
    for (const auto& [prefix, limit] : wanted) {
        auto slot = co_await slots.acquire(prefix, limit, work->id);
        if (!slot) {
            releaseSlots(*work);
            note(*work, OrderAction::Drain, "no free slot of " + prefix + ": other engines are away");
            co_return;
        }
        work->slots.push_back(*slot);
    }
    if (!leaseOf(*work)) {
        releaseSlots(*work);
        co_return;
    }
    work->drain = DrainProgress { on.timers.now(), on.timers.now(), std::nullopt, std::nullopt, {} };
    work->informed.clear();
    work->informDue = on.timers.now();
    on.log.write(EventId::DrainStarted, { { "replica", work->id }, { "reason", "engine change" }, { "fencing_number", work->intent ? work->intent->fencingNumber : 0 } });
}

asio::awaitable<void> OrderService::State::tick()
{
    auto self = shared_from_this();
    auto current = on.configuration.current();
    if (isTicking || isStopped || !current)
        co_return;
    isTicking = true;
    matchWorks(*current);
    co_await assignSlots(current);
    isTicking = false;
    for (const auto& [id, work] : works) {
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
    auto read = co_await on.store.read(std::string(intentPrefix) + work->id.value());
    if (!read) {
        note(*work, OrderAction::Wait, "the intent cannot be read: " + read.error().detail);
        co_return false;
    }
    work->intent.reset();
    work->intentIndex = read->entry ? read->entry->modifyIndex : 0;
    if (read->entry) {
        if (auto intent = decodeIntent(read->entry->value))
            work->intent = *intent;
    }
    work->isIntentKnown = true;
    co_return true;
}

asio::awaitable<void> OrderService::State::observe(EngineWorkPointer work, Endpoint endpoint)
{
    auto state = co_await on.engines.state(endpoint);
    if (!state) {
        work->observed.reset();
        work->silentSince = work->silentSince.value_or(on.timers.now());
        co_return;
    }
    work->silentSince.reset();
    work->observed = observedOf(*state);
    if (state->isReady)
        work->changingSince.reset();
    else if (!work->changingSince)
        work->changingSince = on.timers.now();
}

asio::awaitable<bool> OrderService::State::step(EngineWorkPointer work)
{
    auto current = on.configuration.current();
    auto engine = current->engines.find(work->id.value());
    auto endpoint = engine == current->engines.end() ? std::nullopt : parseEndpoint(engine->second.address);
    if (!endpoint || groupOf(engine->second) != work->group || !leaseOf(*work))
        co_return false;
    if (!work->isIntentKnown && !co_await readIntent(work))
        co_return false;
    co_await observe(work, *endpoint);
    limitSilence(*work);
    if (work->drain)
        co_await continueDrain(work, *endpoint);
    auto lease = leaseOf(*work);
    if (!lease)
        co_return false;
    auto intent = work->intent;
    if (work->mustReclaim && intent)
        intent->holder.clear();
    work->desired = desiredEngine(*current, engine->second, intent, work->decidedRole);
    auto now = on.timers.now();
    bool isEmpty = work->drain && isDrained(*work->drain, now);
    auto next = nextOrderStep({ *lease, work->tenure, intent, work->observed, work->desired, isEmpty, work->sendFrom, work->changingSince.value_or(now), work->retryAt, now });
    if (work->lastAction != next.action)
        work->waitingSince = now;
    auto reason = next.action == OrderAction::Drain && work->lastAction == OrderAction::Drain && !work->drain ? work->problem : next.reason;
    note(*work, next.action, reason);
    switch (next.action) {
    case OrderAction::Settled:
        settle(work);
        co_return false;
    case OrderAction::TakeOver:
        co_return co_await claim(work, std::move(next.intent));
    case OrderAction::Send:
        co_await send(work, *endpoint, std::move(next.intent));
        co_return false;
    case OrderAction::Yield:
        work->isIntentKnown = false;
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
    auto written = co_await on.store.compareAndSwap(key, encodeIntent(intent), work->intentIndex);
    // The write's index is not in the answer, so the record is read back; that also settles lost answers.
    work->isIntentKnown = false;
    if (written && !*written) {
        on.log.write(EventId::OrderSuperseded, { { "engine", work->id }, { "fencing_number", intent.fencingNumber }, { "sequence", intent.sequence } });
        co_return false;
    }
    if (!written)
        note(*work, OrderAction::Wait, "the intent cannot be written: " + written.error().detail);
    if (!co_await readIntent(work))
        co_return false;
    co_return work->intent == intent;
}

asio::awaitable<bool> OrderService::State::claim(EngineWorkPointer work, OrderIntent intent)
{
    // The successor's wait covers a former holder of this group, but not the holder of a group that the engine left.
    bool fromOtherGroup = work->intent && work->intent->group != work->group;
    bool isClaimed = co_await writeIntent(work, std::move(intent));
    if (!isClaimed)
        co_return false;
    work->mustReclaim = false;
    work->sendFrom = on.timers.now() + (fromOtherGroup ? orderTimeout + leaseMargin : Duration::zero());
    co_return true;
}

asio::awaitable<void> OrderService::State::send(EngineWorkPointer work, Endpoint endpoint, OrderIntent intent)
{
    if (!co_await writeIntent(work, intent))
        co_return;
    auto lease = leaseOf(*work);
    if (!lease || !mayOrder(*lease, on.timers.now()) || isStopped)
        co_return;
    if (work->observed && work->observed->running.role != intent.desired.role)
        work->roleSince = on.timers.now();
    work->decidedRole.reset();
    work->retryAt = on.timers.now() + orderRetryDelay(work->attempts++);
    work->lastAction = OrderAction::Wait;
    on.log.write(EventId::OrderSent,
        { { "engine", work->id }, { "group", work->group }, { "fencing_number", intent.fencingNumber }, { "sequence", intent.sequence }, { "revision", intent.desired.revision },
            { "desired", desiredToJson(intent.desired).dump() }, { "observed", work->observed ? desiredToJson(work->observed->running).dump() : "" },
            { "lease_left_seconds", toSeconds(leaseEnd(*lease) - on.timers.now()) }, { "attempt", work->attempts } });
    auto result = co_await on.engines.order(endpoint, orderOf(intent), orderTimeout);
    if (result)
        co_return;
    work->problem = std::string(describe(result.error().kind).name) + ": " + result.error().detail;
    on.log.write(EventId::OrderFailed, { { "engine", work->id }, { "sequence", intent.sequence }, { "reason", work->problem } });
}

asio::awaitable<void> OrderService::State::continueDrain(EngineWorkPointer work, Endpoint endpoint)
{
    if (on.timers.now() >= work->informDue) {
        work->informDue = on.timers.now() + noticePeriod;
        informAll(work, true);
    }
    updateInformed(*work);
    auto load = co_await on.engines.load(endpoint);
    if (!work->drain)
        co_return;
    bool wasDrained = isDrained(*work->drain, on.timers.now());
    if (load) {
        work->drain->running = load->running;
        work->drain->reportedAt = on.timers.now() - load->age;
    }
    if (!wasDrained && isDrained(*work->drain, on.timers.now()))
        on.log.write(EventId::DrainFinished, { { "replica", work->id }, { "running", work->drain->running.value_or(0) }, { "seconds", toSeconds(on.timers.now() - work->drain->since) } });
}

void OrderService::State::informAll(const EngineWorkPointer& work, bool isUnavailable)
{
    auto number = work->intent ? work->intent->fencingNumber : 0;
    auto role = work->observed ? work->observed->running.role : work->desired.role;
    EngineNotice notice { work->id, isUnavailable, role, number, ++work->noticeCounter };
    on.fleet.take(notice);
    for (const auto& member : on.peers.members()) {
        if (member.id != on.peers.self() && member.state != MemberState::Dropped)
            asio::co_spawn(context, inform(shared_from_this(), work, member.id, notice), asio::detached);
    }
}

asio::awaitable<void> OrderService::State::inform(std::shared_ptr<State> state, EngineWorkPointer work, DaemonId member, EngineNotice notice)
{
    auto requestedAt = state->on.timers.now();
    auto reply = co_await state->on.peers.call(member, engineNoticeMessage, noticeToJson(notice), informTimeout);
    if (reply && notice.isUnavailable)
        work->informed[member] = requestedAt;
}

bool OrderService::State::isEveryoneInformed(const EngineWork& work) const
{
    return std::ranges::all_of(on.peers.members(), [this, &work](const MemberRecord& member) {
        bool isGone = member.state == MemberState::Suspected || member.state == MemberState::Dropped;
        auto confirmed = work.informed.find(member.id);
        bool isInformed = confirmed != work.informed.end() && on.timers.now() < confirmed->second + noticeValidity;
        return isGone || member.id == on.peers.self() || isInformed;
    });
}

void OrderService::State::updateInformed(EngineWork& work) const
{
    auto& drain = *work.drain;
    bool isInformed = isEveryoneInformed(work);
    if (isInformed && !drain.acknowledgedAt)
        drain.acknowledgedAt = on.timers.now();
    if (isInformed || !drain.acknowledgedAt)
        return;
    // A member joined, or its notice ran out: it may send work to the engine until it confirms again.
    drain.acknowledgedAt.reset();
    drain.requestedAt = on.timers.now();
}

void OrderService::State::limitSilence(EngineWork& work)
{
    // An engine that never returns from a change must not keep the other engines of its model from changing.
    if (work.silentSince && on.timers.now() - *work.silentSince >= silenceBound)
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
    informAll(work, false);
}

void OrderService::State::note(EngineWork& work, OrderAction action, const std::string& reason)
{
    bool isChanged = work.problem != reason || work.lastAction != action;
    work.lastAction = action;
    work.problem = reason;
    if (!isChanged)
        return;
    auto event = action == OrderAction::Settled ? EventId::OrderSettled : EventId::OrderWaiting;
    on.log.write(event, { { "engine", work.id }, { "group", work.group }, { "reason", reason }, { "desired", desiredToJson(work.desired).dump() }, { "observed", work.observed ? desiredToJson(work.observed->running).dump() : "" } });
}

} // namespace chestnut
