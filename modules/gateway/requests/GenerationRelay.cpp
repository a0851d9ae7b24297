#include "gateway/requests/GenerationRelay.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace chestnut {

namespace {

    /** Prompts up to this length are read by the decode engine itself: that costs it about 3 ms between the tokens of other
        requests, less than a second call. */
    constexpr uint32_t longestDirectPrompt = 600;
    /** Work queued at the decode engines, as a multiple of their slots, beyond which requests are refused before their
        prompt is read: their time would be up before a slot is free. */
    constexpr double saturationMultiple = 2.5;
    /** From the end of the prefill to the first event at the client: transfer, first step of the decode and the ways. */
    constexpr Duration timeAfterPrefill = std::chrono::milliseconds(30);
    /** Urgencies at the engines: requests that can be on time go before those that are late anyway. */
    constexpr uint32_t onTimeUrgency = 4;
    constexpr uint32_t deferredUrgency = 7;
    /** A prefill that takes longer than this is given up: the multiple of its expected time and the fixed part. */
    constexpr int prefillPatience = 4;
    constexpr Duration fixedPrefillPatience = std::chrono::milliseconds(400);
    /** A resumable stream without an event for this multiple of its objective goes on elsewhere. */
    constexpr int stallObjectives = 4;
    constexpr uint32_t maximumDecodeCalls = 3;
    constexpr uint32_t maximumPrefillCalls = 2;
    /** Decode calls before which the prompt may be read; later ones leave that to the decode engine. */
    constexpr uint32_t maximumPrefillRounds = 2;
    constexpr size_t maximumWholeAnswer = 1 << 20;
    /** Until a refused client comes back: about the time that decode slots need to turn over. */
    constexpr std::chrono::milliseconds saturatedRetryAfter { 500 };

    Error saturated(std::string detail)
    {
        auto error = makeError(ErrorKind::Overloaded, std::move(detail));
        error.retryAfter = saturatedRetryAfter;
        return error;
    }

    /** Engines, their requests in flight and how many are ejected, for the log. */
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
        co_await finishWith(m_relay->finalError(served.error()));
    releaseHandle();
}

TimerSubscription GenerationRelay::watchStall(const ReplicaId& replica) const
{
    auto& relay = *m_relay;
    const auto* known = relay.services.replicas.find(replica);
    // At a full engine the request waits for its turn; going elsewhere would only add work.
    auto isFull = known && relay.services.board->requestsAt(replica) > known->entry.slots;
    if (!relay.route.isResumable || isFull)
        return {};
    return relay.services.timers.once(relay.route.latencyObjective * stallObjectives, [abort = relay.abort] { abort->interrupt(); });
}

Result<ReplicaEntry> GenerationRelay::chooseDecode()
{
    auto& relay = *m_relay;
    auto entries = relay.services.replicas.usable(relay.service, EngineStage::Decode, relay.excluded);
    if (entries.empty())
        return makeError(ErrorKind::NoBackend, "no decode engine of the service is known");
    std::vector<PlacementView> views;
    views.reserve(entries.size());
    for (const auto* entry : entries)
        views.push_back(relay.viewOf(*entry));
    if (isSaturated(views, saturationMultiple))
        return saturated("the decode engines are saturated: " + describeLoad(views));
    auto choice = chooseLeastOccupied(views, relay.services.zone);
    return *entries[choice.value_or(0)];
}

std::optional<std::pair<ReplicaEntry, PrefillChoice>> GenerationRelay::choosePrefill()
{
    auto& relay = *m_relay;
    auto entries = relay.services.replicas.usable(relay.service, EngineStage::Prefill, relay.excluded);
    std::vector<PlacementView> views;
    views.reserve(entries.size());
    for (const auto* entry : entries) {
        auto view = relay.viewOf(*entry);
        for (size_t i = 0; i + 1 < m_prompt->parts.size() && relay.services.board->hasPart(entry->id, m_prompt->parts[i].id); ++i)
            view.cachedTokens += m_prompt->parts[i].tokens;
        views.push_back(std::move(view));
    }
    auto elapsed = relay.services.timers.now() - relay.request.arrival;
    auto choice = choosePrefillEngine(*m_prompt, views, relay.route.latencyObjective - elapsed - timeAfterPrefill);
    if (!choice)
        return std::nullopt;
    return std::pair(*entries[choice->index], *choice);
}

