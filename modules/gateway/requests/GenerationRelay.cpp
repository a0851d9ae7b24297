#include "gateway/requests/GenerationRelay.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace chestnut {

namespace {

    /** Prompts up to this length are processed by the decode engine itself: this delays the tokens of other requests by
        about 3 ms, which is less than the cost of a second call. */
    constexpr uint32_t maximumDirectPromptTokens = 600;
    /** Work at the decode engines, as a multiple of their slots, beyond which requests are refused before the prefill,
        because their deadline would pass before a slot is free. */
    constexpr double saturationMultiple = 2.5;
    /** From the end of the prefill to the first event at the client: KV cache transfer, first decode step and network latency. */
    constexpr Duration timeAfterPrefill = std::chrono::milliseconds(30);
    /** Priorities at the engines: requests that can meet their objective precede those that will miss it. */
    constexpr uint32_t onTimePriority = 4;
    constexpr uint32_t deferredPriority = 7;
    /** The timeout of a prefill is this multiple of its expected time plus a fixed part. */
    constexpr int prefillTimeoutFactor = 4;
    constexpr Duration basePrefillTimeout = std::chrono::milliseconds(400);
    /** A resumable stream without an event for this multiple of its latency objective is resumed on another engine. */
    constexpr int stallObjectiveMultiple = 4;
    constexpr uint32_t maximumDecodeCalls = 3;
    constexpr uint32_t maximumPrefillCalls = 2;
    /** Decode calls that may be preceded by a prefill; in later ones the decode engine processes the prompt. */
    constexpr uint32_t maximumPrefillRounds = 2;
    constexpr size_t maximumResponseBytes = 1 << 20;
    /** Retry-After of a refusal: about the time until decode slots become free. */
    constexpr std::chrono::milliseconds saturatedRetryAfter { 500 };

    Error saturated(std::string detail)
    {
        auto error = makeError(ErrorKind::Overloaded, std::move(detail));
        error.retryAfter = saturatedRetryAfter;
        return error;
    }

    /** Describes the engines, their requests in flight and the number of ejected ones. */
    std::string describeLoad(const std::vector<PlacementView>& views)
    {
        uint32_t requests = 0;
        size_t ejected = 0;
        for (const auto& view : views) {
            requests += view.isEjected ? 0 : view.requests;
            ejected += view.isEjected ? 1 : 0;
        }
        return std::to_string(requests) + " requests at " + std::to_string(views.size() - ejected) + " engines, " + std::to_string(ejected) + " ejected";
    }

    std::string millisecondsText(Duration duration)
    {
        return std::to_string(duration.count() / 1000);
    }

    bool isSuccess(int status)
    {
        return status >= 200 && status < 300;
    }

} // namespace

GenerationRelay::GenerationRelay(RelayPointer relay, HttpResponseWriter& writer)
    : m_relay(std::move(relay))
    , m_writer(writer)
    , m_prompt(m_relay->request.prompt ? &*m_relay->request.prompt : nullptr)
{
}

asio::awaitable<void> GenerationRelay::run()
{
    if (auto served = co_await generate(); !served)
        co_await sendFailure(m_relay->finalError(served.error()));
    releaseHandle();
}

TimerSubscription GenerationRelay::startStallTimer(const ReplicaId& replica) const
{
    auto& relay = *m_relay;
    const auto* registered = relay.services.replicas.find(replica);
    // At a full engine the request is queued; sending it to another engine would only add work.
    auto isFull = registered && relay.services.loadTracker->requestsAt(replica) > registered->entry.slots;
    if (!relay.route.isResumable || isFull)
        return {};
    return relay.services.timers.once(relay.route.latencyObjective * stallObjectiveMultiple, [abort = relay.abort] { abort->interrupt(); });
}

Result<ReplicaEntry> GenerationRelay::chooseDecodeEngine()
{
    auto& relay = *m_relay;
    auto entries = relay.services.replicas.usable(relay.service, EngineStage::Decode, relay.excluded);
    if (entries.empty())
        return makeError(ErrorKind::NoBackend, "the service has no usable decode engine");
    std::vector<PlacementView> views;
    views.reserve(entries.size());
    for (const auto* entry : entries)
        views.push_back(relay.viewOf(*entry));
    if (isSaturated(views, saturationMultiple))
        return saturated("the decode engines are saturated: " + describeLoad(views));
    auto choice = chooseLeastOccupied(views, relay.services.zone);
    return *entries[choice.value_or(0)];
}

