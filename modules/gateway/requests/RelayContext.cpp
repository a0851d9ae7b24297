#include "gateway/requests/RelayContext.h"

#include "gateway/blocks/BlockCodec.h"

#include <algorithm>

namespace chestnut {

namespace {

    constexpr int gatewayTimeout = 504;
    /** Replicas are given their time limit in whole milliseconds. */
    constexpr Duration timeLimitRounding = std::chrono::milliseconds(1);

    Duration timeAllowed(const RoutedRequest& request, const Route& route)
    {
        return std::min(request.timeLeft.value_or(route.timeout), route.timeout);
    }

    /** Calls from which on the capacity that the fleet has learned replaces the slowdown that this daemon has seen. */
    constexpr double fewestCapacitySamples = 4;

    void applyCapacity(PlacementView& view, const ReplicaCapacity& capacity, double ownSlowdown)
    {
        auto isKnown = capacity.samples >= fewestCapacitySamples;
        view.slowdown = isKnown ? 1 : ownSlowdown;
        view.limit = capacity.limitShare * view.slots;
        view.speed = capacity.speed;
        view.errorShare = capacity.errorShare;
    }

    void keepVersion(std::vector<const ReplicaEntry*>& entries, const SoftwareVersion& version)
    {
        std::erase_if(entries, [&version](const ReplicaEntry* entry) { return entry->version != version; });
    }

    /** Leaves the entries of the version, or all if none has it. */
    void preferVersion(std::vector<const ReplicaEntry*>& entries, const SoftwareVersion& version)
    {
        auto preferred = entries;
        keepVersion(preferred, version);
        if (!preferred.empty())
            entries = std::move(preferred);
    }

