#include "LoadCaller.h"

#include "backends/engines/CompletionBody.h"
#include "common/StandinText.h"
#include "http/sse/SseParser.h"

#include <algorithm>
#include <charconv>

namespace chestnut {

using nlohmann::json;

namespace {

    constexpr Duration connectTimeout = std::chrono::milliseconds(500);
    /** Delay before the next address is tried after a broken connection. */
    constexpr Duration failoverDelay = std::chrono::milliseconds(50);
    /** How long a caller waits after its deadline for the response that reports the timeout. */
    constexpr Duration responseMargin = std::chrono::seconds(5);

    std::string expectedText(const PlannedRequest& request)
    {
        std::string text;
        auto count = standinTokenCount(request.prompt, request.maximumTokens);
        for (uint64_t i = 1; i <= count; ++i)
            text += standinToken(request.prompt, i);
        return text;
    }

    uint64_t indexOf(const std::string& eventId)
    {
        auto text = std::string_view(eventId).substr(eventId.rfind('/') + 1);
        uint64_t index = 0;
        std::from_chars(text.data(), text.data() + text.size(), index);
        return index;
    }

} // namespace

LoadCaller::LoadCaller(HttpClient& client, AsioTimerService& timers, EntryPointCache& entryPoints, CallerSettings settings, uint64_t nonce)
    : m_client(client)
    , m_timers(timers)
    , m_entryPoints(entryPoints)
    , m_settings(std::move(settings))
    , m_nonce(nonce)
{
}

std::string LoadCaller::makeIdempotencyKey(const std::string& prefix)
{
    auto key = std::to_string(m_timers.wallClock().count()) + "-" + std::to_string(m_nonce) + "x" + std::to_string(m_lastRequest);
    bool isDaemonKey = m_settings.keyKind == "daemon" || (m_settings.keyKind == "mixed" && m_lastRequest % 2 == 0);
    return isDaemonKey && !prefix.empty() ? prefix + "." + key : key;
}

asio::awaitable<LoadResult> LoadCaller::run(PlannedRequest request)
{
    Progress progress;
    progress.result.name = request.name;
    progress.startedAt = m_timers.now();
    progress.requestId = "load-" + std::to_string(m_nonce) + "-" + std::to_string(++m_lastRequest);
    auto deadline = progress.startedAt + request.timeout;
    for (uint32_t attempts = 0; attempts < m_settings.maximumAttempts && !progress.isFinished; ++attempts) {
        if (attempts > 0) {
            ++progress.result.retries;
            co_await m_timers.sleep(std::max(progress.retryAfter, failoverDelay));
        }
        if (m_timers.now() >= deadline)
            break;
        auto entryPoints = co_await m_entryPoints.lookUp(request.account);
        if (request.kind == LoadKind::ServiceWrite && progress.key.empty())
            progress.key = makeIdempotencyKey(entryPoints.keyPrefix);
        co_await attempt(request, progress, entryPoints.addresses[attempts % entryPoints.addresses.size()]);
    }
    progress.result.total = m_timers.now() - progress.startedAt;
    co_return std::move(progress.result);
}

asio::awaitable<void> LoadCaller::attempt(const PlannedRequest& request, Progress& progress, Endpoint endpoint)
{
    progress.retryAfter = {};
    if (request.kind == LoadKind::Completion && request.isStreamed)
        co_await stream(request, progress, endpoint);
    else
        co_await exchange(request, progress, endpoint);
}

HttpRequest LoadCaller::requestFor(const PlannedRequest& request, const Progress& progress) const
{
    auto remaining = std::max<Duration>(request.timeout - (m_timers.now() - progress.startedAt), std::chrono::milliseconds(1));
    HttpHeaders headers {
        { "X-Account", request.account },
        { "X-Priority-Class", request.priorityClass == PriorityClass::Live ? "live" : "batch" },
        { "X-Request-Timeout", std::to_string(std::chrono::ceil<std::chrono::milliseconds>(remaining).count()) },
        { "X-Request-Id", progress.requestId },
        { "Content-Type", "application/json" },
    };
    if (request.kind == LoadKind::Completion) {
        if (!progress.lastEventId.empty()) {
            auto slash = progress.lastEventId.rfind('/');
            return { "GET", "/v1/streams/" + progress.lastEventId.substr(0, slash) + "?after=" + progress.lastEventId.substr(slash + 1), headers, "" };
        }
        json body { { "model", m_settings.model }, { "prompt", request.prompt }, { "max_tokens", request.maximumTokens }, { "stream", request.isStreamed } };
        return { "POST", "/v1/completions", headers, body.dump() };
    }
    if (request.kind == LoadKind::ServiceWrite)
        headers.set("Idempotency-Key", progress.key);
    return { request.kind == LoadKind::ServiceWrite ? "POST" : "GET", "/services/" + request.service + request.serviceTarget, headers, request.serviceBody };
}

HttpTimeouts LoadCaller::timeoutsFor(const PlannedRequest& request, const Progress& progress) const
{
    HttpTimeouts timeouts;
    timeouts.connect = connectTimeout;
    timeouts.read = request.timeout - (m_timers.now() - progress.startedAt) + responseMargin;
    return timeouts;
}

asio::awaitable<void> LoadCaller::exchange(const PlannedRequest& request, Progress& progress, Endpoint endpoint)
{
    constexpr size_t maximumResponseBody = 64 << 20;
    auto response = co_await m_client.exchange(endpoint, requestFor(request, progress), timeoutsFor(request, progress), maximumResponseBody);
    if (response)
        handleResponse(request, progress, *response);
    else
        handleDisconnect(progress, response.error());
}

asio::awaitable<void> LoadCaller::stream(const PlannedRequest& request, Progress& progress, Endpoint endpoint)
{
    bool isResumption = !progress.lastEventId.empty();
    auto body = co_await m_client.open(endpoint, requestFor(request, progress), timeoutsFor(request, progress));
    if (!body) {
        handleDisconnect(progress, body.error());
        co_return;
    }
    if (isResumption)
        ++progress.result.resumptions;
    if ((*body)->status() == 200) {
        co_await readEvents(request, progress, **body);
        co_return;
    }
    std::string text;
    while (true) {
        auto bytes = co_await (*body)->read();
        if (!bytes || !*bytes)
            break;
        text += **bytes;
    }
    handleError(progress, text, (*body)->headers().value("Retry-After"));
}

asio::awaitable<void> LoadCaller::readEvents(const PlannedRequest& request, Progress& progress, HttpBodyStream& body)
{
    if (body.headers().value("X-Request-Id") != progress.requestId) {
        markWrong(progress, "the response has the request id " + std::string(body.headers().value("X-Request-Id")));
        co_return;
    }
    SseParser parser;
    while (!progress.isFinished) {
        auto bytes = co_await body.read();
        if (!bytes || !*bytes) {
            handleDisconnect(progress, bytes ? makeError(ErrorKind::BackendFailed, "the stream ended without [DONE]") : bytes.error());
            co_return;
        }
        parser.append(**bytes);
        while (auto event = progress.isFinished ? std::nullopt : parser.next()) {
            if (event->data == "[DONE]")
                handleEnd(request, progress);
            else if (event->id.empty())
                handleError(progress, event->data, {});
            else
                handleToken(request, progress, event->id, event->data);
            // An error event ends the stream, whether or not the request is retried.
            if (event->data != "[DONE]" && event->id.empty())
                co_return;
        }
    }
}

void LoadCaller::handleToken(const PlannedRequest& request, Progress& progress, const std::string& eventId, const std::string& data)
{
    auto chunk = parseCompletionChunk(data);
    auto index = indexOf(eventId);
    if (chunk && index <= progress.tokens) {
        ++progress.result.duplicateTokens;
        return;
    }
    if (!chunk || index != progress.tokens + 1 || chunk->text != standinToken(request.prompt, index) || chunk->id != progress.requestId) {
        markWrong(progress, "event " + eventId + " is not the next token of " + progress.requestId + ": " + data);
        return;
    }
    auto now = m_timers.now();
    if (progress.tokens == 0)
        progress.result.firstToken.push_back(now - progress.startedAt);
    else
        progress.result.tokenGaps.push_back(now - progress.lastTokenAt);
    progress.lastTokenAt = now;
    progress.tokens = index;
    progress.lastEventId = eventId;
}

void LoadCaller::handleEnd(const PlannedRequest& request, Progress& progress)
{
    if (progress.tokens != standinTokenCount(request.prompt, request.maximumTokens)) {
        markWrong(progress, "the response ended after " + std::to_string(progress.tokens) + " tokens");
        return;
    }
    progress.result.end = LoadResult::End::Completed;
    progress.isFinished = true;
}

void LoadCaller::handleResponse(const PlannedRequest& request, Progress& progress, const HttpResponse& response)
{
    if (response.status != 200) {
        handleError(progress, response.body, response.headers.value("Retry-After"));
        return;
    }
    // The response recorded for a retried key belongs to the first attempt, but carries the id of the current request.
    if (response.headers.value("X-Request-Id") != progress.requestId) {
        markWrong(progress, "the response has the id of another request");
        return;
    }
    bool isExpected = false;
    if (request.kind == LoadKind::Completion) {
        auto document = json::parse(response.body, nullptr, false);
        isExpected = document.is_object() && document.contains("choices") && document["choices"][0].value("text", "") == expectedText(request);
    } else
        isExpected = response.body == standinServiceResponse(request.serviceTarget, request.serviceBody);
    if (!isExpected) {
        markWrong(progress, "unexpected response body: " + response.body.substr(0, 200));
        return;
    }
    progress.result.end = LoadResult::End::Completed;
    progress.isFinished = true;
}

void LoadCaller::handleError(Progress& progress, const std::string& body, std::string_view retryAfter)
{
    auto document = json::parse(body, nullptr, false);
    if (!document.is_object() || !document.contains("error") || !document["error"].is_object()) {
        markWrong(progress, "error response without kind and outcome: " + body.substr(0, 200));
        return;
    }
    const auto& error = document["error"];
    progress.result.end = LoadResult::End::Refused;
    progress.result.kind = error.value("kind", "");
    progress.result.outcome = error.value("outcome", "");
    bool isNotRun = progress.result.outcome == "not_run";
    bool isRetryable = isNotRun && (!retryAfter.empty() || !progress.lastEventId.empty());
    // "Not run" holds for this attempt only; an earlier one that ended without a response may have run.
    if (isNotRun && progress.mayHaveRun && !progress.key.empty())
        progress.result.outcome = "unknown";
    int64_t seconds = 0;
    std::from_chars(retryAfter.data(), retryAfter.data() + retryAfter.size(), seconds);
    progress.retryAfter = std::chrono::seconds(seconds);
    progress.isFinished = !isRetryable;
}

void LoadCaller::handleDisconnect(Progress& progress, const Error& error)
{
    progress.result.end = LoadResult::End::Interrupted;
    progress.result.detail = error.detail;
    progress.mayHaveRun = progress.mayHaveRun || error.kind != ErrorKind::ConnectFailed;
}

void LoadCaller::markWrong(Progress& progress, std::string detail)
{
    progress.result.end = LoadResult::End::Wrong;
    progress.result.detail = std::move(detail);
    progress.isFinished = true;
}

} // namespace chestnut