std::optional<std::pair<ReplicaEntry, PrefillChoice>> GenerationRelay::findPrefillEngine()
{
    auto& relay = *m_relay;
    auto entries = relay.services.replicas.usable(relay.service, EngineStage::Prefill, relay.excluded);
    std::vector<PlacementView> views;
    views.reserve(entries.size());
    for (const auto* entry : entries) {
        auto view = relay.viewOf(*entry);
        for (size_t i = 0; i + 1 < m_prompt->parts.size() && relay.services.loadTracker->hasPart(entry->id, m_prompt->parts[i].id); ++i)
            view.cachedTokens += m_prompt->parts[i].tokens;
        views.push_back(std::move(view));
    }
    auto elapsed = relay.services.timers.now() - relay.request.arrival;
    auto choice = choosePrefillEngine(*m_prompt, views, relay.route.latencyObjective - elapsed - timeAfterPrefill);
    if (!choice)
        return std::nullopt;
    return std::pair(*entries[choice->index], *choice);
}

asio::awaitable<Result<PrefillResponse>> GenerationRelay::prefillAt(const ReplicaEntry& engine, const PrefillChoice& choice)
{
    auto& relay = *m_relay;
    auto& services = relay.services;
    auto inFlightWork = services.loadTracker->beginPrefill(engine.id, choice.missingTokens, choice.isDeferred);
    m_priority = choice.isDeferred ? deferredPriority : onTimePriority;
    std::vector<uint64_t> parts;
    for (size_t i = 0; i + 1 < m_prompt->parts.size(); ++i)
        parts.push_back(m_prompt->parts[i].id);
    services.loadTracker->recordSentParts(engine.id, parts);
    ReplicaCall call { relay.request, engine.id, engine.address, relay.remaining() };
    call.abort = relay.abort;
    call.priority = m_priority;
    auto startedAt = services.timers.now();
    auto prefillTimeout = choice.expectedTime * prefillTimeoutFactor + basePrefillTimeout;
    auto stall = services.timers.once(prefillTimeout, [abort = relay.abort] { abort->interrupt(); });
    auto response = co_await services.replicaClient.prefill(std::move(call));
    if (response) {
        auto elapsed = services.timers.now() - startedAt;
        m_prefillTime = std::chrono::duration_cast<std::chrono::milliseconds>(elapsed);
        relay.recordAttemptSuccess(engine.id, startedAt, toSeconds(elapsed) / toSeconds(choice.nominalTime));
    }
    co_return response;
}

bool GenerationRelay::needsPrefill() const
{
    return m_prompt && m_prompt->promptTokens > maximumDirectPromptTokens && m_lastEventId.empty() && !m_handle;
}

asio::awaitable<Result<void>> GenerationRelay::prefillPrompt()
{
    auto& relay = *m_relay;
    for (uint32_t calls = 0; calls < maximumPrefillCalls && !relay.isOver(); ++calls) {
        auto isRetry = !std::exchange(m_isFirstPrefillCall, false);
        auto choice = findPrefillEngine();
        // Without a prefill engine the decode engine processes the prompt.
        if (!choice)
            co_return Result<void>();
        const auto& [engine, plan] = *choice;
        if (plan.expectedTime > relay.remaining())
            co_return saturated("the prefill engines are saturated: expected prefill time " + millisecondsText(plan.expectedTime) + " ms, time left " + millisecondsText(relay.remaining()) + " ms");
        if (isRetry && !relay.services.budgets.tryTakeRetry(relay.service))
            co_return Result<void>();
        relay.services.log.write(EventId::PrefillPlaced, { { "request", relay.request.id }, { "replica", engine.id }, { "missing", plan.missingTokens }, { "queued", relay.services.loadTracker->observe(engine.id).work.prefillTokens }, { "expected_ms", plan.expectedTime.count() / 1000 }, { "deferred", plan.isDeferred ? 1 : 0 } });
        auto response = co_await prefillAt(engine, plan);
        if (response) {
            m_handle = response->handle;
            co_return Result<void>();
        }
        // A prefill does not execute the request, whatever the kind of its error.
        auto error = response.error();
        relay.excluded.insert(engine.id);
        relay.services.log.write(EventId::PrefillFailed, { { "request", relay.request.id }, { "replica", engine.id }, { "kind", describe(error.kind).name }, { "detail", error.detail } });
        if (error.kind == ErrorKind::Overloaded) {
            if (!isRetry)
                relay.services.budgets.chargeRejection(relay.service);
            relay.services.loadTracker->recordRefusal(engine.id, engine.slots);
        } else if (!relay.isOver())
            relay.services.loadTracker->recordFailure(engine.id);
    }
    co_return saturated("no prefill engine accepted the prompt");
}

