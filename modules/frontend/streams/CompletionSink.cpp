#include "frontend/streams/CompletionSink.h"

#include "http/sse/SseParser.h"

#include <nlohmann/json.hpp>

namespace chestnut {

using nlohmann::json;

namespace {

    /** The engine's chunk with the caller's request id in place of the attempt's. */
    std::string chunkFor(const RequestId& request, const std::string& chunk)
    {
        auto document = json::parse(chunk, nullptr, false);
        if (!document.is_object())
            return chunk;
        document["id"] = request.value();
        return document.dump(-1, ' ', false, json::error_handler_t::replace);
    }

    json choiceOf(const StreamRecord& stream)
    {
        json choice { { "index", 0 }, { "finish_reason", stream.finishReason } };
        auto text = stream.textThrough(stream.lastIndex());
        if (stream.isChat)
            choice["message"] = { { "role", "assistant" }, { "content", text } };
        else
            choice["text"] = text;
        return choice;
    }

} // namespace

SseCompletionSink::SseCompletionSink(HttpResponseWriter& writer, RequestId request)
    : m_writer(writer)
    , m_request(std::move(request))
{
}

asio::awaitable<Result<void>> SseCompletionSink::begin()
{
    if (m_writer.hasBegun())
        co_return Result<void>();
    HttpHeaders headers { { "Content-Type", "text/event-stream" }, { "Cache-Control", "no-store" }, { "X-Request-Id", m_request.value() } };
    co_return co_await m_writer.begin(200, std::move(headers));
}

asio::awaitable<Result<void>> SseCompletionSink::token(const StreamRecord& stream, uint64_t index, std::string chunk)
{
    auto event = formatSse({ stream.streamId + "/" + std::to_string(index), chunkFor(m_request, chunk) });
    if (auto begun = co_await begin(); !begun)
        co_return begun;
    co_return co_await m_writer.write(std::move(event));
}

asio::awaitable<Result<void>> SseCompletionSink::done(const StreamRecord&)
{
    if (auto begun = co_await begin(); !begun)
        co_return begun;
    if (auto written = co_await m_writer.write(formatSse({ "", "[DONE]" })); !written)
        co_return written;
    co_return co_await m_writer.finish();
}

asio::awaitable<void> SseCompletionSink::fail(const Error& error)
{
    if (!m_writer.hasBegun()) {
        co_await m_writer.send(errorResponse(error, m_request));
        co_return;
    }
    if (co_await m_writer.write(formatSse({ "", errorBody(error, m_request) })))
        co_await m_writer.finish();
}

BufferedCompletionSink::BufferedCompletionSink(HttpResponseWriter& writer, RequestId request)
    : m_writer(writer)
    , m_request(std::move(request))
{
}

asio::awaitable<Result<void>> BufferedCompletionSink::token(const StreamRecord&, uint64_t, std::string)
{
    co_return Result<void>();
}

asio::awaitable<Result<void>> BufferedCompletionSink::done(const StreamRecord& stream)
{
    json document {
        { "id", m_request.value() },
        { "object", stream.isChat ? "chat.completion" : "text_completion" },
        { "model", stream.model.value() },
        { "choices", json::array({ choiceOf(stream) }) },
        { "usage", { { "prompt_tokens", static_cast<uint64_t>(stream.promptTokens) }, { "completion_tokens", stream.tokens.size() } } },
    };
    HttpHeaders headers { { "Content-Type", "application/json" }, { "X-Request-Id", m_request.value() } };
    co_return co_await m_writer.send({ 200, std::move(headers), document.dump(-1, ' ', false, json::error_handler_t::replace) });
}

asio::awaitable<void> BufferedCompletionSink::fail(const Error& error)
{
    co_await m_writer.send(errorResponse(error, m_request));
}

} // namespace chestnut
