#include "frontend/listener/Frontend.h"

#include "frontend/discovery/DiscoveryResponse.h"
#include "frontend/replicas/HeartbeatExchange.h"
#include "frontend/streams/StreamHandover.h"

#include <algorithm>
#include <charconv>

namespace chestnut {

namespace {

    constexpr std::string_view streamsPrefix = "/v1/streams/";
    constexpr std::string_view servicesPrefix = "/services/";
    constexpr Duration expiryPeriod = std::chrono::seconds(5);
    constexpr Duration idleCheckPeriod = std::chrono::seconds(1);

    bool isCompletionPath(std::string_view path)
    {
        return path == "/v1/completions" || path == "/v1/chat/completions";
    }

    /** Estimated tokens of a prompt. */
    double promptTokensOf(const std::string& prompt)
    {
        return std::max(1.0, static_cast<double>(prompt.size()) / charactersPerToken);
    }

    std::string_view nameOfClass(PriorityClass priorityClass)
    {
        return priorityClass == PriorityClass::Live ? "live" : "batch";
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

struct Frontend::InProgressCounter {
    explicit InProgressCounter(asio::io_context& context)
        : idle(context)
    {
    }

    size_t requests = 0;
    AutoResetEvent idle;
};

/** Counts a request as in progress while its handler runs. */
class Frontend::InProgressGuard {
public:
    explicit InProgressGuard(std::shared_ptr<InProgressCounter> progress)
        : m_progress(std::move(progress))
    {
        ++m_progress->requests;
    }
    InProgressGuard(const InProgressGuard&) = delete;
    InProgressGuard& operator=(const InProgressGuard&) = delete;
    ~InProgressGuard()
    {
        if (--m_progress->requests == 0)
            m_progress->idle.notify();
    }

private:
    std::shared_ptr<InProgressCounter> m_progress;
};

/** Counts a request against its account's limit. */
class Frontend::AccountInFlightGuard {
public:
    AccountInFlightGuard(FrontendStatePointer state, AccountId account)
        : m_state(std::move(state))
        , m_account(std::move(account))
    {
        ++m_state->inFlightByAccount[m_account];
    }
    AccountInFlightGuard(const AccountInFlightGuard&) = delete;
    AccountInFlightGuard& operator=(const AccountInFlightGuard&) = delete;
    ~AccountInFlightGuard()
    {
        auto count = m_state->inFlightByAccount.find(m_account);
        if (--count->second == 0)
            m_state->inFlightByAccount.erase(count);
    }

private:
    FrontendStatePointer m_state;
    AccountId m_account;
};

Frontend::Frontend(FrontendServices services, FrontendSettings settings, ReplicaStatusSource statusSource)
    : m_state(std::make_shared<FrontendState>(services, std::move(settings), std::move(statusSource)))
    , m_dispatcher(std::make_shared<Dispatcher>(m_state))
    , m_streamStore(std::make_shared<StreamStore>())
    , m_poller(m_state)
    , m_progress(std::make_shared<InProgressCounter>(services.context))
{
}

Frontend::~Frontend()
{
    // Suspended sessions end their requests later, when the dispatcher must not serve its queues any more.
    m_state->replicas->onRequestEnd({});
}

size_t Frontend::inProgress() const
{
    return m_progress->requests;
}

void Frontend::start()
{
    auto& services = m_state->services;
    std::weak_ptr<FrontendState> weak = m_state;
    if (auto configuration = services.configuration.current())
        m_state->replicas->apply(*configuration);
    services.configuration.onChange([weak](const std::shared_ptr<const Configuration>& configuration) {
        if (auto state = weak.lock())
            state->replicas->apply(*configuration);
    });
    registerHeartbeatExtensions(m_state);
    serveStreamHandovers(m_state, m_streamStore);
    m_dispatcher->start();
    m_poller.start();
    m_expiryTimer = services.timers.every(expiryPeriod, [streamStore = m_streamStore, weak] {
        if (auto state = weak.lock())
            streamStore->expire(state->now());
    });
}

asio::awaitable<void> Frontend::stop()
{
    auto& services = m_state->services;
    services.log.write(EventId::FrontendStopping, { { "in_progress", m_progress->requests } });
    m_isLeaving = true;
    services.peers.announceState(MemberState::Leaving);
    co_await services.timers.sleep(m_state->settings.leaveDelay);
    m_isStopping = true;
    while (m_progress->requests > 0)
        co_await m_progress->idle.waitFor(services.timers, idleCheckPeriod);
    services.log.write(EventId::FrontendStopped, {});
}

HttpResponse Frontend::makeErrorResponse(const Error& error)
{
    return errorResponse(error, RequestId("none"));
}

HttpResponse Frontend::handleDiscovery(const HttpRequest& request, const RequestId& id) const
{
    if (request.method != "GET")
        return errorResponse(makeError(ErrorKind::BadRequest, "discovery only supports GET"), id);
    auto& services = m_state->services;
    // Callers use the prefix for as long as the response is valid, and a leaving daemon may stop before that. Without a
    // prefix they use shared keys.
    auto keyPrefix = m_isLeaving ? std::string() : services.claims.keyPrefix();
    return discoveryResponse(request, id, services.peers, keyPrefix, m_state->settings.locality.zone);
}

asio::awaitable<void> Frontend::handle(HttpRequest request, HttpResponseWriter& writer)
{
    InProgressGuard progress(m_progress);
    auto id = requestIdOf(request.headers, m_state->nextAttemptId());
    if (request.path() == "/v1/entrypoints") {
        co_await writer.send(handleDiscovery(request, id));
        co_return;
    }
    co_await handleWork(std::move(request), std::move(id), writer);
}

asio::awaitable<void> Frontend::handleWork(HttpRequest request, RequestId id, HttpResponseWriter& writer)
{
    auto parsed = parseCallerRequest(request, id, m_state->now());
    CallerRequest caller;
    caller.id = id;
    if (parsed)
        caller = *parsed;
    auto refusal = refusalIfNotServing();
    if (!refusal && !parsed)
        refusal = parsed.error();
    if (!refusal && !isWithinAccountLimit(caller.account))
        refusal = makeError(ErrorKind::AccountLimit, "the account has reached its limit of requests in flight");
    if (refusal) {
        co_await refuse(caller, *refusal, writer);
        co_return;
    }
    AccountInFlightGuard accountGuard(m_state, caller.account);
    m_state->retryBudget = withRequest(m_state->retryBudget);
    std::string path(request.path());
    if (isCompletionPath(path) && request.method == "POST")
        co_await complete(std::move(caller), std::move(request), writer);
    else if (path.starts_with(streamsPrefix) && request.method == "GET")
        co_await resume(std::move(caller), std::move(request), writer);
    else if (path.starts_with(servicesPrefix))
        co_await callService(std::move(caller), std::move(request), writer);
    else
        co_await refuse(caller, makeError(ErrorKind::NotFound, "no such path or method"), writer);
}

std::optional<Error> Frontend::refusalIfNotServing() const
{
    if (m_isStopping)
        return makeError(ErrorKind::Leaving, "this daemon is shutting down");
    if (!m_state->services.configuration.current())
        return makeError(ErrorKind::NotReady, "this daemon has no configuration yet");
    return std::nullopt;
}

bool Frontend::isWithinAccountLimit(const AccountId& account) const
{
    const auto configuration = m_state->services.configuration.current();
    auto spec = configuration->accounts.find(account.value());
    if (spec == configuration->accounts.end() || spec->second.maximumInFlight == 0)
        return true;
    auto count = m_state->inFlightByAccount.find(account);
    return count == m_state->inFlightByAccount.end() || count->second < spec->second.maximumInFlight;
}

Result<std::shared_ptr<StreamRecord>> Frontend::makeRecord(CallerRequest caller, std::string target, std::string text, bool& isStreamed) const
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

void Frontend::countArrival(const StreamRecord& record)
{
    const auto& caller = record.caller;
    auto work = estimateWork(record.promptTokens, std::max(1U, record.maximumTokens), m_state->outputModel(caller.account, caller.priorityClass));
    // The part of the prompt that an engine has cached is rarely prefilled again.
    auto cached = m_state->replicas->cachedTokens(m_state->replicas->views(groupOf(record.model)), record.blocks);
    if (!cached.empty())
        work.prefillTokens = std::max(0.0, work.prefillTokens - *std::ranges::max_element(cached));
    m_state->demand.recordArrival(record.model, work, m_state->now());
}

GroupDemand Frontend::demandOf(const EngineGroupId& group) const
{
    auto configuration = m_state->services.configuration.current();
    if (!configuration)
        return {};
    auto engine = std::ranges::find_if(configuration->engines, [&group](const auto& entry) { return groupOf(entry.second) == group; });
    if (engine == configuration->engines.end())
        return {};
    auto demand = m_state->demand.groupDemand(group, *configuration, m_state->services.peers.members(), m_state->now());
    return { demand, mixedRoleRates(m_state->replicas->views(groupOf(engine->second.model)), engine->second.zone) };
}

asio::awaitable<void> Frontend::complete(CallerRequest caller, HttpRequest request, HttpResponseWriter& writer)
{
    bool isStreamed = false;
    auto record = makeRecord(caller, std::string(request.path()), std::move(request.body), isStreamed);
    if (!record) {
        co_await refuse(caller, record.error(), writer);
        co_return;
    }
    SseCompletionSink sseSink(writer, caller.id);
    BufferedCompletionSink bufferedSink(writer, caller.id);
    CompletionSink& sink = isStreamed ? static_cast<CompletionSink&>(sseSink) : bufferedSink;
    (*record)->isResumable = isStreamed;
    countArrival(**record);
    co_await runSession(*record, sink, writer, 0);
}

asio::awaitable<void> Frontend::runSession(std::shared_ptr<StreamRecord> record, CompletionSink& sink, HttpResponseWriter& writer, uint64_t afterToken)
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
        logCompleted(caller, session->lastEngine(), session->attempts(), record->lastIndex(), session->firstTokenDelay());
    else {
        logRefused(caller, result.error());
        if (result.error().kind == ErrorKind::CallerGone)
            writer.abort();
        else
            co_await sink.fail(result.error());
    }
    --record->runningSessions;
    m_streamStore->end(record, m_state->now());
}

asio::awaitable<void> Frontend::resume(CallerRequest caller, HttpRequest request, HttpResponseWriter& writer)
{
    std::string text(request.path().substr(streamsPrefix.size()));
    auto id = parseStreamId(text);
    auto after = parseNumber(request.queryValue("after"));
    if (!id || !after) {
        co_await refuse(caller, makeError(ErrorKind::BadRequest, "the stream id or the token index is malformed"), writer);
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
        co_await refuse(caller, makeError(ErrorKind::BadRequest, "the stream has not produced this token yet"), writer);
        co_return;
    }
    record->caller.id = caller.id;
    record->caller.deadline = std::max(record->caller.deadline, caller.deadline);
    SseCompletionSink sseSink(writer, caller.id);
    co_await runSession(record, sseSink, writer, *after);
}

asio::awaitable<std::shared_ptr<StreamRecord>> Frontend::fetchStream(CallerRequest caller, DaemonId holder, std::string streamId)
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

asio::awaitable<void> Frontend::resumeAtEngine(CallerRequest caller, StreamId id, uint64_t afterToken, HttpResponseWriter& writer)
{
    auto configuration = m_state->services.configuration.current();
    auto engine = configuration->engines.find(id.engine.value());
    auto endpoint = engine == configuration->engines.end() ? std::nullopt : parseEndpoint(engine->second.address);
    if (!endpoint) {
        co_await refuse(caller, makeError(ErrorKind::StreamLost, "the engine of the stream is not configured"), writer);
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
        logCompleted(caller, replica, 1, record->lastIndex(), session->firstTokenDelay());
    else {
        logRefused(caller, result.error());
        co_await sseSink.fail(result.error());
    }
    m_streamStore->end(record, m_state->now());
}

asio::awaitable<void> Frontend::callService(CallerRequest caller, HttpRequest request, HttpResponseWriter& writer)
{
    auto parsed = parseServiceRequest(caller, request);
    if (!parsed) {
        co_await refuse(caller, parsed.error(), writer);
        co_return;
    }
    if (!m_state->replicas->hasGroup(groupOf(parsed->service))) {
        co_await refuse(caller, makeError(ErrorKind::UnknownService, "there is no service " + parsed->service.value()), writer);
        co_return;
    }
    auto call = std::make_shared<ServiceCall>(m_state, m_dispatcher, std::move(*parsed));
    std::weak_ptr<ServiceCall> weak = call;
    writer.onCallerDisconnect([weak] {
        if (auto running = weak.lock())
            running->onCallerDisconnected();
    });
    auto response = co_await call->run();
    if (!response) {
        co_await refuse(caller, response.error(), writer);
        co_return;
    }
    logCompleted(caller, call->lastReplica(), call->attempts(), 0, std::nullopt);
    HttpHeaders headers { { "X-Request-Id", caller.id.value() } };
    if (auto type = response->headers.value("Content-Type"); !type.empty())
        headers.set("Content-Type", type);
    co_await writer.send({ response->status, std::move(headers), std::move(response->body) });
}

asio::awaitable<void> Frontend::refuse(const CallerRequest& caller, Error error, HttpResponseWriter& writer)
{
    logRefused(caller, error);
    auto response = errorResponse(error, caller.id);
    co_await writer.send(std::move(response));
}

void Frontend::logRefused(const CallerRequest& caller, const Error& error)
{
    const auto& description = describe(error.kind);
    m_state->services.metrics.count("chestnut_requests_refused_total", { { "kind", std::string(description.name) } });
    m_state->services.log.write(EventId::RequestRefused, {
                                                             { "request", caller.id },
                                                             { "kind", description.name },
                                                             { "outcome", nameOf(description.outcome) },
                                                             { "reason", error.detail },
                                                             { "class", nameOfClass(caller.priorityClass) },
                                                             { "account", caller.account },
                                                         });
}

void Frontend::logCompleted(const CallerRequest& caller, const ReplicaId& replica, uint32_t attempts, uint64_t tokens, std::optional<Duration> firstToken)
{
    m_state->services.metrics.count("chestnut_requests_completed_total", { { "class", std::string(nameOfClass(caller.priorityClass)) } });
    LogFields fields {
        { "request", caller.id },
        { "replica", replica },
        { "attempts", attempts },
        { "tokens", tokens },
        { "total_ms", (m_state->now() - caller.arrival).count() / 1000 },
        { "class", nameOfClass(caller.priorityClass) },
        { "account", caller.account },
    };
    if (firstToken)
        fields.emplace_back("first_token_ms", firstToken->count() / 1000);
    m_state->services.log.write(EventId::RequestCompleted, std::move(fields));
}

} // namespace chestnut