asio::awaitable<Result<ReplicaResponse>> GenerationRelay::openDecodeStream(const ReplicaEntry& engine)
{
    auto& relay = *m_relay;
    ReplicaCall call { relay.request, engine.id, engine.address, relay.remaining() };
    call.abort = relay.abort;
    call.priority = m_priority.value_or(onTimePriority);
    call.handle = m_handle;
    if (!m_lastEventId.empty())
        call.resumeAfter = m_lastEventId;
    auto stall = startStallTimer(engine.id);
    relay.services.log.write(EventId::RequestRouted, { { "request", relay.request.id }, { "route", relay.route.name }, { "replica", engine.id }, { "in_flight", relay.services.loadTracker->requestsAt(engine.id) }, { "handle", m_handle ? m_handle->id : "" }, { "resume_after", m_lastEventId }, { "left_ms", relay.remaining().count() / 1000 } });
    auto response = co_await relay.services.replicaClient.send(std::move(call));
    if (!response) {
        // The engine may have fetched the KV cache, and a handle is valid for a single fetch.
        if (response.error().kind != ErrorKind::ConnectFailed)
            m_handle.reset();
        co_return response.error();
    }
    auto status = std::to_string(response->body->status());
    if (response->executionStatus == ExecutionStatus::NotExecuted)
        co_return makeError(ErrorKind::Overloaded, "refused by the replica with status " + status);
    if (response->executionStatus == ExecutionStatus::WrongReplica)
        co_return makeError(ErrorKind::NoBackend, "the address belongs to another replica, or the replica does not decode");
    // The engine has fetched the KV cache, so the handle is no longer valid.
    m_handle.reset();
    if (response->executionStatus == ExecutionStatus::Unverified)
        co_return makeError(ErrorKind::BackendFailed, "the response has no valid replica seal");
    if (!m_lastEventId.empty() && !isSuccess(response->body->status()))
        co_return makeError(ErrorKind::BackendFailed, "the replica did not resume the stream: status " + status);
    co_return response;
}

asio::awaitable<bool> GenerationRelay::writeEvents(ReplicaResponse& response, EventBatch batch)
{
    if (auto last = eventNumber(m_lastEventId))
        batch.bytes = withoutEventsUpTo(batch.bytes, *last);
    if (batch.bytes.empty())
        co_return true;
    if (!m_writer.hasBegun()) {
        m_firstEventAt = m_relay->services.timers.now();
        if (!co_await m_writer.begin(response.body->status(), response.headers))
            co_return false;
    }
    if (!batch.lastId.empty())
        m_lastEventId = batch.lastId;
    co_return static_cast<bool>(co_await m_writer.write(std::move(batch.bytes)));
}

asio::awaitable<GenerationRelay::StreamEnd> GenerationRelay::relayEvents(const ReplicaId& engine, ReplicaResponse& response)
{
    auto& relay = *m_relay;
    EventSplitter splitter;
    while (true) {
        auto stall = startStallTimer(engine);
        auto bytes = co_await response.body->read();
        if (relay.isClientDisconnected())
            co_return StreamEnd::ClientDisconnected;
        if (!bytes || splitter.isOverlong())
            co_return StreamEnd::Broken;
        auto isEnd = !*bytes;
        if (!isEnd)
            splitter.append(**bytes);
        auto batch = splitter.takeEvents();
        if (isEnd)
            batch.bytes += splitter.takeRemainder();
        if (!co_await writeEvents(response, std::move(batch)))
            co_return StreamEnd::ClientDisconnected;
        if (!isEnd)
            continue;
        // An empty stream is a complete response.
        if (!m_writer.hasBegun() && !co_await m_writer.begin(response.body->status(), response.headers))
            co_return StreamEnd::ClientDisconnected;
        co_return co_await m_writer.finish() ? StreamEnd::Complete : StreamEnd::ClientDisconnected;
    }
}

