#include "backends/engines/HttpEngineClient.h"

#include "backends/engines/CompletionBody.h"
#include "backends/engines/EngineMessages.h"
#include "http/sse/SseParser.h"

#include <charconv>

namespace chestnut {

namespace {

    constexpr std::string_view requestIdHeader = "X-Request-Id";
    /** Timeout of the short control calls: load, cache events, state and cancel. */
    constexpr Duration controlTimeout = std::chrono::seconds(2);
    /** Longest time between two tokens of a resumed stream. */
    constexpr Duration resumeTimeout = std::chrono::seconds(30);

    std::optional<uint64_t> parseIndex(std::string_view text)
    {
        uint64_t index = 0;
        auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), index);
        if (error != std::errc() || end != text.data() + text.size())
            return std::nullopt;
        return index;
    }

    ErrorKind errorKindOfStatus(int status)
    {
        switch (status) {
        case 400:
            return ErrorKind::BadRequest;
        case 404:
            return ErrorKind::NotFound;
        case 413:
            return ErrorKind::BodyTooLarge;
        case 429:
        case 503:
            return ErrorKind::Overloaded;
        default:
            return ErrorKind::BackendFailed;
        }
    }

    class HttpCompletionStream final : public CompletionStream {
    public:
        /** Waits for each event for at most `timeout`, however often bytes arrive. */
        HttpCompletionStream(std::unique_ptr<HttpBodyStream> body, RequestId request, uint64_t afterToken, Duration timeout)
            : m_body(std::move(body))
            , m_request(std::move(request))
            , m_lastIndex(afterToken)
            , m_timeout(timeout)
        {
        }

        asio::awaitable<Result<std::optional<TokenEvent>>> next() override
        {
            auto deadline = std::chrono::steady_clock::now() + m_timeout;
            while (true) {
                if (auto event = m_parser.next())
                    co_return tokenOf(std::move(*event));
                if (m_parser.hasFailed())
                    co_return makeError(ErrorKind::ProtocolError, "the engine sent an event that is too long");
                if (std::chrono::steady_clock::now() >= deadline)
                    co_return makeError(ErrorKind::DeadlineExceeded, "the engine sent bytes without an event");
                auto bytes = co_await m_body->read();
                if (!bytes)
                    co_return bytes.error();
                if (!*bytes)
                    co_return makeError(ErrorKind::BackendFailed, "the engine ended the stream before [DONE]");
                m_parser.append(**bytes);
            }
        }

    private:
        Result<std::optional<TokenEvent>> tokenOf(SseEvent event)
        {
            if (event.data == "[DONE]") {
                if (!m_hasLast)
                    return makeError(ErrorKind::BackendFailed, "the engine ended the stream before its last token");
                return std::optional<TokenEvent>();
            }
            auto chunk = parseCompletionChunk(event.data);
            if (!chunk)
                return chunk.error();
            if (chunk->id != m_request.value())
                return makeError(ErrorKind::ProtocolError, "the engine sent a token of request " + chunk->id);
            auto index = parseIndex(event.id);
            if (index != m_lastIndex + 1)
                return makeError(ErrorKind::ProtocolError, "token " + event.id + " does not follow token " + std::to_string(m_lastIndex));
            m_lastIndex = *index;
            m_hasLast = !chunk->finishReason.empty();
            return std::optional<TokenEvent>(TokenEvent { *index, std::move(event.data), m_hasLast });
        }

        std::unique_ptr<HttpBodyStream> m_body;
        RequestId m_request;
        uint64_t m_lastIndex;
        Duration m_timeout;
        bool m_hasLast = false;
        SseParser m_parser;
    };

    asio::awaitable<Result<std::unique_ptr<CompletionStream>>> openStream(HttpClient& client, Endpoint endpoint, HttpRequest request, RequestId id, uint64_t afterToken, Duration timeout)
    {
        HttpTimeouts timeouts;
        timeouts.read = timeout;
        auto body = co_await client.open(endpoint, std::move(request), timeouts);
        if (!body)
            co_return body.error();
        auto status = (*body)->status();
        auto responseId = (*body)->headers().value(requestIdHeader);
        // A refusal need not have an id, but that of another request says nothing about this one.
        if (status != 200 && (responseId.empty() || responseId == id.value()))
            co_return makeError(errorKindOfStatus(status), "the engine responded with status " + std::to_string(status));
        if (responseId != id.value())
            co_return makeError(ErrorKind::ProtocolError, "the engine sent the response to request " + std::string(responseId) + " instead of " + id.value());
        co_return std::unique_ptr<CompletionStream>(std::make_unique<HttpCompletionStream>(std::move(*body), std::move(id), afterToken, timeout));
    }

    asio::awaitable<Result<std::string>> fetch(HttpClient& client, Endpoint endpoint, std::string target)
    {
        HttpTimeouts timeouts;
        timeouts.read = controlTimeout;
        timeouts.body = controlTimeout;
        HttpRequest request;
        request.target = std::move(target);
        auto response = co_await client.exchange(endpoint, std::move(request), timeouts);
        if (!response)
            co_return response.error();
        if (response->status != 200)
            co_return makeError(errorKindOfStatus(response->status), "the engine responded with status " + std::to_string(response->status));
        co_return std::move(response->body);
    }

    Result<void> resultOfOrder(const Result<HttpResponse>& response)
    {
        if (!response) {
            if (response.error().kind == ErrorKind::ConnectFailed)
                return response.error();
            return makeError(ErrorKind::OutcomeUnknown, response.error().detail);
        }
        if (response->status == 409)
            return makeError(ErrorKind::StaleAuthority, response->body);
        if (response->status != 200)
            return makeError(errorKindOfStatus(response->status), "the engine responded to an order with status " + std::to_string(response->status));
        return Result<void>();
    }

} // namespace