asio::awaitable<Result<PrefillAnswer>> GenerationRelay::prefillAt(const ReplicaEntry& engine, const PrefillChoice& choice)
{
    auto& relay = *m_relay;
    auto& services = relay.services;
    auto flight = services.board->beginPrefill(engine.id, choice.missingTokens, choice.isDeferred);
    m_urgency = choice.isDeferred ? deferredUrgency : onTimeUrgency;
    std::vector<uint64_t> parts;
    for (size_t i = 0; i + 1 < m_prompt->parts.size(); ++i)
        parts.push_back(m_prompt->parts[i].id);
    services.board->recordParts(engine.id, parts);
    ReplicaCall call { relay.request, engine.id, engine.address, relay.remaining() };
    call.abort = relay.abort;
    call.urgency = m_urgency;
    auto startedAt = services.timers.now();
    auto patience = choice.expectedTime * prefillPatience + fixedPrefillPatience;
    auto stall = services.timers.once(patience, [abort = relay.abort] { abort->interrupt(); });
    auto answer = co_await services.instances.prefill(std::move(call));
    if (answer) {
        auto taken = services.timers.now() - startedAt;
        m_prefillTime = std::chrono::duration_cast<std::chrono::milliseconds>(taken);
        relay.noteSuccess(engine.id, startedAt, toSeconds(taken) / toSeconds(choice.nominalTime));
    }
    co_return answer;
}

bool GenerationRelay::needsPrefill() const
{
    return m_prompt && m_prompt->promptTokens > longestDirectPrompt && m_lastEventId.empty() && !m_handle;
}

asio::awaitable<Result<void>> GenerationRelay::readPrompt()
{
    auto& relay = *m_relay;
    for (uint32_t calls = 0; calls < maximumPrefillCalls && !relay.isOver(); ++calls) {
        auto isRepeat = !std::exchange(m_mayPrefill, false);
        auto choice = choosePrefill();
        // Without a prefill engine the decode engine reads the prompt.
        if (!choice)
            co_return Result<void>();
        const auto& [engine, plan] = *choice;
        if (plan.expectedTime > relay.remaining())
            co_return saturated("the prefill engines are saturated: the prompt would be read in " + millisecondsText(plan.expectedTime) + " ms, left are " + millisecondsText(relay.remaining()) + " ms");
        if (isRepeat && !relay.services.budgets.tryTakeRetry(relay.service))
            co_return Result<void>();
        relay.services.log.write(EventId::PrefillPlaced, { { "request", relay.request.id }, { "replica", engine.id }, { "missing", plan.missingTokens }, { "queued", relay.services.board->observe(engine.id).work.prefillTokens }, { "expected_ms", plan.expectedTime.count() / 1000 }, { "deferred", plan.isDeferred ? 1 : 0 } });
        auto answer = co_await prefillAt(engine, plan);
        if (answer) {
            m_handle = answer->handle;
            co_return Result<void>();
        }
        // Reading a prompt runs nothing, whatever the error says.
        auto error = answer.error();
        relay.excluded.insert(engine.id);
        relay.services.log.write(EventId::PrefillFailed, { { "request", relay.request.id }, { "replica", engine.id }, { "kind", describe(error.kind).name }, { "detail", error.detail } });
        if (error.kind == ErrorKind::Overloaded) {
            if (!isRepeat)
                relay.services.budgets.chargeRejection(relay.service);
            relay.services.board->recordRefusal(engine.id, engine.slots);
        } else if (!relay.isOver())
            relay.services.board->recordFailure(engine.id);
    }
    co_return saturated("no prefill engine took the prompt");
}

