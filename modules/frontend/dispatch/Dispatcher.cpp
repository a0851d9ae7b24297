#include "frontend/dispatch/Dispatcher.h"

#include <algorithm>
#include <sstream>

namespace chestnut {

namespace {

    /** Queues are also served periodically, because the end of other daemons' requests frees slots too. */
    constexpr Duration queueServicePeriod = std::chrono::milliseconds(50);
    /** The announced load is updated once a second; heartbeats carry it to the peers. */
    constexpr Duration loadAnnouncementPeriod = std::chrono::seconds(1);
    constexpr double maximumLoadPermille = 100'000;
    /** Target for the time to the first token of 95 in 100 requests (section 1.4 of the design). */
    constexpr Duration firstTokenTarget = std::chrono::milliseconds(1100);
    /** At most this share of a group's replicas is reserved for isolated suspected requests; the others serve the rest. */
    constexpr double isolatedShare = 0.25;

    Error refusal(ErrorKind kind, std::string detail, Duration retryAfter)
    {
        return { kind, std::move(detail), std::chrono::duration_cast<std::chrono::milliseconds>(retryAfter) };
    }

    RouteRequest routeRequestOf(const DispatchRequest& request, const AvailabilityZone& zone, std::span<const double> cached)
    {
        return { request.priorityClass, request.work, zone, cached, request.excluded, request.mayExceedSlots };
    }

    bool isIdle(const ReplicaView& view)
    {
        return view.acceptsNewWork && view.own.liveRequests + view.own.batchRequests == 0;
    }

