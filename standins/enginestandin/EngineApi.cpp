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
    /** How long an answer to be crossed waits for a second request. */
    constexpr auto crossingWait = std::chrono::seconds(1);

    HttpResponse errorResponse(const Error& error)
    {
        const auto& answer = describe(error.kind);
        return jsonResponse(answer.status, { { "error", { { "kind", answer.name }, { "outcome", nameOf(answer.outcome) }, { "message", error.detail } } } });
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
        co_await writer.send(answerPlain(request));
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
    auto shown = *job;
    if (m_simulator->faults().crossedAnswers > 0)
        shown = co_await cross(shown);
    if (auto late = m_simulator->faults().lateAnswerMs; late > 0)
        co_await m_simulator->timers().sleep(std::chrono::milliseconds(late));
    co_await relay(shown, after, writer);
}

asio::awaitable<std::shared_ptr<EngineJob>> EngineApi::cross(std::shared_ptr<EngineJob> job)
{
    if (auto first = std::exchange(m_crossing, nullptr)) {
        --m_simulator->faults().crossedAnswers;
        first->partner = job;
        first->arrived.cancel();
        co_return first->job;
    }
    auto mine = std::make_shared<Crossing>(m_context);
    mine->job = job;
    mine->arrived.expires_after(crossingWait);
    m_crossing = mine;
    co_await waitFor(mine->arrived);
    if (m_crossing == mine)
        m_crossing = nullptr;
    co_return mine->partner ? mine->partner : job;
}

asio::awaitable<void> EngineApi::resume(HttpRequest request, HttpResponseWriter& writer)
{
    RequestId id(std::string(request.path().substr(streamsPath.size())));
    auto after = std::strtoull(request.queryValue("after").c_str(), nullptr, 10);
    auto job = m_simulator->find(id);
    m_simulator->record({ { "kind", "resume" }, { "request", id.value() }, { "after", after }, { "found", job != nullptr } });
    if (!job || job->isCut || after < job->body.resumeAfter) {
        co_await writer.send(errorResponse(makeError(ErrorKind::NotFound, "no such stream")));
        co_return;
    }
    co_await relay(job, after, writer);
}

asio::awaitable<void> EngineApi::relay(std::shared_ptr<EngineJob> job, uint64_t after, HttpResponseWriter& writer)
{
    auto model = m_simulator->state().order.model;
    HttpHeaders headers { { "Content-Type", "text/event-stream" }, { "X-Request-Id", job->id.value() } };
    bool isConnected = (co_await writer.begin(200, headers)).has_value();
    auto next = after + 1;
    while (isConnected && next <= job->totalTokens) {
        if (next > job->producedTokens) {
            if (job->isCut)
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

HttpResponse EngineApi::answerOrder(const std::string& body)
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

HttpResponse EngineApi::answerFaults(const HttpRequest& request)
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

HttpResponse EngineApi::answerPlain(const HttpRequest& request)
{
    auto path = request.path();
    if (path == "/load")
        return jsonResponse(200, toJson(m_simulator->load()));
    if (path == "/cache_events")
        return jsonResponse(200, m_simulator->cacheEvents(std::strtoull(request.queryValue("after").c_str(), nullptr, 10)));
    if (path == "/admin/order" && request.method == "POST")
        return answerOrder(request.body);
    if (path == "/admin/state")
        return jsonResponse(200, toJson(m_simulator->state()));
    if (path == "/control/faults")
        return answerFaults(request);
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
