#pragma once

#include "backends/engines/EngineClient.h"
#include "frontend/streams/StreamStore.h"
#include "http/server/HttpServer.h"

namespace chestnut {

/** Receives a completion's tokens and sends them to the caller. */
class CompletionSink {
public:
    virtual ~CompletionSink() = default;

    /** Accepts the next token. Fails with CallerGone. */
    virtual asio::awaitable<Result<void>> token(const StreamRecord&, uint64_t index, std::string chunk) = 0;
    /** Ends the response after the last token. */
    virtual asio::awaitable<Result<void>> done(const StreamRecord&) = 0;
    virtual asio::awaitable<void> fail(const Error&) = 0;
};

/** Writes each token as a server-sent event immediately. A failure after the first token is sent as an event with the error
    body, and no `[DONE]` follows it. */
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

/** Sends the complete response at its end. Nothing is sent before, so a failure is reported by its own status. */
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