    std::string describeCandidates(const RouteDecision& decision, const std::vector<ReplicaView>& views)
    {
        std::ostringstream text;
        for (const auto& candidate : decision.considered) {
            if (text.tellp() > 0)
                text << ',';
            text << views[candidate.index].id.value() << ":first_ms=" << candidate.estimate.timeToFirstToken.count() / 1000
                 << ":service_ms=" << candidate.estimate.serviceTime.count() / 1000 << ":cached=" << candidate.cachedTokens;
        }
        return text.str();
    }

} // namespace

Dispatcher::Dispatcher(FrontendStatePointer state)
    : m_state(std::move(state))
{
}

void Dispatcher::start()
{
    auto weak = weak_from_this();
    m_state->replicas->onRequestEnd([weak](const ReplicaGroupId& group) {
        if (auto self = weak.lock())
            self->serveQueue(group);
    });
    m_queueTimer = m_state->services.timers.every(queueServicePeriod, [weak] {
        auto self = weak.lock();
        if (!self)
            return;
        for (const auto& [group, queue] : self->m_queues)
            self->serveQueue(group);
    });
    m_loadTimer = m_state->services.timers.every(loadAnnouncementPeriod, [weak] {
        if (auto self = weak.lock())
            self->m_state->services.peers.announceLoad(self->loadPermille());
    });
}

uint32_t Dispatcher::loadPermille() const
{
    double load = 0;
    for (const auto& [group, utilization] : m_state->replicas->utilization())
        load = std::max(load, 1000 * (utilization.inFlightRequests + queueState(group).waitingLive) / utilization.slots);
    return static_cast<uint32_t>(std::min(load, maximumLoadPermille));
}

size_t Dispatcher::waiting() const
{
    size_t count = 0;
    for (const auto& [group, queue] : m_queues)
        count += queue.waiters.size();
    return count;
}

std::vector<ReplicaView> Dispatcher::viewsFor(const DispatchRequest& request, bool& isIsolated) const
{
    auto views = m_state->replicas->views(request.group);
    isIsolated = false;
    if (!request.mayIsolate || !mustRunIsolated(m_state->quarantine, request.content, m_state->now()))
        return views;
    auto idle = static_cast<size_t>(std::ranges::count_if(views, isIdle));
    auto closed = static_cast<size_t>(std::ranges::count_if(views, [](const ReplicaView& view) { return !view.acceptsNewWork; }));
    if (idle == 0 || static_cast<double>(closed) >= std::max(1.0, isolatedShare * static_cast<double>(views.size())))
        return views;
    isIsolated = true;
    for (auto& view : views)
        view.acceptsNewWork = isIdle(view);
    return views;
}

RouteDecision Dispatcher::route(const DispatchRequest& request, const std::vector<ReplicaView>& views)
{
    auto cached = m_state->replicas->cachedTokens(views, request.blocks);
    auto decision = chooseReplica(routeRequestOf(request, m_state->settings.locality.zone, cached), views, m_state->now(), m_state->random);
    if (decision.chosen || request.excluded.empty() || decision.reason != RouteReason::NoReplica)
        return decision;
    // No other replica is available, so the replicas that refused or failed this request are tried again.
    auto again = routeRequestOf(request, m_state->settings.locality.zone, cached);
    again.excluded = {};
    return chooseReplica(again, views, m_state->now(), m_state->random);
}

ReplicaReservation Dispatcher::reserve(const DispatchRequest& request, const RouteDecision& decision, const std::vector<ReplicaView>& views)
{
    bool isIsolated = false;
    viewsFor(request, isIsolated);
    const auto& view = views[decision.chosen->index];
    logRouted(request, decision, views, isIsolated);
    InFlightRequestInfo info { request.content, request.priorityClass, request.work, decision.chosen->estimate, isLongJob(request.work, view.rates), isIsolated, request.preempt, request.deadline };
    auto inFlight = m_state->replicas->beginRequest(view.id, std::move(info), request.blocks);
    return { view.id, *m_state->replicas->endpoint(view.id), std::move(inFlight) };
}

void Dispatcher::logRouted(const DispatchRequest& request, const RouteDecision& decision, const std::vector<ReplicaView>& views, bool isIsolated)
{
    m_state->services.log.write(EventId::RequestRouted, {
                                                            { "request", request.request },
                                                            { "replica", views[decision.chosen->index].id },
                                                            { "reason", nameOf(decision.reason) },
                                                            { "candidates", describeCandidates(decision, views) },
                                                            { "cached_tokens", decision.chosen->cachedTokens },
                                                            { "class", request.priorityClass == PriorityClass::Live ? "live" : "batch" },
                                                            { "account", request.account },
                                                            { "attempt", request.attempt },
                                                            { "isolated", isIsolated ? "true" : "false" },
                                                        });
}

std::optional<ReplicaReservation> Dispatcher::tryAcquire(const DispatchRequest& request)
{
    bool isIsolated = false;
    auto views = viewsFor(request, isIsolated);
    auto cached = m_state->replicas->cachedTokens(views, request.blocks);
    auto decision = chooseReplica(routeRequestOf(request, m_state->settings.locality.zone, cached), views, m_state->now(), m_state->random);
    if (!decision.chosen)
        return std::nullopt;
    return reserve(request, decision, views);
}

asio::awaitable<Result<ReplicaReservation>> Dispatcher::acquire(DispatchRequest request)
{
    auto self = shared_from_this();
    auto now = m_state->now();
    if (isQuarantined(m_state->quarantine, request.content, now))
        co_return makeError(ErrorKind::SuspectRequest, "identical requests crashed backends");
    if (now >= request.deadline)
        co_return makeError(ErrorKind::DeadlineUnreachable, "the deadline passed before the request could start");
    bool isIsolated = false;
    auto views = viewsFor(request, isIsolated);
    auto decision = route(request, views);
    auto cached = m_state->replicas->cachedTokens(views, request.blocks);
    auto admission = admit(routeRequestOf(request, m_state->settings.locality.zone, cached), request.deadline, queueState(request.group), views, decision, now);
    if (admission.action == AdmissionDecision::Action::Refuse && !request.isContinuation)
        co_return refusal(admission.refusal, std::string(describe(admission.refusal).meaning), admission.retryAfter);
    // Waiting requests are served first, but waiting batch work does not hold up live work.
    const auto& fair = m_queues[request.group].fair;
    bool mustWait = size(fair, PriorityClass::Live) > 0 || (request.priorityClass == PriorityClass::Batch && size(fair, PriorityClass::Batch) > 0);
    if (admission.action != AdmissionDecision::Action::Queue && decision.chosen && !mustWait)
        co_return reserve(request, decision, views);
    preemptFor(decision, views);
    co_return co_await wait(std::move(request), admission.expectedStart);
}

asio::awaitable<Result<ReplicaReservation>> Dispatcher::wait(DispatchRequest request, Duration expectedStart)
{
    auto self = shared_from_this();
    auto waiter = std::make_shared<Waiter>(Waiter { std::move(request), {} });
    auto group = waiter->request.group;
    auto entryId = enqueue(waiter);
    serveQueue(group);
    while (!waiter->result) {
        bool isAbandoned = waiter->request.isAbandoned && waiter->request.isAbandoned();
        auto now = m_state->now();
        if (isAbandoned || now >= waiter->request.deadline) {
            auto& queue = m_queues[group];
            remove(queue.fair, entryId);
            queue.waiters.erase(entryId);
            if (isAbandoned)
                co_return makeError(ErrorKind::CallerGone, "the caller disconnected while the request waited");
            co_return refusal(ErrorKind::DeadlineUnreachable, "the deadline passed while the request waited", expectedStart);
        }
        co_await waiter->request.wakeup->waitFor(m_state->services.timers, waiter->request.deadline - now);
    }
    co_return std::move(*waiter->result);
}

QueuedRequest Dispatcher::queuedRequest(uint64_t entryId, const DispatchRequest& request, double weight) const
{
    auto views = m_state->replicas->views(request.group);
    auto rates = views.empty() ? ServiceRates {} : views.front().rates;
    QueuedRequest queued { entryId, request.account, request.priorityClass, request.work.prefillTokens + request.work.decodeTokens, weight };
    queued.deadline = request.deadline - expectedServiceTime(request.work, rates);
    bool hasFirstTokenTarget = request.priorityClass == PriorityClass::Live && request.work.prefillTokens > 0;
    if (hasFirstTokenTarget)
        queued.latestOnTimeStart = request.arrival + firstTokenTarget - expectedServiceTime({ request.work.prefillTokens, 0 }, rates);
    return queued;
}

uint64_t Dispatcher::enqueue(std::shared_ptr<Waiter> waiter)
{
    auto entryId = ++m_lastEntryId;
    auto& queue = m_queues[waiter->request.group];
    const auto& request = waiter->request;
    double weight = 1;
    if (auto configuration = m_state->services.configuration.current()) {
        if (auto account = configuration->accounts.find(request.account.value()); account != configuration->accounts.end())
            weight = account->second.weight;
    }
    push(queue.fair, queuedRequest(entryId, request, weight));
    queue.waiters[entryId] = std::move(waiter);
    return entryId;
}

QueueState Dispatcher::queueState(const ReplicaGroupId& group) const
{
    QueueState state;
    if (auto configuration = m_state->services.configuration.current())
        state.maximumWaiting = configuration->limits.maximumQueue;
    auto queue = m_queues.find(group);
    if (queue == m_queues.end())
        return state;
    for (const auto& [entryId, waiter] : queue->second.waiters) {
        bool isLive = waiter->request.priorityClass == PriorityClass::Live;
        auto& work = isLive ? state.waitingLiveWork : state.waitingBatchWork;
        work.prefillTokens += waiter->request.work.prefillTokens;
        work.decodeTokens += waiter->request.work.decodeTokens;
        ++(isLive ? state.waitingLive : state.waitingBatch);
    }
    return state;
}

void Dispatcher::preemptFor(const RouteDecision& decision, const std::vector<ReplicaView>& views)
{
    if (decision.preemptionTarget)
        m_state->replicas->preemptNewestBatch(views[*decision.preemptionTarget].id);
}

void Dispatcher::serveQueue(const ReplicaGroupId& group)
{
    auto queue = m_queues.find(group);
    if (queue == m_queues.end())
        return;
    while (serveHead(group, queue->second)) { }
}

bool Dispatcher::serveHead(const ReplicaGroupId& group, Queue& queue)
{
    // The head is removed from the queue only once a replica is found for it, so that it keeps its position.
    const auto* head = peek(queue.fair, true, m_state->now());
    if (!head)
        return false;
    auto waiter = queue.waiters.at(head->entryId);
    waiter->request.mayExceedSlots = mustStart(*head, m_state->now()) && mayExceedSlots(*head, queueState(group), m_state->now());
    bool isIsolated = false;
    auto views = viewsFor(waiter->request, isIsolated);
    auto decision = route(waiter->request, views);
    if (!decision.chosen) {
        preemptFor(decision, views);
        return false;
    }
    auto popped = pop(queue.fair, true, m_state->now());
    queue.waiters.erase(popped->entryId);
    waiter->result = reserve(waiter->request, decision, views);
    waiter->request.wakeup->notify();
    return true;
}

} // namespace chestnut
