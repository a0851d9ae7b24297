#include "gateway/requests/RelayContext.h"

#include <algorithm>
#include <cstdio>
#include <nlohmann/json.hpp>

namespace chestnut {

namespace {

    /** Retry-After of a refusal whose error specifies no time. */
    constexpr std::chrono::milliseconds defaultRetryAfter { 400 };
    /** Retry-After of a refusal for lack of capacity: the queues change within this time. */
    constexpr std::chrono::milliseconds saturatedRetryAfter { 500 };

    Duration timeAllowed(const RoutedRequest& request, const Route& route)
    {
        return std::min(request.timeLeft.value_or(route.timeout), route.timeout);
    }

    std::string secondsText(std::chrono::milliseconds time)
    {
        std::array<char, 32> text {};
        std::snprintf(text.data(), text.size(), "%.3f", std::chrono::duration<double>(time).count());
        return text.data();
    }

} // namespace

RetryBudgets::RetryBudgets(TimerService& timers, DaemonDirectory& directory, ServiceRetryLimits limits)
    : m_timers(timers)
    , m_directory(directory)
    , m_limits(limits)
{
}

void RetryBudgets::addRequest(const ServiceId& service)
{
    m_budgets[service].addRequest(m_timers.now());
}

bool RetryBudgets::tryTakeRetry(const ServiceId& service)
{
    return m_budgets[service].tryTakeRetry(m_limits, m_directory.activeDaemons(), m_timers.now());
}

void RetryBudgets::chargeRejection(const ServiceId& service)
{
    m_budgets[service].addRetry(m_timers.now());
}

RelayContext::RelayContext(RelayServices& relayServices, RoutedRequest routedRequest, std::shared_ptr<const RouteTable> routeTable, const Route& matchedRoute, ServiceId chosenService)
    : services(relayServices)
    , request(std::move(routedRequest))
    , table(std::move(routeTable))
    , route(matchedRoute)
    , service(std::move(chosenService))
    , m_deadline(request.arrival + timeAllowed(request, matchedRoute))
{
}

void RelayContext::abortOnDisconnectOrDeadline(HttpResponseWriter& writer)
{
    writer.onCallerDisconnect([weak = weak_from_this()] {
        if (auto self = weak.lock())
            self->onClientDisconnect();
    });
    m_deadlineTimer = services.timers.once(std::max(remaining(), Duration(1)), [weak = weak_from_this()] {
        auto self = weak.lock();
        if (!self)
            return;
        self->m_hasExpired = true;
        self->abort->abort();
    });
}

void RelayContext::onClientDisconnect()
{
    m_isClientDisconnected = true;
    abort->abort();
}

bool RelayContext::mayRetry() const
{
    if (isOver())
        return false;
    auto isRetryable = route.kind == RouteKind::Idempotent || (route.kind == RouteKind::Streaming && route.isResumable);
    return !mayHaveRun || (isRetryable && runs < route.maximumAttempts);
}

bool RelayContext::acquireAttempt()
{
    if (m_attempts > 0 && !services.budgets.tryTakeRetry(service)) {
        services.log.write(EventId::RetryBudgetExhausted, { { "request", request.id }, { "service", service } });
        return false;
    }
    ++m_attempts;
    m_sentAt = services.timers.now();
    return true;
}

void RelayContext::recordAttemptSuccess(const ReplicaId& replica, TimePoint sentAt, double slowdown)
{
    services.loadTracker->recordSuccess(replica, slowdown);
    services.crashTracker.recordReplicaResponse(replica, sentAt);
}

void RelayContext::recordAttemptFailure(const ReplicaId& replica, const Error& error)
{
    excluded.insert(replica);
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
    if (error.kind == ErrorKind::BackendFailed && services.crashTracker.add({ content(), request.id, replica, registered ? registered->entry.startedAt : 0 }, m_sentAt))
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

PlacementView RelayContext::viewOf(const ReplicaEntry& entry) const
{
    auto observation = services.loadTracker->observe(entry.id);
    PlacementView view;
    view.id = entry.id;
    view.zone = entry.zone;
    view.slots = entry.slots;
    view.requests = observation.work.requests;
    view.queued = observation.work.queued;
    view.requestsAtRefusal = observation.requestsAtRefusal;
    view.slowdown = observation.slowdown;
    view.isEjected = observation.isEjected;
    return view;
}

const Digest& RelayContext::content() const
{
    if (!m_content)
        m_content = digestOf(request.host + request.forwarded.target + "\n" + request.forwarded.body);
    return *m_content;
}

bool RelayContext::isBlockedContent() const
{
    return services.crashTracker.hasLosses() && services.crashTracker.isBlocked(content());
}

void RelayContext::recordCompletion()
{
    if (services.crashTracker.hasLosses())
        services.crashTracker.recordCompletion(content());
}

Error crashingRequestError()
{
    return makeError(ErrorKind::NoBackend, "the request has crashed the replicas that ran it");
}

Error saturatedError(std::string detail)
{
    auto error = makeError(ErrorKind::Overloaded, std::move(detail));
    error.retryAfter = saturatedRetryAfter;
    return error;
}

asio::awaitable<void> sendErrorResponse(HttpResponseWriter& writer, const RequestId& request, const Error& error)
{
    const auto& description = describe(error.kind);
    nlohmann::json body { { "error", { { "kind", description.name }, { "outcome", nameOf(description.outcome) }, { "message", error.detail }, { "request_id", request.value() } } } };
    HttpResponse response { description.status, { { "Content-Type", "application/json" } }, body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) };
    if (description.sendsRetryAfter)
        response.headers.set("Retry-After", secondsText(error.retryAfter.count() > 0 ? error.retryAfter : defaultRetryAfter));
    // A write error is ignored: the client has disconnected.
    (void)co_await writer.send(std::move(response));
}

} // namespace chestnut