asio::awaitable<Result<ReplicaResponse>> GenerationRelay::openDecode(const ReplicaEntry& engine)
{
    auto& relay = *m_relay;
    ReplicaCall call { relay.request, engine.id, engine.address, relay.remaining() };
    call.abort = relay.abort;
    call.urgency = m_urgency.value_or(onTimeUrgency);
    call.handle = m_handle;
    if (!m_lastEventId.empty())
        call.resumeAfter = m_lastEventId;
    auto stall = watchStall(engine.id);
    relay.services.log.write(EventId::RequestRouted, { { "request", relay.request.id }, { "route", relay.route.name }, { "replica", engine.id }, { "in_flight", relay.services.board->requestsAt(engine.id) }, { "handle", m_handle ? m_handle->id : "" }, { "resume_after", m_lastEventId }, { "left_ms", relay.remaining().count() / 1000 } });
    auto answer = co_await relay.services.instances.send(std::move(call));
    if (!answer) {
        // The engine may have taken the KV cache; a handle can be taken once.
        if (answer.error().kind != ErrorKind::ConnectFailed)
            m_handle.reset();
        co_return answer.error();
    }
    auto status = std::to_string(answer->body->status());
    if (answer->verdict == ExecutionStatus::NotExecuted)
        co_return makeError(ErrorKind::Overloaded, "refused by the replica with status " + status);
    if (answer->verdict == ExecutionStatus::OtherInstance)
        co_return makeError(ErrorKind::NoBackend, "another replica has the address, or it does not decode");
    // The handle has been taken.
    m_handle.reset();
    if (answer->verdict == ExecutionStatus::Unsealed)
        co_return makeError(ErrorKind::BackendFailed, "response without the seal of the replica");
    if (!m_lastEventId.empty() && !isSuccess(answer->body->status()))
        co_return makeError(ErrorKind::BackendFailed, "the stream was not resumed: status " + status);
    co_return answer;
}

asio::awaitable<bool> GenerationRelay::writeEvents(ReplicaResponse& answer, EventBatch batch)
{
    if (auto last = eventNumber(m_lastEventId))
        batch.bytes = withoutEventsUpTo(batch.bytes, *last);
    if (batch.bytes.empty())
        co_return true;
    if (!m_writer.hasBegun()) {
        m_firstEventAt = m_relay->services.timers.now();
        if (!co_await m_writer.begin(answer.body->status(), answer.headers))
            co_return false;
    }
    if (!batch.lastId.empty())
        m_lastEventId = batch.lastId;
    co_return static_cast<bool>(co_await m_writer.write(std::move(batch.bytes)));
}

asio::awaitable<GenerationRelay::StreamEnd> GenerationRelay::relayEvents(const ReplicaId& engine, ReplicaResponse& answer)
{
    auto& relay = *m_relay;
    EventSplitter splitter;
    while (true) {
        auto stall = watchStall(engine);
        auto bytes = co_await answer.body->read();
        if (relay.isCallerGone())
            co_return StreamEnd::ClientGone;
        if (!bytes || splitter.isOverlong())
            co_return StreamEnd::Broken;
        auto isEnd = !*bytes;
        if (!isEnd)
            splitter.append(**bytes);
        auto batch = splitter.takeEvents();
        if (isEnd)
            batch.bytes += splitter.takeRest();
        if (!co_await writeEvents(answer, std::move(batch)))
            co_return StreamEnd::ClientGone;
        if (!isEnd)
            continue;
        // An empty stream still is a whole answer.
        if (!m_writer.hasBegun() && !co_await m_writer.begin(answer.body->status(), answer.headers))
            co_return StreamEnd::ClientGone;
        co_return co_await m_writer.finish() ? StreamEnd::Complete : StreamEnd::ClientGone;
    }
}

