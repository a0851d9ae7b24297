#include "frontend/completions/RequestSession.h"

#include "frontend/replicas/HeartbeatExchange.h"
#include "frontend/streams/StreamId.h"

#include <algorithm>

namespace chestnut {

namespace {

    /** How often a waiting session checks that its engines are responsive. */
    constexpr Duration responsivenessCheckPeriod = std::chrono::seconds(1);
    /** An attempt is abandoned after this time without a token when its engine does not respond to polls either. */
    constexpr Duration unresponsiveTimeout = std::chrono::seconds(2);
    /** Engine priorities: 0 is most urgent. */
    constexpr int livePriority = 0;
    constexpr int batchPriority = 10;

    std::string chunkOf(const StreamRecord& stream, uint64_t index)
    {
        bool isLast = index == stream.lastIndex() && !stream.finishReason.empty();
        CompletionChunk chunk { stream.caller.id.value(), stream.tokens[index - stream.firstIndex], isLast ? stream.finishReason : "" };
        return formatCompletionChunk(chunk, stream.model, stream.isChat);
    }

    bool isNotRun(ErrorKind kind)
    {
        return describe(kind).outcome == Outcome::NotRun;
    }

    /** Maps an engine's error to the request's error. */
    Error toRequestError(const Error& error)
    {
        // The engine does not serve the model at the moment; other replicas may.
        if (error.kind == ErrorKind::NotFound)
            return makeError(ErrorKind::NoBackend, error.detail);
        return error;
    }

} // namespace

RequestSession::RequestSession(FrontendStatePointer state, std::shared_ptr<Dispatcher> dispatcher, std::shared_ptr<StreamStore> streamStore, std::shared_ptr<StreamRecord> record)
    : m_state(std::move(state))
    , m_dispatcher(std::move(dispatcher))
    , m_streamStore(std::move(streamStore))
    , m_record(std::move(record))
    , m_wakeup(std::make_shared<AutoResetEvent>(m_state->services.context))
    , m_lossChecks(m_wakeup)
    , m_startedAt(m_state->now())
{
}

void RequestSession::onCallerDisconnected()
{
    m_isCallerDisconnected = true;
    m_wakeup->notify();
}

DispatchRequest RequestSession::dispatchRequest()
{
    auto weak = weak_from_this();
    const auto& caller = m_record->caller;
    auto produced = static_cast<double>(m_record->lastIndex());
    DispatchRequest request;
    request.request = caller.id;
    request.group = groupOf(m_record->model);
    request.account = caller.account;
    request.priorityClass = caller.priorityClass;
    request.work = estimateWork(m_record->promptTokens + produced, std::max(1.0, m_record->maximumTokens - produced), m_state->outputModel(caller.account, caller.priorityClass));
    request.blocks = m_record->blocks;
    request.arrival = caller.arrival;
    request.deadline = caller.deadline;
    request.content = caller.content;
    request.excluded = m_excluded;
    request.attempt = m_attemptCount + 1;
    request.isContinuation = m_isContinuation;
    request.mayIsolate = m_record->tokens.empty();
    request.wakeup = m_wakeup;
    request.isAbandoned = [weak] {
        auto self = weak.lock();
        return !self || self->m_isCallerDisconnected;
    };
    if (caller.priorityClass == PriorityClass::Batch) {
        request.preempt = [weak] {
            if (auto self = weak.lock()) {
                self->m_isPreempted = true;
                self->m_wakeup->notify();
            }
        };
    }
    return request;
}

asio::awaitable<Result<void>> RequestSession::run(CompletionSink& sink, uint64_t afterToken)
{
    auto self = shared_from_this();
    m_lastSentIndex = afterToken;
    if (auto replayed = co_await replay(sink); !replayed)
        co_return replayed;
    m_isContinuation = m_lastSentIndex > 0;
    while (m_record->finishReason.empty()) {
        auto reservation = co_await acquireEngine();
        if (!reservation)
            co_return finalError(reservation.error());
        startAttempt(std::move(*reservation));
        auto end = co_await runAttempts(sink);
        if (end == End::Done)
            break;
        if (end == End::Preempted) {
            m_state->services.metrics.count("chestnut_preemptions_total");
            m_state->services.log.write(EventId::RequestPreempted, { { "request", m_record->caller.id }, { "replica", m_lastEngine }, { "tokens", m_lastSentIndex } });
            m_isContinuation = true;
            continue;
        }
        co_await m_lossChecks.waitUntilFinished(m_state);
        if (!co_await prepareRetry())
            co_return finalError(*m_error);
    }
    co_return co_await finish(sink);
}

asio::awaitable<Result<ReplicaReservation>> RequestSession::acquireEngine()
{
    if (auto reserved = std::exchange(m_reservedRetry, std::nullopt); reserved && reserved->target)
        co_return std::move(*reserved->target);
    co_return co_await m_dispatcher->acquire(dispatchRequest());
}

asio::awaitable<Result<void>> RequestSession::resumeAtEngine(CompletionSink& sink, ReplicaReservation reservation, RequestId engineRequest, uint64_t afterToken)
{
    auto self = shared_from_this();
    m_lastSentIndex = afterToken;
    m_mayHaveRun = true;
    auto attempt = makeAttempt(*m_state, std::move(reservation), m_wakeup);
    attempt->id = std::move(engineRequest);
    m_lastEngine = attempt->engine;
    m_attempts = { attempt };
    ++m_attemptCount;
    m_lastProgress = m_state->now();
    startResumption(m_state, attempt, afterToken);
    if (co_await runAttempts(sink) == End::Done)
        co_return co_await finish(sink);
    if (m_error->kind == ErrorKind::CallerGone || m_error->kind == ErrorKind::DeadlineExceeded)
        co_return *m_error;
    co_return makeError(ErrorKind::StreamLost, m_error->detail);
}

asio::awaitable<Result<void>> RequestSession::replay(CompletionSink& sink)
{
    while (m_lastSentIndex < m_record->lastIndex()) {
        ++m_lastSentIndex;
        if (auto accepted = co_await sink.token(*m_record, m_lastSentIndex, chunkOf(*m_record, m_lastSentIndex)); !accepted)
            co_return accepted;
    }
    co_return Result<void>();
}

void RequestSession::startAttempt(ReplicaReservation reservation)
{
    auto attempt = makeAttempt(*m_state, std::move(reservation), m_wakeup);
    attempt->lastIndex = m_lastSentIndex;
    CompletionCall call;
    call.request = attempt->id;
    call.target = m_record->target;
    call.body = engineRequestBody(m_record->body, m_record->textThrough(m_lastSentIndex), m_lastSentIndex);
    call.priority = m_record->caller.priorityClass == PriorityClass::Live ? livePriority : batchPriority;
    call.timeout = m_record->caller.deadline - m_state->now();
    m_lastEngine = attempt->engine;
    m_lastProgress = m_state->now();
    m_isPreempted = false;
    ++m_attemptCount;
    if (m_attempts.empty()) {
        const auto& info = attempt->inFlight->info();
        HedgeQuery query { m_lastSentIndex == 0, info.isLong, info.priorityClass, info.estimate.timeToFirstToken + latencyAllowance(true), false, m_attemptCount };
        auto delay = hedgeDelay(query, m_state->replicas->quantiles(groupOf(m_record->model)), m_state->hedgeBudget);
        m_hedgeAt = delay ? std::optional(m_state->now() + *delay) : std::nullopt;
        if (m_attemptCount == 1)
            m_state->hedgeBudget.requests += 1;
    }
    m_attempts.push_back(attempt);
    startCompletion(m_state, attempt, std::move(call));
}

void RequestSession::startHedge()
{
    m_hedgeAt.reset();
    auto request = dispatchRequest();
    for (const auto& attempt : m_attempts)
        request.excluded.push_back(attempt->engine);
    auto reservation = m_dispatcher->tryAcquire(request);
    if (!reservation)
        return;
    m_state->hedgeBudget.hedges += 1;
    m_state->services.metrics.count("chestnut_hedges_total");
    m_state->services.log.write(EventId::RequestHedged, { { "request", m_record->caller.id }, { "first", m_lastEngine }, { "second", reservation->replica } });
    startAttempt(std::move(*reservation));
}

asio::awaitable<RequestSession::End> RequestSession::runAttempts(CompletionSink& sink)
{
    m_error.reset();
    m_winner = nullptr;
    while (true) {
        chooseWinner();
        if (m_winner && !co_await deliverTokens(sink)) {
            abandonAll();
            co_return End::Failed;
        }
        if (m_winner && m_winner->isDone && m_winner->tokens.empty())
            co_return End::Done;
        dropFailedAttempts();
        if (m_attempts.empty())
            co_return End::Failed;
        if (checkInterruption()) {
            abandonAll();
            co_return m_error ? End::Failed : End::Preempted;
        }
        if (!m_winner && m_hedgeAt && m_state->now() >= *m_hedgeAt)
            startHedge();
        co_await m_wakeup->waitFor(m_state->services.timers, timeUntilNextCheck());
    }
}

void RequestSession::chooseWinner()
{
    if (m_winner)
        return;
    auto found = std::ranges::find_if(m_attempts, [](const auto& attempt) { return !attempt->tokens.empty() || attempt->isDone; });
    if (found == m_attempts.end())
        return;
    m_winner = *found;
    m_lastEngine = m_winner->engine;
    m_hedgeAt.reset();
    for (const auto& attempt : m_attempts) {
        if (attempt != m_winner)
            abandon(m_state, *attempt);
    }
    m_attempts = { m_winner };
    m_record->streamId = formatStreamId({ EngineId(m_winner->engine.value()), m_winner->id, m_record->digestPrefix });
    if (m_record->isResumable)
        m_streamStore->add(m_record);
}

asio::awaitable<bool> RequestSession::deliverTokens(CompletionSink& sink)
{
    while (!m_winner->tokens.empty()) {
        if (m_isCallerDisconnected) {
            m_error = makeError(ErrorKind::CallerGone, "the caller closed the connection");
            co_return false;
        }
        auto delivered = co_await deliver(sink, takeToken(*m_winner));
        if (!delivered) {
            m_error = delivered.error();
            co_return false;
        }
    }
    co_return true;
}

asio::awaitable<Result<void>> RequestSession::deliver(CompletionSink& sink, TokenEvent token)
{
    auto chunk = parseCompletionChunk(token.chunk);
    if (!chunk || token.index != m_lastSentIndex + 1)
        co_return makeError(ErrorKind::ProtocolError, "the engine sent an unexpected token");
    auto now = m_state->now();
    m_winner->inFlight->onToken(now);
    if (!m_firstTokenDelay) {
        m_firstTokenDelay = now - m_startedAt;
        m_state->services.metrics.observeSeconds("chestnut_first_token_seconds", toSeconds(*m_firstTokenDelay));
    } else
        m_state->services.metrics.observeSeconds("chestnut_token_gap_seconds", toSeconds(now - m_lastProgress));
    m_record->tokens.push_back(std::move(chunk->text));
    if (token.isLast)
        m_record->finishReason = chunk->finishReason;
    m_lastSentIndex = token.index;
    auto accepted = co_await sink.token(*m_record, token.index, std::move(token.chunk));
    m_lastProgress = m_state->now();
    co_return accepted;
}

void RequestSession::dropFailedAttempts()
{
    for (const auto& attempt : m_attempts) {
        bool isStalledNow = !attempt->error && isStalled(*attempt) && canReplace(*attempt);
        if (!attempt->error && !isStalledNow)
            continue;
        m_error = isStalledNow ? makeError(ErrorKind::BackendFailed, "the engine sends no tokens") : toRequestError(*attempt->error);
        recordAttemptFailure(*attempt, *m_error);
        if (m_error->kind == ErrorKind::BackendFailed && !isStalledNow)
            m_lossChecks.add(m_state, attempt->engine);
        abandon(m_state, *attempt);
    }
    std::erase_if(m_attempts, [](const auto& attempt) { return attempt->isAbandoned; });
}

bool RequestSession::isStalled(const EngineAttempt& attempt) const
{
    bool isWinner = m_winner.get() == &attempt;
    auto idleTime = m_state->now() - (isWinner ? m_lastProgress : attempt.startedAt);
    if (isWinner && idleTime >= m_state->settings.stallTimeout)
        return true;
    return idleTime >= unresponsiveTimeout && !m_state->replicas->isResponsive(attempt.engine);
}

bool RequestSession::canReplace(const EngineAttempt& stalled)
{
    auto isOtherRunning = [&](const auto& other) { return other.get() != &stalled && !other->error && !other->isAbandoned; };
    if (std::ranges::any_of(m_attempts, isOtherRunning))
        return true;
    if (m_record->body.empty() || isQuarantined(m_state->quarantine, m_record->caller.content, m_state->now()))
        return false;
    auto request = dispatchRequest();
    request.excluded.push_back(stalled.engine);
    auto target = m_dispatcher->tryAcquire(request);
    if (!target && !mayWaitForOtherEngine(stalled.engine))
        return false;
    auto delay = tryTakeRetry(ErrorKind::BackendFailed, m_backendsLost + 1);
    if (!delay)
        return false;
    m_reservedRetry = ReservedRetry { std::move(target), *delay };
    return true;
}

bool RequestSession::mayWaitForOtherEngine(const ReplicaId& engine) const
{
    if (m_state->replicas->isResponsive(engine))
        return false;
    return std::ranges::any_of(m_state->replicas->views(groupOf(m_record->model)), [&](const ReplicaView& view) { return view.acceptsNewWork && view.id != engine; });
}

bool RequestSession::checkInterruption()
{
    if (m_isCallerDisconnected)
        m_error = makeError(ErrorKind::CallerGone, "the caller closed the connection");
    else if (m_state->now() >= m_record->caller.deadline)
        m_error = makeError(ErrorKind::DeadlineExceeded, "the deadline passed while the request ran");
    else if (m_isPreempted)
        m_error.reset();
    else
        return false;
    m_mayHaveRun = true;
    return true;
}

Duration RequestSession::timeUntilNextCheck() const
{
    auto next = std::min(m_record->caller.deadline, m_state->now() + responsivenessCheckPeriod);
    if (!m_winner && m_hedgeAt)
        next = std::min(next, *m_hedgeAt);
    return next - m_state->now();
}

void RequestSession::recordAttemptFailure(EngineAttempt& attempt, const Error& error)
{
    attempt.inFlight->onFailure(error.kind, m_state->now());
    m_excluded.push_back(attempt.engine);
    m_mayHaveRun = m_mayHaveRun || !isNotRun(error.kind);
    if (error.kind == ErrorKind::BackendFailed)
        ++m_backendsLost;
    m_state->services.metrics.count("chestnut_attempts_failed_total", { { "kind", std::string(describe(error.kind).name) } });
    m_state->services.log.write(EventId::AttemptFailed, {
                                                            { "request", m_record->caller.id },
                                                            { "replica", attempt.engine },
                                                            { "kind", describe(error.kind).name },
                                                            { "detail", error.detail },
                                                            { "tokens", m_lastSentIndex },
                                                        });
}

asio::awaitable<bool> RequestSession::prepareRetry()
{
    auto kind = m_error->kind;
    if (kind == ErrorKind::CallerGone || kind == ErrorKind::DeadlineExceeded || m_record->body.empty())
        co_return false;
    if (kind == ErrorKind::BackendFailed)
        co_await broadcastLossHistory(m_state, m_record->caller.content);
    auto delay = m_reservedRetry ? std::optional(m_reservedRetry->delay) : tryTakeRetry(kind, m_backendsLost);
    if (!delay)
        co_return false;
    m_state->services.metrics.count(m_lastSentIndex > 0 ? "chestnut_failovers_total" : "chestnut_retries_total");
    m_isContinuation = m_isContinuation || m_mayHaveRun;
    co_await m_state->services.timers.sleep(*delay);
    co_return true;
}

std::optional<Duration> RequestSession::tryTakeRetry(ErrorKind kind, uint32_t backendsLost)
{
    RetryQuery query { kind, true, m_attemptCount, backendsLost, m_record->caller.deadline, Duration::zero() };
    // A failed backend interrupts many requests at once. Each may retry once outside the budget, which would run out.
    bool isFirstLoss = kind == ErrorKind::BackendFailed && backendsLost == 1;
    auto budget = isFirstLoss ? RetryBudget {} : m_state->retryBudget;
    auto decision = decideRetry(query, budget, m_state->now(), m_state->random);
    if (!decision.retry)
        return std::nullopt;
    if (!isFirstLoss)
        m_state->retryBudget = decision.budget;
    return decision.delay;
}

asio::awaitable<Result<void>> RequestSession::finish(CompletionSink& sink)
{
    abandonAll();
    const auto& caller = m_record->caller;
    recordCompletion(m_state->quarantine, caller.content);
    if (m_record->maximumTokens > 0) {
        auto& model = m_state->outputModel(caller.account, caller.priorityClass);
        model = withSample(model, m_record->maximumTokens, static_cast<double>(m_record->lastIndex()));
    }
    co_return co_await sink.done(*m_record);
}

Error RequestSession::finalError(Error error) const
{
    // When an earlier attempt may have run, a later attempt's refusal must not be reported as "not run".
    if (m_mayHaveRun && isNotRun(error.kind))
        return makeError(m_lastSentIndex > 0 ? ErrorKind::StreamLost : ErrorKind::BackendFailed, error.detail);
    return error;
}

void RequestSession::abandonAll()
{
    for (const auto& attempt : m_attempts)
        abandon(m_state, *attempt);
    m_attempts.clear();
}

} // namespace chestnut
