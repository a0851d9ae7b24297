#include "EngineApi.h"

#include "common/StandinText.h"
#include "http/sse/SseParser.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace chestnut {

using nlohmann::json;

namespace {

    constexpr std::string_view streamsPath = "/v1/streams/";
    constexpr std::string_view cancelPath = "/v1/cancel/";
    /** How long a request whose response is to be swapped waits for a second one. */
    constexpr auto swapTimeout = std::chrono::seconds(1);

    HttpResponse errorResponse(const Error& error)
    {
        const auto& description = describe(error.kind);
        return jsonResponse(description.status, { { "error", { { "kind", description.name }, { "outcome", nameOf(description.outcome) }, { "message", error.detail } } } });
    }

    asio::awaitable<void> waitFor(asio::steady_timer& timer)
    {
        boost::system::error_code ignored;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }

    SseEvent eventOf(const EngineJob& job, uint64_t index, const ModelId& model)
    {
        CompletionChunk chunk { job.id.value(), standinToken(job.body.prompt, index), index == job.totalTokens ? "stop" : "" };
        return { std::to_string(index), formatCompletionChunk(chunk, model, job.isChat) };
    }

} // namespace

HttpResponse jsonResponse(int status, const json& document)
{
    HttpHeaders headers;
    headers.set("Content-Type", "application/json");
    return { status, headers, document.dump() };
}

EngineApi::EngineApi(asio::io_context& context, std::shared_ptr<EngineSimulator> simulator)
    : m_context(context)
    , m_simulator(std::move(simulator))
{
}

asio::awaitable<void> EngineApi::handle(HttpRequest request, HttpResponseWriter& writer)
{
    auto path = request.path();
    if (request.method == "POST" && (path == "/v1/completions" || path == "/v1/chat/completions"))
        co_await complete(std::move(request), writer);
    else if (path.starts_with(streamsPath))
        co_await resume(std::move(request), writer);
    else
        co_await writer.send(handlePlain(request));
}

asio::awaitable<void> EngineApi::complete(HttpRequest request, HttpResponseWriter& writer)
{
    RequestId id(std::string(request.headers.value("X-Request-Id")));
    std::string priority(request.headers.value("X-Priority"));
    m_simulator->record({ { "kind", "request" }, { "request", id.value() }, { "priority", priority }, { "body_digest", toHex(digestOf(request.body)) } });
    auto body = parseCompletionBody(request.body);
    if (!body) {
        co_await writer.send(errorResponse(body.error()));
        co_return;
    }
    auto after = body->resumeAfter;
    bool isChat = request.path() == "/v1/chat/completions";
    auto job = m_simulator->submit(id, std::move(*body), isChat, std::atoi(priority.c_str()));
    if (!job) {
        co_await writer.send(errorResponse(job.error()));
        co_return;
    }
    auto servedJob = *job;
    if (m_simulator->faults().crossedAnswers > 0)
        servedJob = co_await swapWithNext(servedJob);
    if (auto delay = m_simulator->faults().lateAnswerMs; delay > 0)
        co_await m_simulator->timers().sleep(std::chrono::milliseconds(delay));
    co_await streamTokens(servedJob, after, writer);
}

asio::awaitable<std::shared_ptr<EngineJob>> EngineApi::swapWithNext(std::shared_ptr<EngineJob> job)
{
    if (auto pending = std::exchange(m_pendingSwap, nullptr)) {
        --m_simulator->faults().crossedAnswers;
        pending->partner = job;
        pending->partnerArrived.cancel();
        co_return pending->job;
    }
    auto own = std::make_shared<PendingSwap>(m_context);
    own->job = job;
    own->partnerArrived.expires_after(swapTimeout);
    m_pendingSwap = own;
    co_await waitFor(own->partnerArrived);
    if (m_pendingSwap == own)
        m_pendingSwap = nullptr;
    co_return own->partner ? own->partner : job;
}

asio::awaitable<void> EngineApi::resume(HttpRequest request, HttpResponseWriter& writer)
{
    RequestId id(std::string(request.path().substr(streamsPath.size())));
    auto after = std::strtoull(request.queryValue("after").c_str(), nullptr, 10);
    auto job = m_simulator->find(id);
    m_simulator->record({ { "kind", "resume" }, { "request", id.value() }, { "after", after }, { "found", job != nullptr } });
    if (!job || job->isCancelled || after < job->body.resumeAfter) {
        co_await writer.send(errorResponse(makeError(ErrorKind::NotFound, "no such stream")));
        co_return;
    }
    co_await streamTokens(job, after, writer);
}

asio::awaitable<void> EngineApi::streamTokens(std::shared_ptr<EngineJob> job, uint64_t after, HttpResponseWriter& writer)
{
    auto model = m_simulator->state().order.model;
    HttpHeaders headers { { "Content-Type", "text/event-stream" }, { "X-Request-Id", job->id.value() } };
    bool isConnected = (co_await writer.begin(200, headers)).has_value();
    auto next = after + 1;
    while (isConnected && next <= job->totalTokens) {
        if (next > job->producedTokens) {
            if (job->isCancelled)
                break;
            co_await waitFor(job->changed);
            continue;
        }
        isConnected = (co_await writer.write(formatSse(eventOf(*job, next++, model)))).has_value();
    }
    if (!isConnected || next <= job->totalTokens) {
        writer.abort();
        co_return;
    }
    co_await writer.write(formatSse({ "", "[DONE]" }));
    co_await writer.finish();
}

HttpResponse EngineApi::handleOrder(const std::string& body)
{
    auto order = parseEngineOrder(body);
    if (!order)
        return errorResponse(makeError(ErrorKind::BadJson, order.error().detail));
    auto result = m_simulator->order(*order);
    m_simulator->record({ { "kind", "order" }, { "order", toJson(*order) }, { "accepted", result.has_value() } });
    if (!result)
        return jsonResponse(409, { { "error", "stale_authority" } });
    return jsonResponse(200, toJson(m_simulator->state()));
}

HttpResponse EngineApi::handleFaults(const HttpRequest& request)
{
    try {
        json merged = m_simulator->faults();
        merged.update(json::parse(request.body.empty() ? "{}" : request.body));
        m_simulator->faults() = merged.get<EngineFaults>();
        return jsonResponse(200, merged);
    } catch (const json::exception& exception) {
        return errorResponse(makeError(ErrorKind::BadJson, exception.what()));
    }
}

HttpResponse EngineApi::handlePlain(const HttpRequest& request)
{
    auto path = request.path();
    if (path == "/load")
        return jsonResponse(200, toJson(m_simulator->load()));
    if (path == "/cache_events")
        return jsonResponse(200, m_simulator->cacheEvents(std::strtoull(request.queryValue("after").c_str(), nullptr, 10)));
    if (path == "/admin/order" && request.method == "POST")
        return handleOrder(request.body);
    if (path == "/admin/state")
        return jsonResponse(200, toJson(m_simulator->state()));
    if (path == "/control/faults")
        return handleFaults(request);
    if (path == "/control/log")
        return jsonResponse(200, m_simulator->log());
    if (path.starts_with(cancelPath) && request.method == "POST") {
        RequestId id(std::string(path.substr(cancelPath.size())));
        bool isFound = m_simulator->cancel(id);
        m_simulator->record({ { "kind", "cancel" }, { "request", id.value() }, { "found", isFound } });
        return jsonResponse(isFound ? 200 : 404, { { "cancelled", isFound } });
    }
    return errorResponse(makeError(ErrorKind::NotFound, "no such path"));
}

} // namespace chestnut
