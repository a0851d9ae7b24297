#pragma once

#include "backends/engines/EngineClient.h"
#include "frontend/streams/HeldStreams.h"
#include "http/server/HttpServer.h"

namespace chestnut {

/** Where a completion's tokens go. */
class CompletionSink {
public:
    virtual ~CompletionSink() = default;

    /** Takes the next token. Fails with CallerGone. */
    virtual asio::awaitable<Result<void>> token(const HeldStream&, uint64_t index, std::string chunk) = 0;
    /** The last token was taken. */
    virtual asio::awaitable<Result<void>> done(const HeldStream&) = 0;
    virtual asio::awaitable<void> fail(const Error&) = 0;
};

/** Writes tokens as server-sent events as they come. A failure after the first token is an event with the error body,
    and no `[DONE]` follows it. */
class StreamRelay final : public CompletionSink {
public:
    StreamRelay(HttpResponseWriter&, RequestId);

    asio::awaitable<Result<void>> token(const HeldStream&, uint64_t index, std::string chunk) override;
    asio::awaitable<Result<void>> done(const HeldStream&) override;
    asio::awaitable<void> fail(const Error&) override;

private:
    asio::awaitable<Result<void>> begin();

    HttpResponseWriter& m_writer;
    RequestId m_request;
};

/** Sends the whole answer at its end; until then nothing is sent, so a failure has its own status. */
class WholeAnswer final : public CompletionSink {
public:
    WholeAnswer(HttpResponseWriter&, RequestId);

    asio::awaitable<Result<void>> token(const HeldStream&, uint64_t index, std::string chunk) override;
    asio::awaitable<Result<void>> done(const HeldStream&) override;
    asio::awaitable<void> fail(const Error&) override;

private:
    HttpResponseWriter& m_writer;
    RequestId m_request;
};

} // namespace chestnut
