#pragma once

#include "base/errors/Result.h"
#include "base/time/TimePoint.h"
#include "http/message/HttpMessage.h"
#include "http/server/ByteBudget.h"
#include "kernel/logging/Log.h"
#include "kernel/registry/Service.h"
#include "kernel/settings/SettingsReader.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

namespace chestnut {

/** Limits that protect a listener against slow clients, oversized requests and too many connections. */
struct HttpServerLimits {
    size_t maximumHeader = 16 << 10; /**< bytes */
    size_t maximumBody = 4 << 20; /**< bytes */
    size_t maximumConnections = 4096;
    Duration headerTimeout = std::chrono::seconds(10); /**< from the first byte of a request */
    Duration idleTimeout {}; /**< added to headerTimeout to limit the wait for the first byte of a request */
    Duration bodyTimeout = std::chrono::seconds(30);
    Duration writeTimeout = std::chrono::seconds(30);
    /** Of all chunked responses whose clients read slowly. Their chunks are written in the background, up to 256 KB of each response.
        Null: each chunk waits until the client has taken it. */
    std::shared_ptr<ByteBudget> responseBuffers;
};

/** Writes the response to one request, whole or in chunks. Write errors are reported as CallerGone. Starting a second response
    closes the connection and fails with Internal. */
class HttpResponseWriter {
public:
    virtual ~HttpResponseWriter() = default;

    virtual asio::awaitable<Result<void>> send(HttpResponse) = 0;

    /** Starts a chunked response by sending its header. */
    virtual asio::awaitable<Result<void>> begin(int status, HttpHeaders) = 0;
    virtual asio::awaitable<Result<void>> write(std::string chunk) = 0;
    virtual asio::awaitable<Result<void>> finish() = 0;

    /** Closes the connection before the end of the response, so that the caller detects that it is incomplete. */
    virtual void abort() = 0;

    /** Sets a callback that is called, at most once, when the caller closes the connection while the handler runs. */
    virtual void onCallerDisconnect(std::function<void()>) = 0;

    /** Whether the caller has closed the connection, which may be known before the callback is called. */
    virtual bool isCallerDisconnected() const = 0;

    virtual bool hasBegun() const = 0;
};

using HttpHandler = std::function<asio::awaitable<void>(HttpRequest, HttpResponseWriter&)>;

/** Makes the response to a request that is malformed or oversized, or whose handler has thrown an exception. */
using HttpErrorResponder = std::function<HttpResponse(const Error&)>;

/** An HTTP/1.1 listener with keep-alive. */
class HttpServer {
public:
    /** Binds the address. Throws boost::system::system_error when the address cannot be bound. */
    HttpServer(asio::io_context&, Log&, Endpoint, HttpServerLimits, HttpHandler, HttpErrorResponder);
    ~HttpServer();

    /** The bound endpoint, with the port that the system chose if port 0 was given. */
    Endpoint endpoint() const;

    void start();

    /** Stops accepting connections, except those that are already queued, and closes the idle ones. Those on which bytes of a
        request have arrived are closed after its response. */
    void stopAccepting();

    /** Closes each connection after the next response that begins, which carries `Connection: close`. */
    void closeAfterResponses();

    /** Tells the callers whose response has not begun, without waiting, that the outcome of their request is unknown, and cuts
        off the other responses. The process must exit afterwards. */
    void endResponses();

    /** Takes effect from the next request of each connection. A longer idle time also applies to connections that wait. */
    void setLimits(HttpServerLimits);

    size_t openConnections() const;

    struct State;

private:
    std::shared_ptr<State> m_state;
};

} // namespace chestnut