asio::awaitable<Result<void>> GenerationRelay::answerWhole(ReplicaResponse& answer)
{
    m_relay->mayHaveRun = true;
    auto body = co_await readWholeBody(*answer.body, maximumWholeAnswer);
    if (!body)
        co_return makeError(ErrorKind::BackendFailed, body.error().detail);
    auto status = answer.body->status();
    auto sent = co_await m_writer.send({ status, std::move(answer.headers), std::move(*body) });
    m_relay->services.log.write(EventId::RequestCompleted, { { "request", m_relay->request.id }, { "status", status }, { "sent", sent ? 1 : 0 } });
    co_return Result<void>();
}

void GenerationRelay::logCompletion(int status) const
{
    const auto& relay = *m_relay;
    auto sinceArrival = [&relay](TimePoint time) { return (time - relay.request.arrival).count() / 1000; };
    relay.services.log.write(EventId::RequestCompleted, { { "request", relay.request.id }, { "status", status }, { "prefill_ms", m_prefillTime.count() }, { "first_event_ms", sinceArrival(m_firstEventAt) }, { "ms", sinceArrival(relay.services.timers.now()) } });
}

asio::awaitable<Result<ReplicaEntry>> GenerationRelay::prepareDecode(bool mayReadPrompt)
{
    if (mayReadPrompt && needsPrefill()) {
        // A prompt is not read while there is no decode place, and the place is chosen anew after the reading.
        if (auto place = chooseDecode(); !place)
            co_return place.error();
        if (auto read = co_await readPrompt(); !read)
            co_return read.error();
    }
    co_return chooseDecode();
}

asio::awaitable<Result<void>> GenerationRelay::decodeAt(const ReplicaEntry& engine)
{
    auto& relay = *m_relay;
    auto flight = relay.services.board->begin(engine.id);
    auto sentAt = relay.services.timers.now();
    auto answer = co_await openDecode(engine);
    if (!answer)
        co_return answer.error();
    if (!isSuccess(answer->body->status()))
        co_return co_await answerWhole(*answer);
    switch (co_await relayEvents(engine.id, *answer)) {
    case StreamEnd::Complete:
        relay.noteSuccess(engine.id, sentAt, 1);
        relay.clearLosses();
        logCompletion(answer->body->status());
        co_return Result<void>();
    case StreamEnd::ClientGone:
        co_return makeError(ErrorKind::CallerGone, "the client left after event " + m_lastEventId);
    case StreamEnd::Broken:
        break;
    }
    co_return makeError(ErrorKind::BackendFailed, "the stream broke off after event " + m_lastEventId);
}

asio::awaitable<Result<void>> GenerationRelay::generate()
{
    auto& relay = *m_relay;
    if (relay.isRefusedContent())
        co_return crashingContent();
    auto last = makeError(ErrorKind::NoBackend, "no decode engine of the service is known");
    for (uint32_t calls = 0; calls < maximumDecodeCalls; ++calls) {
        auto engine = co_await prepareDecode(calls < maximumPrefillRounds);
        if (!engine)
            co_return engine.error();
        if (relay.isOver() || !relay.takeArrival())
            co_return last;
        auto served = co_await decodeAt(*engine);
        if (served)
            co_return served;
        last = served.error();
        relay.noteFailure(engine->id, last);
        if (last.kind == ErrorKind::CallerGone || !relay.mayRunAgain())
            break;
    }
    co_return last;
}

asio::awaitable<void> GenerationRelay::finishWith(Error error)
{
    logRefusal(error);
    if (m_writer.hasBegun()) {
        m_writer.abort();
        co_return;
    }
    if (error.kind != ErrorKind::CallerGone)
        co_await answerError(m_writer, m_relay->request.id, error);
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
        auto released = co_await services.instances.release(handle);
        if (!released)
            services.log.write(EventId::HandleReleaseFailed, { { "source", handle.source }, { "handle", handle.id }, { "detail", released.error().detail } });
    };
    asio::co_spawn(m_relay->services.context, release(m_relay->services, *m_handle), asio::detached);
}

} // namespace chestnut
