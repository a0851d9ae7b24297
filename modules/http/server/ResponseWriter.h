#pragma once

#include "http/server/DisconnectWatcher.h"
#include "http/server/OutputBuffer.h"
#include "http/server/ServerState.h"

namespace chestnut {

/* Included only by the source files of this module. */

/** Writes the response to one request on a connection. */
class ResponseWriter final : public HttpResponseWriter {
public:
    ResponseWriter(beast::tcp_stream&, std::shared_ptr<DisconnectWatcher>, ServerState, bool requestKeepsAlive, bool isHead);
    ResponseWriter(const ResponseWriter&) = delete;
    ResponseWriter& operator=(const ResponseWriter&) = delete;
    ~ResponseWriter() override;

    asio::awaitable<Result<void>> send(HttpResponse) override;
    asio::awaitable<Result<void>> begin(int status, HttpHeaders) override;
    asio::awaitable<Result<void>> write(std::string chunk) override;
    asio::awaitable<Result<void>> finish() override;
    void abort() override;
    void onCallerDisconnect(std::function<void()> callback) override { m_watcher->arm(std::move(callback)); }
    bool isCallerDisconnected() const override { return m_watcher->isClosed(); }
    bool hasBegun() const override { return m_hasBegun; }

    /** Ends the write in progress of a response that is not finished. The connection must not be closed before. */
    asio::awaitable<void> stopWriting();

    /** Ends the response without waiting, with this one if none has begun. */
    void endNow(HttpResponse);

    bool isFinished() const { return m_isFinished; }

    /** Whether the response has announced that the connection stays open for another request. */
    bool keepsAlive() const { return m_keepsAlive; }

private:
    BeastResponse makeMessage(HttpResponse);
    bool decideKeepAlive();
    /** A second header would become a part of the first response, so the connection is closed instead. */
    Result<void> abandonBegunResponse();

    beast::tcp_stream& m_stream;
    std::shared_ptr<DisconnectWatcher> m_watcher;
    ServerState m_state;
    Duration m_writeTimeout;
    std::shared_ptr<OutputBuffer> m_output; /**< null: chunks are written at once */
    bool m_requestKeepsAlive;
    bool m_keepsAlive = false;
    bool m_isHead;
    bool m_hasBegun = false;
    bool m_isFinished = false;
};

} // namespace chestnut