    /** The ids, separated by commas. */
    std::string listOf(const std::set<ReplicaId>& replicas)
    {
        std::string list;
        for (const auto& replica : replicas)
            list += (list.empty() ? "" : ",") + replica.value();
        return list;
    }

} // namespace

RelayContext::RelayContext(RelayServices& relayServices, RoutedRequest routedRequest, std::shared_ptr<const RouteTable> routeTable, const Route& matchedRoute, ServiceId chosenService)
    : services(relayServices)
    , request(std::move(routedRequest))
    , table(std::move(routeTable))
    , route(matchedRoute)
    , service(std::move(chosenService))
    , m_deadline(request.arrival + timeAllowed(request, matchedRoute))
{
    // The last part belongs to the request alone.
    for (uint32_t i = 0; request.prompt && i + 1 < request.prompt->parts.size(); ++i)
        m_sharedParts.push_back({ request.prompt->parts[i].id, i });
}

uint32_t RelayContext::priority() const
{
    return request.account ? request.account->priority.value_or(route.priority) : route.priority;
}

double RelayContext::waitingAhead() const
{
    auto work = services.loadTracker->observe(waitingAt(service)).work;
    auto hasSeveral = priorities().levels() > 1;
    return hasSeveral ? work.decodes.sum(0, priorities().endOrderOf(priority())) : work.requests;
}

void RelayContext::abortOnDisconnectOrDeadline(HttpResponseWriter& writer)
{
    writer.onCallerDisconnect([weak = weak_from_this()] {
        if (auto self = weak.lock())
            self->onClientDisconnect();
    });
    // A daemon that is late may read a request and its client's close in the same turn.
    abort->onBeforeSend([weak = weak_from_this(), &writer] {
        if (auto self = weak.lock(); self && writer.isCallerDisconnected())
            self->onClientDisconnect();
    });
    m_deadlineTimer = services.timers.once(std::max(remaining(), Duration(1)), [weak = weak_from_this()] {
        if (auto self = weak.lock())
            self->expire();
    });
}

void RelayContext::onClientDisconnect()
{
    m_isClientDisconnected = true;
    abort->abort();
}

void RelayContext::expire()
{
    m_hasExpired = true;
    abort->abort();
}

bool RelayContext::isTimeOver() const
{
    return isOver() || remaining() <= timeLimitRounding;
}

bool RelayContext::mayRetry() const
{
    if (isOver())
        return false;
    return !mayHaveRun || (isRetryable() && runs < route.maximumAttempts);
}

bool RelayContext::mayRunAgain() const
{
    return !isOver() && isRetryable() && runs + 1 < route.maximumAttempts;
}

bool RelayContext::isRetryable() const
{
    return route.kind == RouteKind::Idempotent || (route.kind == RouteKind::Streaming && route.isResumable);
}

bool RelayContext::reserveRetry()
{
    m_hasReservedRetry = m_hasReservedRetry || services.budgets.tryTakeRetry(service);
    return m_hasReservedRetry;
}

void RelayContext::interruptAttempt()
{
    markInterrupted();
    abort->interrupt();
}

bool RelayContext::acquireAttempt()
{
    if (m_attempts > 0 && !reserveRetry()) {
        services.log.write(EventId::RetryBudgetExhausted, { { "request", request.id }, { "service", service } });
        return false;
    }
    m_hasReservedRetry = false;
    m_isInterrupted = false;
    ++m_attempts;
    m_sentAt = services.timers.now();
    return true;
}

void RelayContext::recordAttemptSuccess(const ReplicaId& replica, TimePoint sentAt, double slowdown)
{
    services.loadTracker->recordSuccess(replica, slowdown);
    services.crashTracker.recordReplicaResponse(replica, sentAt);
}

void RelayContext::recordErrorResponse(const ReplicaId& replica, TimePoint sentAt, int status)
{
    services.crashTracker.recordReplicaResponse(replica, sentAt);
    excluded.insert(replica);
    mayHaveRun = true;
    ++runs;
    // A replica that had no time for the call is not at fault.
    auto hadTime = status != gatewayTimeout || canBeServedInTime();
    if (hadTime && !isOver())
        m_erring.push_back(replica);
    auto action = mayRetry() && canBeServedInTime() ? "repeat" : "pass_on";
    services.log.write(EventId::ReplicaErrorResponse, { { "request", request.id }, { "replica", replica }, { "status", status }, { "runs", runs }, { "action", action }, { "left_ms", remaining().count() / 1000 } });
    services.metrics.count("chestnut_gateway_error_responses_total", { { "action", action } });
}

bool RelayContext::canBeServedInTime() const
{
    return remaining() > services.speeds.speedOf(service).occupancy.value_or(Duration::zero());
}

void RelayContext::blameForErrors(bool wasServed)
{
    auto& causes = services.loadTracker->errorCauses();
    if (wasServed && !causes.isEmpty())
        causes.addSuccess(content());
    if (!wasServed) {
        for (const auto& replica : m_erring)
            causes.addError(content(), replica, services.timers.now());
    }
    if (m_erring.empty() || causes.isRequestTheCause(content()))
        return;
    for (const auto& replica : m_erring)
        services.loadTracker->recordErrorResponse(replica);
}

void RelayContext::recordAttemptFailure(const ReplicaId& replica, const Error& error)
{
    (m_isInterrupted ? silent : excluded).insert(replica);
    auto hasRun = describe(error.kind).outcome != Outcome::NotRun;
    services.log.write(EventId::AttemptFailed, { { "request", request.id }, { "replica", replica }, { "kind", describe(error.kind).name }, { "may_have_run", hasRun ? 1 : 0 }, { "detail", error.detail } });
    if (isOver()) {
        mayHaveRun = mayHaveRun || hasRun;
        return;
    }
    const auto* registered = services.replicas.find(replica);
    if (error.kind != ErrorKind::Overloaded)
        services.loadTracker->recordFailure(replica);
    else if (registered && !services.replicas.isBackingOff(replica))
        services.loadTracker->recordRefusal(replica, registered->entry.slots);
    if (!hasRun)
        return;
    mayHaveRun = true;
    ++runs;
    if (error.kind == ErrorKind::BackendFailed && !m_isInterrupted && services.crashTracker.add({ content(), request.id, replica, registered ? registered->entry.startedAt : 0 }, m_sentAt))
        services.log.write(EventId::RequestSuspected, { { "request", request.id }, { "replica", replica }, { "content", toHex(content()) } });
}

Error RelayContext::finalError(Error last) const
{
    if (m_isClientDisconnected)
        return makeError(ErrorKind::CallerGone, "the caller closed the connection");
    if (mayHaveRun)
        return makeError(m_hasExpired ? ErrorKind::DeadlineExceeded : ErrorKind::BackendFailed, last.detail);
    if (m_hasExpired)
        return makeError(ErrorKind::DeadlineUnreachable, "the deadline passed before a replica accepted the request");
    if (describe(last.kind).outcome != Outcome::NotRun)
        last = makeError(ErrorKind::Overloaded, last.detail);
    if (auto wait = services.replicas.timeUntilBackoffEnds(service))
        last.retryAfter = std::chrono::ceil<std::chrono::milliseconds>(*wait);
    return last;
}

std::optional<size_t> RelayContext::chooseReplica(std::span<const PlacementView> views) const
{
    auto unseen = services.loadTracker->unseenLoad(services.speeds.speedOf(service).occupancy);
    return chooseByFreeCapacity(views, services.zone, unseen);
}

double RelayContext::loadShareOf(const ReplicaEntry& replica) const
{
    return static_cast<double>(services.loadTracker->requestsAt(replica.id)) / std::max(replica.slots, 1U);
}

void RelayContext::recordCapacity(const ReplicaEntry& replica, double loadShare, Duration time, std::optional<Duration> expected, double weight)
{
    if (expected && *expected > Duration::zero())
        services.loadTracker->capacity().record(replica.id, loadShare, toSeconds(time) / toSeconds(*expected), weight);
}

PlacementView RelayContext::viewOf(const ReplicaEntry& entry) const
{
    auto observation = services.loadTracker->observe(entry.id);
    PlacementView view;
    view.id = entry.id;
    view.zone = entry.zone;
    view.slots = entry.slots;
    view.requests = observation.work.requests;
    view.queued = observation.work.queued;
    view.moreUrgentRequests = observation.work.decodes.sum(0, priorities().firstOrderOf(priority()));
    view.lessUrgentRequests = observation.work.decodes.sum(priorities().endOrderOf(priority()));
    // A false or old report of a peer never reduces the capacity below the slots.
    view.requestsAtRefusal = observation.requestsAtRefusal > 0 ? std::max(observation.requestsAtRefusal, entry.slots) : 0;
    view.peerRequests = observation.peerRequests;
    applyCapacity(view, services.loadTracker->capacity().capacityOf(entry), observation.slowdown);
    view.errorShare = std::max(view.errorShare, observation.errorShare);
    view.isEjected = observation.isEjected;
    view.rateLimit = services.replicas.rateLimitOf(entry);
    view.isThrottled = view.rateLimit && !services.rateLimiter.mayRequest(entry, *view.rateLimit);
    return view;
}

void RelayContext::recordRequestTo(const ReplicaEntry& entry)
{
    if (auto perSecond = services.replicas.rateLimitOf(entry))
        services.rateLimiter.recordRequest(entry, *perSecond);
}

std::vector<const ReplicaEntry*> RelayContext::candidates(EngineStage stage) const
{
    auto used = excluded;
    used.insert(silent.begin(), silent.end());
    auto entries = usable(stage, used);
    return entries.empty() ? usable(stage, excluded) : entries;
}

std::vector<const ReplicaEntry*> RelayContext::candidates(EngineStage stage, const std::optional<SoftwareVersion>& wanted) const
{
    auto entries = candidates(stage);
    if (wanted)
        keepVersion(entries, *wanted);
    return entries;
}

std::vector<const ReplicaEntry*> RelayContext::usable(EngineStage stage, const std::set<ReplicaId>& without) const
{
    auto entries = services.replicas.usable(service, stage, without);
    if (version)
        keepVersion(entries, *version);
    else if (mustBeginAtDefault())
        preferVersion(entries, services.streamRecords->defaultVersion(service)->version);
    return entries;
}

bool RelayContext::mustBeginAtDefault() const
{
    return route.isResumable && services.streamRecords && !services.streamRecords->canWrite() && services.streamRecords->defaultVersion(service);
}

bool RelayContext::hasFreeReplica(EngineStage stage, const ReplicaId& other) const
{
    return std::ranges::any_of(candidates(stage), [&](const ReplicaEntry* entry) {
        auto view = viewOf(*entry);
        // An engine whose memory is full refuses requests although it has free slots.
        auto isFull = view.requests >= limitOf(view) || isRefusing(view);
        return entry->id != other && isEligible(view) && !isFull;
    });
}

const Digest& RelayContext::content() const
{
    if (!m_content)
        m_content = digestOf(request.host + request.forwarded.target + "\n" + request.forwarded.body);
    return *m_content;
}

bool RelayContext::isBlockedContent() const
{
    return services.crashTracker.hasSuspectedContents() && services.crashTracker.isBlocked(content());
}

bool RelayContext::hasBlockedPart()
{
    if (m_sharedParts.empty() || (m_isPartTrial && !mayHaveRun))
        return false;
    auto admission = services.crashTracker.admitParts(m_sharedParts, mayHaveRun);
    m_isPartTrial = admission == PartAdmission::Trial;
    reportPartChanges();
    return admission == PartAdmission::Blocked;
}

bool RelayContext::hasSuspectedPart() const
{
    constexpr bool hasRun = true;
    return services.crashTracker.admitParts(m_sharedParts, hasRun) == PartAdmission::Blocked;
}

void RelayContext::recordFirstEvent(const ReplicaEntry& engine)
{
    services.crashTracker.recordPartsBegun({ engine.id, engine.startedAt }, m_sharedParts, m_sentAt);
}

void RelayContext::recordLossBeforeFirstEvent(const ReplicaEntry& engine, const Error& error)
{
    if (!isOver() && !m_isInterrupted && error.kind == ErrorKind::BackendFailed && !m_sharedParts.empty())
        services.crashTracker.addPartCrash({ engine.id, engine.startedAt }, m_sharedParts, m_sentAt);
}

void RelayContext::reportPartChanges()
{
    for (const auto& [part, isReleased] : services.crashTracker.takePartChanges()) {
        auto event = isReleased ? EventId::PartReleased : part.state == PartState::Blocked ? EventId::PartBlocked
                                                                                           : EventId::PartSuspected;
        services.log.write(event, { { "part", toHex(PromptPartId { part.part }) }, { "crashes", part.crashes }, { "replicas", listOf(part.replicas) } });
        services.metrics.setGauge("chestnut_blocked_prompt_parts", static_cast<double>(services.crashTracker.blockedParts()));
    }
}

void RelayContext::countUsage()
{
    if (!services.usage || !request.account || std::exchange(m_isUsageCounted, true))
        return;
    services.usage->count(request.account->id);
}

void RelayContext::beginUsage()
{
    if (services.usage && request.account && !m_isUsageCounted)
        m_usageCall = services.usage->beginCall(request.account->id);
}

void RelayContext::endUsage(bool hasRun)
{
    auto call = std::exchange(m_usageCall, std::nullopt);
    if (!call)
        return;
    services.usage->endCall(*call, hasRun);
    m_isUsageCounted = hasRun;
}

void RelayContext::recordCompletion()
{
    if (services.crashTracker.hasSuspectedContents())
        services.crashTracker.recordCompletion(content());
}

} // namespace chestnut
