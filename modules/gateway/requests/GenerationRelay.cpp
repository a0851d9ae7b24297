#include "gateway/requests/GenerationRelay.h"

#include "decisions/speeds/WaitLimits.h"
#include "gateway/requests/BodyRelay.h"
#include "gateway/requests/DecodePlan.h"

#include <algorithm>

namespace chestnut {

namespace {

    constexpr uint32_t maximumDecodeCalls = 3;
    /** Decode calls that may be preceded by a prefill; in later ones the decode engine processes the prompt. */
    constexpr uint32_t maximumPrefillRounds = 2;
    /** Weight of the time between two events for the capacity of an engine. The events of a stream are delayed together. */
    constexpr double eventGapWeight = 0.1;

    bool isSuccess(int status)
    {
        return status >= 200 && status < 300;
    }

} // namespace

GenerationRelay::GenerationRelay(RelayPointer relay, HttpResponseWriter& writer)
    : m_relay(std::move(relay))
    , m_writer(writer)
    , m_prompt(m_relay->request.prompt ? &*m_relay->request.prompt : nullptr)
    , m_versionBinding(*m_relay)
    , m_stops(*m_relay)
    , m_departure(*m_relay, m_stops, [this](const ReplicaId& engine) { return canContinueElsewhere(engine); })
    , m_silenceWatch(*m_relay, silenceCallbacks())
{
    if (m_prompt)
        m_prefill.emplace(*m_relay);
}

asio::awaitable<void> GenerationRelay::run()
{
    auto served = co_await m_versionBinding.resolve();
    if (served)
        served = co_await generate();
    if (!served)
        co_await sendFailure(m_relay->finalError(served.error()));
    if (m_move)
        m_move->cancel();
    if (m_handle)
        releaseHandle(m_relay->services, *m_handle);
}

SilenceWatch::Callbacks GenerationRelay::silenceCallbacks()
{
    auto canContinue = [this](const ReplicaId& engine) { return canContinueElsewhere(engine); };
    auto hasBegun = [this] { return m_writer.hasBegun(); };
    // The event needs at least this time, so that engines that have become slower are abandoned less often.
    auto onInterrupt = [this](TimePoint since) { recordEventTime(since); };
    auto findSuccessor = [this](const ReplicaId& engine) { return this->findSuccessor(engine); };
    auto openAt = [this](const ReplicaEntry& engine) { return openMove(engine); };
    auto stopRun = [this](EngineRun run, std::string successor, Duration timeout) { return m_stops.stop(std::move(run), std::move(successor), timeout); };
    return { canContinue, hasBegun, onInterrupt, findSuccessor, openAt, stopRun };
}

bool GenerationRelay::canContinueElsewhere(const ReplicaId& engine) const
{
    auto canRead = m_decodeCalls >= maximumPrefillRounds || !mustReadPrompt() || m_prefill->canRunInTime();
    return m_decodeCalls < maximumDecodeCalls && mayContinue() && canRead && m_relay->hasFreeReplica(EngineStage::Decode, engine);
}

std::optional<ReplicaEntry> GenerationRelay::findSuccessor(const ReplicaId& silent)
{
    m_relay->silent.insert(silent);
    auto plan = planDecode(*m_relay, { Duration::zero(), true, m_decodeCalls });
    if (plan.decision.action != DecodeAction::Call || plan.engines[plan.decision.index].id == silent)
        return std::nullopt;
    return plan.engines[plan.decision.index];
}

std::shared_ptr<StreamMove> GenerationRelay::openMove(const ReplicaEntry& engine)
{
    auto move = std::make_shared<StreamMove>(m_relay, engine);
    logRouted(engine);
    move->start(m_lastEventId, order());
    return move;
}

void GenerationRelay::watchSilence(const ReplicaEntry& engine, std::optional<Duration> limit)
{
    const auto& services = m_relay->services;
    const auto* registered = services.replicas.find(engine.id);
    // At a full engine the request is queued; sending it to another engine would only add work.
    auto isFull = registered && services.loadTracker->requestsAt(engine.id) > registered->entry.slots;
    m_silenceWatch.start(engine, isFull ? std::nullopt : limit);
}

GenerationProgress GenerationRelay::progress() const
{
    if (!m_handle)
        return { order(), m_decodeCalls, std::nullopt, std::nullopt };
    return { order(), m_decodeCalls, m_handleAt, m_handle->version };
}

EnginePosition GenerationRelay::order() const
{
    auto ofPrefill = m_prefill ? m_prefill->order() : std::nullopt;
    return ofPrefill.value_or(m_relay->orderAt(PrefillRank::Urgent));
}

bool GenerationRelay::needsPrefill() const
{
    return !m_handle && mustReadPrompt();
}

bool GenerationRelay::mustReadPrompt() const
{
    if (!m_prompt || !m_lastEventId.empty())
        return false;
    const auto& relay = *m_relay;
    auto speed = relay.services.speeds.speedOf(relay.service);
    return !isShortPrompt(m_prompt->promptTokens, m_prompt->maximumOutputTokens, speed, relay.route.gapObjective);
}

void GenerationRelay::logRouted(const ReplicaEntry& engine) const
{
    const auto& relay = *m_relay;
    const auto& resumption = relay.request.resumption;
    auto firstAttempt = resumption ? resumption->firstAttempt.value_or(RequestId("unnamed")).value() : "";
    relay.services.log.write(EventId::RequestRouted, { { "request", relay.request.id }, { "route", relay.route.name }, { "replica", engine.id }, { "version", engine.version }, { "in_flight", relay.services.loadTracker->requestsAt(engine.id) }, { "handle", m_handle ? m_handle->id : "" }, { "resume_after", m_lastEventId }, { "first_attempt", firstAttempt }, { "left_ms", relay.remaining().count() / 1000 } });
}

ConnectionEnd GenerationRelay::connectionEnd(const ReplicaId& engine) const
{
    return { m_stops.explainEnd(engine), m_relay->isTimeOver(), m_departure.hasPassed(engine) };
}

asio::awaitable<Result<ReplicaResponse>> GenerationRelay::openDecodeStream(const ReplicaEntry& engine)
{
    auto response = co_await sendDecode(engine);
    if (response)
        response->body = std::make_unique<AttemptBody>(std::move(response->body), [this, id = engine.id] { return connectionEnd(id); });
    co_return response;
}

asio::awaitable<Result<ReplicaResponse>> GenerationRelay::sendDecode(const ReplicaEntry& engine)
{
    auto& relay = *m_relay;
    watchSilence(engine, firstEventWaitLimit(relay.services.speeds.speedOf(relay.service), relay.route.latencyObjective));
    if (auto move = std::exchange(m_move, nullptr))
        co_return co_await move->takeResponse();
    ReplicaCall call { relay.request, engine.id, engine.address, relay.remaining() };
    call.abort = relay.abort;
    call.priority = order();
    call.handle = m_handle;
    if (!m_lastEventId.empty())
        call.resumeAfter = m_lastEventId;
    logRouted(engine);
    relay.recordRequestTo(engine);
    auto sent = co_await relay.services.replicaClient.send(std::move(call));
    auto response = checkDecodeResponse(std::move(sent), m_isContinuation);
    // The engine may have fetched the KV cache, and a handle is valid for a single fetch.
    if (response || describe(response.error().kind).outcome != Outcome::NotRun)
        m_handle.reset();
    co_return response;
}

bool GenerationRelay::mayContinue() const
{
    return !m_writer.hasBegun() || (m_relay->route.isResumable && m_position.canContinue());
}

asio::awaitable<bool> GenerationRelay::writeEvents(const ReplicaEntry& engine, ReplicaResponse& response, EventBatch batch)
{
    if (batch.bytes.empty())
        co_return true;
    if (!m_writer.hasBegun()) {
        co_await m_versionBinding.bind(engine);
        m_firstEventAt = m_relay->services.timers.now();
        if (!co_await m_writer.begin(response.body->status(), response.headers))
            co_return false;
    }
    co_return static_cast<bool>(co_await m_writer.write(std::move(batch.bytes)));
}

asio::awaitable<GenerationRelay::StreamEnd> GenerationRelay::relayEvents(const ReplicaEntry& engine, ReplicaResponse& response, TimePoint sentAt)
{
    auto& relay = *m_relay;
    EventSplitter splitter;
    while (true) {
        auto bytes = co_await response.body->read();
        if (relay.isClientDisconnected())
            co_return StreamEnd::ClientDisconnected;
        if (!bytes || splitter.isOverlong())
            co_return StreamEnd::Broken;
        auto isEnd = !*bytes;
        if (!isEnd)
            splitter.append(**bytes);
        auto batch = splitter.takeEvents();
        auto hasEvents = !batch.bytes.empty();
        if (hasEvents) {
            // A client that reads slowly is no silence of the engine.
            m_silenceWatch.stop();
            relay.services.streams->recordEvent(relay.service, engine.id, relay.services.timers.now());
            if (!m_lastEventAt) {
                relay.recordFirstEvent(engine);
                relay.countUsage();
            }
            recordCapacity(engine, sentAt);
            recordEventTime(sentAt);
        }
        if (isEnd && !splitter.isInsideEvent())
            batch.bytes += splitter.takeRemainder();
        m_hasEvents = m_hasEvents || hasEvents;
        auto fits = keepContinuation(batch, m_position, m_isContinuation, m_lastEventId);
        if (!co_await writeEvents(engine, response, std::move(batch)))
            co_return StreamEnd::ClientDisconnected;
        if (!fits)
            co_return StreamEnd::Mismatch;
        if (hasEvents && !isEnd && m_departure.mustLeave(engine, sentAt, m_lastEventId) && co_await m_departure.endRun(engine))
            co_return StreamEnd::Leaving;
        if (hasEvents && !isEnd)
            watchSilence(engine, eventGapWaitLimit(relay.services.speeds.speedOf(relay.service), relay.route.latencyObjective, relay.remaining(), relay.services.soundSilence));
        if (!isEnd)
            continue;
        if (splitter.isInsideEvent())
            co_return StreamEnd::Broken;
        // An empty stream is a complete response, unless its connection may have been closed after the header.
        if (!m_hasEvents && response.body->endsWithConnection())
            co_return StreamEnd::Broken;
        if (!m_writer.hasBegun() && !co_await m_writer.begin(response.body->status(), response.headers))
            co_return StreamEnd::ClientDisconnected;
        co_return co_await m_writer.finish() ? StreamEnd::Complete : StreamEnd::ClientDisconnected;
    }
}

void GenerationRelay::recordCapacity(const ReplicaEntry& engine, TimePoint sentAt)
{
    auto& relay = *m_relay;
    auto speed = relay.services.speeds.speedOf(relay.service);
    auto time = relay.services.timers.now() - m_lastEventAt.value_or(sentAt);
    if (m_lastEventAt)
        relay.recordCapacity(engine, relay.loadShareOf(engine), time, speed.eventGap, eventGapWeight);
    else
        relay.recordCapacity(engine, relay.loadShareOf(engine), time, speed.firstEvent);
}

void GenerationRelay::recordEventTime(TimePoint sentAt)
{
    auto& relay = *m_relay;
    auto now = relay.services.timers.now();
    if (m_lastEventAt)
        relay.services.speeds.recordEventGap(relay.service, now - *m_lastEventAt);
    else
        relay.services.speeds.recordFirstEvent(relay.service, now - sentAt);
    m_lastEventAt = now;
}

asio::awaitable<Result<void>> GenerationRelay::relayWholeResponse(ReplicaResponse& response)
{
    m_relay->mayHaveRun = true;
    auto body = co_await readBodyStart(*response.body, m_relay->services.responseBuffers);
    if (!body)
        co_return makeError(ErrorKind::BackendFailed, body.error().detail);
    auto status = response.body->status();
    m_silenceWatch.stop();
    auto sent = co_await relayBody(m_writer, status, std::move(response.headers), std::move(*body), response.body.get());
    m_relay->services.log.write(EventId::RequestCompleted, { { "request", m_relay->request.id }, { "status", status }, { "sent", sent ? 1 : 0 } });
    co_return Result<void>();
}

void GenerationRelay::logCompletion(int status) const
{
    const auto& relay = *m_relay;
    auto sinceArrival = [&relay](TimePoint time) { return (time - relay.request.arrival).count() / 1000; };
    relay.services.log.write(EventId::RequestCompleted, { { "request", relay.request.id }, { "status", status }, { "prefill_ms", m_prefill ? m_prefill->time().count() : 0 }, { "first_event_ms", sinceArrival(m_firstEventAt) }, { "ms", sinceArrival(relay.services.timers.now()) } });
}

asio::awaitable<Result<ReplicaEntry>> GenerationRelay::prepareDecode(bool mayPrefill)
{
    if (m_move)
        co_return m_move->engine;
    if (mayPrefill && needsPrefill()) {
        if (auto turn = co_await awaitPrefillTurn(*m_relay, *m_prefill, progress()); !turn)
            co_return turn.error();
        auto handle = co_await m_prefill->run();
        if (!handle)
            co_return handle.error();
        m_handle = std::move(*handle);
        m_handleAt = m_relay->services.timers.now();
    }
    releaseUnreadableCache();
    co_return co_await awaitDecodeEngine(*m_relay, progress());
}

void GenerationRelay::releaseUnreadableCache()
{
    if (!m_handle || !m_relay->candidates(EngineStage::Decode, m_handle->version).empty())
        return;
    releaseHandle(m_relay->services, *m_handle);
    m_handle.reset();
}

asio::awaitable<Result<void>> GenerationRelay::decodeAt(const ReplicaEntry& engine)
{
    auto& relay = *m_relay;
    auto inFlightWork = relay.services.loadTracker->beginDecode(engine.id, relay.priorities().levels() > 1 ? std::optional(order()) : std::nullopt);
    auto sentAt = m_move ? m_move->sentAt : relay.services.timers.now();
    StreamProgress::Stream inProgress(relay.services.streams, relay.service, engine.id, sentAt);
    m_lastEventAt.reset();
    m_isContinuation = m_writer.hasBegun();
    m_versionBinding.beginRun(engine);
    m_stops.beginRun(engine.id);
    m_departure.beginRun();
    m_hasEvents = false;
    auto response = co_await openDecodeStream(engine);
    if (!response)
        co_return response.error();
    if (!isEventStream(*response)) {
        auto relayed = co_await relayWholeResponse(*response);
        m_silenceWatch.stop();
        if (relayed && isSuccess(response->body->status())) {
            relay.countUsage();
            relay.recordAttemptSuccess(engine.id, sentAt, 1);
            relay.recordCompletion();
        }
        co_return relayed;
    }
    switch (co_await relayEvents(engine, *response, sentAt)) {
    case StreamEnd::Complete:
        m_silenceWatch.stop();
        relay.services.speeds.recordOccupancy(relay.service, relay.services.timers.now() - sentAt);
        relay.recordAttemptSuccess(engine.id, sentAt, 1);
        relay.recordCompletion();
        logCompletion(response->body->status());
        co_return Result<void>();
    case StreamEnd::ClientDisconnected:
        co_return makeError(ErrorKind::CallerGone, "the client disconnected after event " + m_lastEventId);
    case StreamEnd::Mismatch:
        co_return makeError(ErrorKind::BackendFailed, "the replica did not continue the stream after event " + m_lastEventId);
    case StreamEnd::Leaving:
        co_return makeError(ErrorKind::BackendFailed, "the engine is about to leave after event " + m_lastEventId);
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
    while (m_decodeCalls < maximumDecodeCalls) {
        if (relay.hasBlockedPart())
            co_return crashingPartError();
        auto engine = co_await prepareDecode(m_decodeCalls < maximumPrefillRounds);
        if (!engine)
            co_return engine.error();
        // Peers may have reported further crashes during the prefill.
        if (relay.hasBlockedPart())
            co_return crashingPartError();
        if (relay.isOver() || !relay.acquireAttempt())
            co_return last;
        ++m_decodeCalls;
        auto served = co_await decodeAt(*engine);
        relay.abort->detach();
        if (served)
            co_return served;
        m_move = m_silenceWatch.takeMove();
        if (m_stops.explainEnd(engine->id))
            relay.markInterrupted();
        last = served.error();
        relay.recordAttemptFailure(engine->id, last);
        if (!m_lastEventAt)
            relay.recordLossBeforeFirstEvent(*engine, last);
        if (last.kind == ErrorKind::CallerGone || !relay.mayRetry() || !mayContinue())
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

} // namespace chestnut