HttpEngineClient::HttpEngineClient(HttpClient& client)
    : m_client(client)
{
}

asio::awaitable<Result<std::unique_ptr<CompletionStream>>> HttpEngineClient::complete(Endpoint endpoint, CompletionCall call)
{
    HttpRequest request { "POST", call.target, {}, std::move(call.body) };
    request.headers.set("Content-Type", "application/json");
    request.headers.set(requestIdHeader, call.request.value());
    request.headers.set("X-Stream-Id", call.request.value());
    request.headers.set("X-Priority", std::to_string(call.priority));
    uint64_t afterToken = 0;
    if (auto body = parseCompletionBody(request.body))
        afterToken = body->resumeAfter;
    return openStream(m_client, std::move(endpoint), std::move(request), std::move(call.request), afterToken, call.timeout);
}

asio::awaitable<Result<std::unique_ptr<CompletionStream>>> HttpEngineClient::resume(Endpoint endpoint, RequestId id, uint64_t afterToken)
{
    HttpRequest request;
    request.target = "/v1/streams/" + id.value() + "?after=" + std::to_string(afterToken);
    request.headers.set(requestIdHeader, id.value());
    return openStream(m_client, std::move(endpoint), std::move(request), std::move(id), afterToken, resumeTimeout);
}

asio::awaitable<Result<void>> HttpEngineClient::cancel(Endpoint endpoint, RequestId id)
{
    HttpTimeouts timeouts;
    timeouts.read = controlTimeout;
    timeouts.body = controlTimeout;
    auto response = co_await m_client.exchange(endpoint, { "POST", "/v1/cancel/" + id.value(), {}, "" }, timeouts);
    if (!response)
        co_return response.error();
    if (response->status != 200)
        co_return makeError(errorKindOfStatus(response->status), "the engine responded to a cancel with status " + std::to_string(response->status));
    co_return Result<void>();
}

asio::awaitable<Result<EngineLoad>> HttpEngineClient::load(Endpoint endpoint)
{
    auto text = co_await fetch(m_client, endpoint, "/load");
    if (!text)
        co_return text.error();
    co_return parseEngineLoad(*text);
}

asio::awaitable<Result<std::vector<CacheEvent>>> HttpEngineClient::cacheEvents(Endpoint endpoint, uint64_t afterSequence)
{
    auto text = co_await fetch(m_client, endpoint, "/cache_events?after=" + std::to_string(afterSequence));
    if (!text)
        co_return text.error();
    co_return parseCacheEvents(*text);
}

asio::awaitable<Result<void>> HttpEngineClient::order(Endpoint endpoint, EngineOrder order, Duration timeout)
{
    HttpTimeouts timeouts;
    timeouts.connect = std::min(timeouts.connect, timeout);
    timeouts.read = timeout;
    timeouts.body = timeout;
    HttpRequest request { "POST", "/admin/order", {}, toJson(order).dump() };
    request.headers.set("Content-Type", "application/json");
    auto response = co_await m_client.exchange(endpoint, std::move(request), timeouts);
    co_return resultOfOrder(response);
}

asio::awaitable<Result<EngineState>> HttpEngineClient::state(Endpoint endpoint)
{
    auto text = co_await fetch(m_client, endpoint, "/admin/state");
    if (!text)
        co_return text.error();
    co_return parseEngineState(*text);
}

} // namespace chestnut
