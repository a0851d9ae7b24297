#include "frontend/completions/CompletionHandler.h"

#include "frontend/requests/RequestOutcome.h"
#include "frontend/streams/StreamHandover.h"

#include <algorithm>
#include <charconv>

namespace chestnut {

namespace {

    /** Estimated tokens of a prompt. */
    double promptTokensOf(const std::string& prompt)
    {
        return std::max(1.0, static_cast<double>(prompt.size()) / charactersPerToken);
    }

    std::optional<uint64_t> parseNumber(std::string_view text)
    {
        uint64_t number = 0;
        auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
        if (error != std::errc() || end != text.data() + text.size())
            return std::nullopt;
        return number;
    }

} // namespace

CompletionHandler::CompletionHandler(FrontendStatePointer state, std::shared_ptr<Dispatcher> dispatcher, std::shared_ptr<StreamStore> streamStore)
    : m_state(std::move(state))
    , m_dispatcher(std::move(dispatcher))
    , m_streamStore(std::move(streamStore))
{
}

Result<std::shared_ptr<StreamRecord>> CompletionHandler::makeRecord(CallerRequest caller, std::string target, std::string text, bool& isStreamed) const
{
    auto body = parseCompletionBody(text);
    if (!body)
        return body.error();
    if (body->resumeAfter > 0)
        return makeError(ErrorKind::BadRequest, "resume_after is reserved; resume a stream with GET /v1/streams");
    if (!m_state->replicas->hasGroup(groupOf(body->model)))
        return makeError(ErrorKind::UnknownModel, "there is no model " + body->model.value());
    isStreamed = body->isStreamed;
    auto record = std::make_shared<StreamRecord>();
    record->caller = std::move(caller);
    record->target = std::move(target);
    record->body = std::move(text);
    record->model = body->model;
    record->isChat = record->target == "/v1/chat/completions";
    record->maximumTokens = body->maximumTokens;
    record->blocks = prefixBlockHashes(body->prompt);
    record->promptTokens = promptTokensOf(body->prompt);
    record->digestPrefix = digestPrefixOf(record->caller.content);
    return record;
}

void CompletionHandler::countArrival(const StreamRecord& record)
{
    const auto& caller = record.caller;
    auto work = estimateWork(record.promptTokens, std::max(1U, record.maximumTokens), m_state->outputModel(caller.account, caller.priorityClass));
    // The part of the prompt that an engine has cached is rarely prefilled again.
    auto cached = m_state->replicas->cachedTokens(m_state->replicas->views(groupOf(record.model)), record.blocks);
    if (!cached.empty())
        work.prefillTokens = std::max(0.0, work.prefillTokens - *std::ranges::max_element(cached));
    m_state->demand.recordArrival(record.model, work, m_state->now());
}

asio::awaitable<void> CompletionHandler::complete(CallerRequest caller, HttpRequest request, HttpResponseWriter& writer)
{
    bool isStreamed = false;
    auto record = makeRecord(caller, std::string(request.path()), std::move(request.body), isStreamed);
    if (!record) {
        co_await refuse(*m_state, caller, record.error(), writer);
        co_return;
    }
    SseCompletionSink sseSink(writer, caller.id);
    BufferedCompletionSink bufferedSink(writer, caller.id);
    CompletionSink& sink = isStreamed ? static_cast<CompletionSink&>(sseSink) : bufferedSink;
    (*record)->isResumable = isStreamed;
    countArrival(**record);
    co_await runSession(*record, sink, writer, 0);
}

asio::awaitable<void> CompletionHandler::runSession(std::shared_ptr<StreamRecord> record, CompletionSink& sink, HttpResponseWriter& writer, uint64_t afterToken)
{
    auto session = std::make_shared<RequestSession>(m_state, m_dispatcher, m_streamStore, record);
    std::weak_ptr<RequestSession> weak = session;
    auto stop = [weak] {
        if (auto running = weak.lock())
            running->onCallerDisconnected();
    };
    if (record->stopSession)
        record->stopSession();
    record->stopSession = stop;
    ++record->runningSessions;
    writer.onCallerDisconnect(stop);
    auto caller = record->caller;
    auto result = co_await session->run(sink, afterToken);
    if (result)
        logCompleted(*m_state, caller, { session->lastEngine(), session->attempts(), record->lastIndex(), session->firstTokenDelay() });
    else {
        logRefused(*m_state, caller, result.error());
        if (result.error().kind == ErrorKind::CallerGone)
            writer.abort();
        else
            co_await sink.fail(result.error());
    }
    --record->runningSessions;
    m_streamStore->end(record, m_state->now());
}

asio::awaitable<void> CompletionHandler::resume(CallerRequest caller, std::string text, std::string afterText, HttpResponseWriter& writer)
{
    auto id = parseStreamId(text);
    auto after = parseNumber(afterText);
    if (!id || !after) {
        co_await refuse(*m_state, caller, makeError(ErrorKind::BadRequest, "the stream id or the token index is malformed"), writer);
        co_return;
    }
    auto record = m_streamStore->find(text);
    m_state->services.log.write(EventId::StreamResumed, { { "request", caller.id }, { "stream", text }, { "after", *after }, { "held", record ? "true" : "false" } });
    if (!record || !record->movedTo.empty())
        record = co_await fetchStream(caller, record ? record->movedTo : daemonOf(*id).value_or(DaemonId()), text);
    if (!record || *after + 1 < record->firstIndex) {
        co_await resumeAtEngine(std::move(caller), std::move(*id), *after, writer);
        co_return;
    }
    if (*after > record->lastIndex()) {
        co_await refuse(*m_state, caller, makeError(ErrorKind::BadRequest, "the stream has not produced this token yet"), writer);
        co_return;
    }
    record->caller.id = caller.id;
    record->caller.deadline = std::max(record->caller.deadline, caller.deadline);
    SseCompletionSink sseSink(writer, caller.id);
    co_await runSession(record, sseSink, writer, *after);
}

asio::awaitable<std::shared_ptr<StreamRecord>> CompletionHandler::fetchStream(CallerRequest caller, DaemonId holder, std::string streamId)
{
    auto handover = co_await requestStreamHandover(m_state, std::move(holder), streamId);
    if (!handover)
        co_return nullptr;
    caller.account = std::move(handover->account);
    caller.priorityClass = handover->priorityClass;
    caller.deadline = std::max(caller.deadline, m_state->now() + handover->remaining);
    caller.content = handover->content;
    bool isStreamed = false;
    auto record = makeRecord(std::move(caller), std::move(handover->target), std::move(handover->body), isStreamed);
    if (!record)
        co_return nullptr;
    (*record)->firstIndex = handover->firstIndex;
    (*record)->tokens = std::move(handover->tokens);
    (*record)->finishReason = std::move(handover->finishReason);
    (*record)->streamId = std::move(streamId);
    (*record)->isResumable = true;
    m_streamStore->add(*record);
    co_return *record;
}

asio::awaitable<void> CompletionHandler::resumeAtEngine(CallerRequest caller, StreamId id, uint64_t afterToken, HttpResponseWriter& writer)
{
    auto configuration = m_state->services.configuration.current();
    auto engine = configuration->engines.find(id.engine.value());
    auto endpoint = engine == configuration->engines.end() ? std::nullopt : parseEndpoint(engine->second.address);
    if (!endpoint) {
        co_await refuse(*m_state, caller, makeError(ErrorKind::StreamLost, "the engine of the stream is not configured"), writer);
        co_return;
    }
    auto record = std::make_shared<StreamRecord>();
    record->caller = caller;
    record->model = engine->second.model;
    record->digestPrefix = id.digestPrefix;
    record->firstIndex = afterToken + 1;
    ReplicaId replica(id.engine.value());
    InFlightRequestInfo info;
    info.content = caller.content;
    info.priorityClass = caller.priorityClass;
    info.work = { 0, 1 };
    auto inFlight = std::make_shared<InFlightRequest>(std::weak_ptr<ReplicaTable>(), replica, std::move(info), m_state->now());
    auto session = std::make_shared<RequestSession>(m_state, m_dispatcher, m_streamStore, record);
    std::weak_ptr<RequestSession> weak = session;
    writer.onCallerDisconnect([weak] {
        if (auto running = weak.lock())
            running->onCallerDisconnected();
    });
    SseCompletionSink sseSink(writer, caller.id);
    auto result = co_await session->resumeAtEngine(sseSink, { replica, *endpoint, std::move(inFlight) }, id.engineRequest, afterToken);
    if (result)
        logCompleted(*m_state, caller, { replica, 1, record->lastIndex(), session->firstTokenDelay() });
    else {
        logRefused(*m_state, caller, result.error());
        co_await sseSink.fail(result.error());
    }
    m_streamStore->end(record, m_state->now());
}

} // namespace chestnut
