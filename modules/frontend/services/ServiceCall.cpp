#include "frontend/services/ServiceCall.h"

#include "frontend/replicas/HeartbeatExchange.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace chestnut {

namespace {

    constexpr std::string_view servicesPrefix = "/services/";
    /** A claimed call with less time left is not sent; its claim is released and it fails as not run. */
    constexpr Duration minimumDispatchTime = std::chrono::milliseconds(1);

    bool isNotRun(ErrorKind kind)
    {
        return describe(kind).outcome == Outcome::NotRun;
    }

    /** All other headers belong to one connection or are set by this daemon. */
    bool isForwarded(std::string_view name)
    {
        static constexpr std::array kept { "content-type", "accept", "idempotency-key", "x-account", "authorization", "if-none-match" };
        std::string lower(name);
        std::ranges::transform(lower, lower.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
        return std::ranges::find(kept, lower) != kept.end();
    }

} // namespace

Result<ServiceRequest> parseServiceRequest(CallerRequest caller, const HttpRequest& request)
{
    std::string_view rest = request.target;
    rest.remove_prefix(servicesPrefix.size());
    auto end = rest.find_first_of("/?");
    auto service = rest.substr(0, end);
    if (service.empty())
        return makeError(ErrorKind::UnknownService, "the path does not name a service");
    ServiceRequest parsed { std::move(caller), ServiceId(std::string(service)), {} };
    auto target = end == std::string_view::npos ? std::string() : std::string(rest.substr(end));
    parsed.forwarded = { request.method, target.starts_with('/') ? target : "/" + target, {}, request.body };
    for (const auto& [name, value] : request.headers.fields()) {
        if (isForwarded(name))
            parsed.forwarded.headers.append(name, value);
    }
    if (!parsed.isIdempotent() && parsed.caller.idempotencyKey.empty())
        return makeError(ErrorKind::BadKey, "a call that is not idempotent needs an Idempotency-Key");
    return parsed;
}

ServiceCall::ServiceCall(FrontendStatePointer state, std::shared_ptr<Dispatcher> dispatcher, ServiceRequest request)
    : m_state(std::move(state))
    , m_dispatcher(std::move(dispatcher))
    , m_request(std::move(request))
    , m_wakeup(std::make_shared<AutoResetEvent>(m_state->services.context))
    , m_lossChecks(m_wakeup)
{
}

void ServiceCall::onCallerDisconnected()
{
    m_isCallerDisconnected = true;
    m_wakeup->notify();
}

Duration ServiceCall::remaining() const
{
    return m_request.caller.deadline - m_state->now();
}

DispatchRequest ServiceCall::dispatchRequest() const
{
    auto weak = weak_from_this();
    DispatchRequest request;
    request.request = m_request.caller.id;
    request.group = groupOf(m_request.service);
    request.account = m_request.caller.account;
    request.priorityClass = m_request.caller.priorityClass;
    request.work = { 0, 1 };
    request.arrival = m_request.caller.arrival;
    request.deadline = m_request.caller.deadline;
    request.content = m_request.caller.content;
    request.excluded = m_excluded;
    request.attempt = m_attemptCount + 1;
    request.isContinuation = m_mayHaveRun;
    request.wakeup = m_wakeup;
    request.isAbandoned = [weak] {
        auto self = weak.lock();
        return !self || self->m_isCallerDisconnected;
    };
    return request;
}

HttpRequest ServiceCall::requestForAttempt()
{
    auto request = m_request.forwarded;
    request.headers.set("X-Request-Id", m_state->nextAttemptId().value());
    return request;
}

asio::awaitable<Result<HttpResponse>> ServiceCall::run()
{
    auto self = shared_from_this();
    if (m_request.isIdempotent())
        co_return co_await runIdempotent();
    co_return co_await runClaimed();
}

asio::awaitable<Result<HttpResponse>> ServiceCall::runIdempotent()
{
    m_state->hedgeBudget.requests += 1;
    std::optional<Error> lastFailure;
    while (true) {
        auto reservation = co_await m_dispatcher->acquire(dispatchRequest());
        if (!reservation)
            co_return m_mayHaveRun&& isNotRun(reservation.error().kind) ? *lastFailure : reservation.error();
        auto response = co_await runAttempts(std::move(*reservation));
        if (response) {
            recordCompletion(m_state->quarantine, m_request.caller.content);
            co_return response;
        }
        bool isReportable = !m_mayHaveRun || !isNotRun(response.error().kind);
        if (!lastFailure || isReportable)
            lastFailure = response.error();
        if (!co_await prepareRetry(response.error()))
            co_return *lastFailure;
    }
}

asio::awaitable<Result<HttpResponse>> ServiceCall::runAttempts(ReplicaReservation reservation)
{
    startAttempt(std::move(reservation));
    while (true) {
        std::optional<Result<HttpResponse>> last;
        for (const auto& attempt : m_attempts) {
            if (!attempt->response)
                continue;
            last = attempt->response;
            if (*last)
                break;
            recordAttemptFailure(attempt->target, last->error());
            attempt->isAbandoned = true;
        }
        std::erase_if(m_attempts, [](const auto& attempt) { return attempt->isAbandoned; });
        bool isPastDeadline = remaining() <= Duration::zero();
        bool isOver = (last && (*last || m_attempts.empty())) || m_isCallerDisconnected || isPastDeadline;
        if (isOver) {
            for (const auto& attempt : m_attempts) {
                attempt->isAbandoned = true;
                attempt->target.inFlight.reset();
            }
            m_attempts.clear();
            if (last)
                co_return *last;
            m_mayHaveRun = true;
            co_return m_isCallerDisconnected ? makeError(ErrorKind::CallerGone, "the caller closed the connection") : makeError(ErrorKind::DeadlineExceeded, "the deadline passed while the call ran");
        }
        if (m_hedgeAt && m_state->now() >= *m_hedgeAt)
            startHedge();
        auto next = m_hedgeAt ? std::min(remaining(), *m_hedgeAt - m_state->now()) : remaining();
        co_await m_wakeup->waitFor(m_state->services.timers, next);
    }
}

void ServiceCall::startAttempt(ReplicaReservation reservation)
{
    ++m_attemptCount;
    m_lastReplica = reservation.replica;
    if (m_attempts.empty()) {
        const auto& info = reservation.inFlight->info();
        HedgeQuery query { true, info.isLong, info.priorityClass, info.estimate.serviceTime + latencyAllowance(false), false, m_attemptCount };
        auto delay = hedgeDelay(query, m_state->replicas->quantiles(groupOf(m_request.service)), m_state->hedgeBudget);
        m_hedgeAt = delay ? std::optional(m_state->now() + *delay) : std::nullopt;
    }
    auto attempt = std::make_shared<Attempt>(Attempt { std::move(reservation), {} });
    m_attempts.push_back(attempt);
    asio::co_spawn(m_state->services.context, runAttempt(m_state, attempt, requestForAttempt(), remaining(), m_wakeup), asio::detached);
}

void ServiceCall::startHedge()
{
    m_hedgeAt.reset();
    auto request = dispatchRequest();
    for (const auto& attempt : m_attempts)
        request.excluded.push_back(attempt->target.replica);
    auto reservation = m_dispatcher->tryAcquire(request);
    if (!reservation)
        return;
    m_state->hedgeBudget.hedges += 1;
    m_state->services.metrics.count("chestnut_hedges_total");
    m_state->services.log.write(EventId::RequestHedged, { { "request", m_request.caller.id }, { "first", m_lastReplica }, { "second", reservation->replica } });
    startAttempt(std::move(*reservation));
}

asio::awaitable<void> ServiceCall::runAttempt(FrontendStatePointer state, AttemptPointer attempt, HttpRequest request, Duration timeout, std::shared_ptr<AutoResetEvent> wakeup)
{
    auto response = co_await state->services.servers.call(attempt->target.endpoint, std::move(request), timeout);
    if (attempt->isAbandoned)
        co_return;
    if (response) {
        attempt->target.inFlight->onResponse(state->now());
        attempt->target.inFlight.reset();
    }
    attempt->response = std::move(response);
    wakeup->notify();
}

void ServiceCall::recordAttemptFailure(const ReplicaReservation& target, const Error& error)
{
    target.inFlight->onFailure(error.kind, m_state->now());
    m_excluded.push_back(target.replica);
    m_mayHaveRun = m_mayHaveRun || !isNotRun(error.kind);
    if (error.kind == ErrorKind::BackendFailed) {
        ++m_backendsLost;
        m_lossChecks.add(m_state, target.replica);
    }
    m_state->services.log.write(EventId::AttemptFailed, { { "request", m_request.caller.id }, { "replica", target.replica }, { "kind", describe(error.kind).name }, { "detail", error.detail } });
}

asio::awaitable<bool> ServiceCall::prepareRetry(const Error& error)
{
    co_await m_lossChecks.waitUntilFinished(m_state);
    if (error.kind == ErrorKind::BackendFailed)
        co_await broadcastLossHistory(m_state, m_request.caller.content);
    RetryQuery query { error.kind, m_request.isIdempotent(), m_attemptCount, m_backendsLost, m_request.caller.deadline, Duration::zero() };
    auto decision = decideRetry(query, m_state->retryBudget, m_state->now(), m_state->random);
    m_state->retryBudget = decision.budget;
    if (!decision.retry)
        co_return false;
    m_state->services.metrics.count("chestnut_retries_total");
    co_await m_state->services.timers.sleep(decision.delay);
    co_return true;
}

asio::awaitable<Result<HttpResponse>> ServiceCall::runClaimed()
{
    const auto& caller = m_request.caller;
    std::optional<Error> earlierError;
    if (auto localDecision = m_state->services.claims.localDecision(caller.account, caller.idempotencyKey, caller.content)) {
        if (*localDecision && std::holds_alternative<ClaimCompleted>(**localDecision))
            co_return std::move(std::get<ClaimCompleted>(**localDecision).response);
        if (!*localDecision)
            earlierError = localDecision->error();
        // The outcome of a claim in doubt can be determined by claiming the key again.
        if (earlierError && earlierError->kind != ErrorKind::OutcomeUnknown)
            co_return *earlierError;
    }
    auto reservation = co_await m_dispatcher->acquire(dispatchRequest());
    if (!reservation)
        co_return co_await refusalAfterClaimLookup(reservation.error(), std::move(earlierError));
    auto decision = co_await m_state->services.claims.claim(caller.account, caller.idempotencyKey, caller.content);
    if (!decision)
        co_return decision.error();
    if (auto* completed = std::get_if<ClaimCompleted>(&*decision))
        co_return std::move(completed->response);
    co_return co_await dispatchClaimed(std::move(*reservation));
}

asio::awaitable<Error> ServiceCall::refusalAfterClaimLookup(Error refusal, std::optional<Error> earlierError)
{
    if (earlierError || refusal.kind == ErrorKind::CallerGone)
        co_return earlierError.value_or(refusal);
    const auto& caller = m_request.caller;
    auto claimed = co_await m_state->services.claims.findClaimInLog(caller.account, caller.idempotencyKey, caller.content);
    co_return claimed.value_or(refusal);
}

asio::awaitable<Result<HttpResponse>> ServiceCall::dispatchClaimed(ReplicaReservation reservation)
{
    auto& claims = m_state->services.claims;
    const auto& caller = m_request.caller;
    Error failure;
    while (true) {
        if (remaining() < minimumDispatchTime) {
            claims.abandon(caller.account, caller.idempotencyKey);
            co_return makeError(ErrorKind::DeadlineUnreachable, "the deadline passed before the call was sent");
        }
        ++m_attemptCount;
        m_lastReplica = reservation.replica;
        auto response = co_await m_state->services.servers.call(reservation.endpoint, requestForAttempt(), remaining());
        if (response) {
            reservation.inFlight->onResponse(m_state->now());
            recordCompletion(m_state->quarantine, caller.content);
            claims.complete(caller.account, caller.idempotencyKey, *response);
            co_return response;
        }
        failure = response.error();
        recordAttemptFailure(reservation, failure);
        // Only a failed connect proves that no byte was sent. After any other failure the claim is kept permanently.
        if (failure.kind != ErrorKind::ConnectFailed) {
            co_await m_lossChecks.waitUntilFinished(m_state);
            if (failure.kind == ErrorKind::BackendFailed)
                co_await broadcastLossHistory(m_state, caller.content);
            co_return makeError(ErrorKind::OutcomeUnknown, failure.detail);
        }
        reservation.inFlight.reset();
        if (!co_await prepareRetry(failure))
            break;
        auto next = co_await m_dispatcher->acquire(dispatchRequest());
        if (!next) {
            failure = next.error();
            break;
        }
        reservation = std::move(*next);
    }
    claims.abandon(caller.account, caller.idempotencyKey);
    co_return failure;
}

} // namespace chestnut