asio::awaitable<Result<void>> GenerationRelay::relayWholeResponse(ReplicaResponse& response)
{
    m_relay->mayHaveRun = true;
    auto body = co_await readWholeBody(*response.body, maximumResponseBytes);
    if (!body)
        co_return makeError(ErrorKind::BackendFailed, body.error().detail);
    auto status = response.body->status();
    auto sent = co_await m_writer.send({ status, std::move(response.headers), std::move(*body) });
    m_relay->services.log.write(EventId::RequestCompleted, { { "request", m_relay->request.id }, { "status", status }, { "sent", sent ? 1 : 0 } });
    co_return Result<void>();
}

void GenerationRelay::logCompletion(int status) const
{
    const auto& relay = *m_relay;
    auto sinceArrival = [&relay](TimePoint time) { return (time - relay.request.arrival).count() / 1000; };
    relay.services.log.write(EventId::RequestCompleted, { { "request", relay.request.id }, { "status", status }, { "prefill_ms", m_prefillTime.count() }, { "first_event_ms", sinceArrival(m_firstEventAt) }, { "ms", sinceArrival(relay.services.timers.now()) } });
}

asio::awaitable<Result<ReplicaEntry>> GenerationRelay::prepareDecode(bool mayPrefill)
{
    if (mayPrefill && needsPrefill()) {
        // No prefill starts while the decode engines are saturated. The decode engine is chosen again after the prefill.
        if (auto engine = chooseDecodeEngine(); !engine)
            co_return engine.error();
        if (auto prefilled = co_await prefillPrompt(); !prefilled)
            co_return prefilled.error();
    }
    co_return chooseDecodeEngine();
}

asio::awaitable<Result<void>> GenerationRelay::decodeAt(const ReplicaEntry& engine)
{
    auto& relay = *m_relay;
    auto inFlightWork = relay.services.loadTracker->begin(engine.id);
    auto sentAt = relay.services.timers.now();
    auto response = co_await openDecodeStream(engine);
    if (!response)
        co_return response.error();
    if (!isSuccess(response->body->status()))
        co_return co_await relayWholeResponse(*response);
    switch (co_await relayEvents(engine.id, *response)) {
    case StreamEnd::Complete:
        relay.recordAttemptSuccess(engine.id, sentAt, 1);
        relay.recordCompletion();
        logCompletion(response->body->status());
        co_return Result<void>();
    case StreamEnd::ClientDisconnected:
        co_return makeError(ErrorKind::CallerGone, "the client disconnected after event " + m_lastEventId);
    case StreamEnd::Broken:
        break;
    }
    co_return makeError(ErrorKind::BackendFailed, "the stream ended early after event " + m_lastEventId);
}

asio::awaitable<Result<void>> GenerationRelay::generate()
{
    auto& relay = *m_relay;
    if (relay.isBlockedContent())
        co_return crashingRequestError();
    auto last = makeError(ErrorKind::NoBackend, "the service has no usable decode engine");
    for (uint32_t calls = 0; calls < maximumDecodeCalls; ++calls) {
        auto engine = co_await prepareDecode(calls < maximumPrefillRounds);
        if (!engine)
            co_return engine.error();
        if (relay.isOver() || !relay.acquireAttempt())
            co_return last;
        auto served = co_await decodeAt(*engine);
        if (served)
            co_return served;
        last = served.error();
        relay.recordAttemptFailure(engine->id, last);
        if (last.kind == ErrorKind::CallerGone || !relay.mayRetry())
            break;
    }
    co_return last;
}

asio::awaitable<void> GenerationRelay::sendFailure(Error error)
{
    logRefusal(error);
    if (m_writer.hasBegun()) {
        m_writer.abort();
        co_return;
    }
    if (error.kind != ErrorKind::CallerGone)
        co_await sendErrorResponse(m_writer, m_relay->request.id, error);
}

void GenerationRelay::logRefusal(const Error& error) const
{
    m_relay->services.log.write(EventId::RequestRefused, { { "request", m_relay->request.id }, { "kind", describe(error.kind).name }, { "begun", m_writer.hasBegun() ? 1 : 0 }, { "detail", error.detail } });
}

void GenerationRelay::releaseHandle()
{
    if (!m_handle)
        return;
    auto release = [](RelayServices& services, CacheHandle handle) -> asio::awaitable<void> {
        auto released = co_await services.replicaClient.release(handle);
        if (!released)
            services.log.write(EventId::HandleReleaseFailed, { { "source", handle.source }, { "handle", handle.id }, { "detail", released.error().detail } });
    };
    asio::co_spawn(m_relay->services.context, release(m_relay->services, *m_handle), asio::detached);
}

} // namespace chestnut
