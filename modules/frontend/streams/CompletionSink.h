#pragma once

#include "backends/engines/EngineClient.h"
#include "frontend/streams/StreamStore.h"
#include "http/server/HttpServer.h"

namespace chestnut {

/** Where a completion's tokens go. */
class CompletionSink {
public:
    virtual ~CompletionSink() = default;

    /** Takes the next token. Fails with CallerGone. */
    virtual asio::awaitable<Result<void>> token(const StreamRecord&, uint64_t index, std::string chunk) = 0;
    /** The last token was taken. */
    virtual asio::awaitable<Result<void>> done(const StreamRecord&) = 0;
    virtual asio::awaitable<void> fail(const Error&) = 0;
};

/** Writes tokens as server-sent events as they come. A failure after the first token is an event with the error body,
    and no `[DONE]` follows it. */
class SseCompletionSink final : public CompletionSink {
public:
    SseCompletionSink(HttpResponseWriter&, RequestId);

    asio::awaitable<Result<void>> token(const StreamRecord&, uint64_t index, std::string chunk) override;
    asio::awaitable<Result<void>> done(const StreamRecord&) override;
    asio::awaitable<void> fail(const Error&) override;

private:
    asio::awaitable<Result<void>> begin();

    HttpResponseWriter& m_writer;
    RequestId m_request;
};

/** Sends the whole answer at its end; until then nothing is sent, so a failure has its own status. */
class BufferedCompletionSink final : public CompletionSink {
public:
    BufferedCompletionSink(HttpResponseWriter&, RequestId);

    asio::awaitable<Result<void>> token(const StreamRecord&, uint64_t index, std::string chunk) override;
    asio::awaitable<Result<void>> done(const StreamRecord&) override;
    asio::awaitable<void> fail(const Error&) override;

private:
    HttpResponseWriter& m_writer;
    RequestId m_request;
};

} // namespace chestnut
