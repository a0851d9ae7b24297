#pragma once

#include "base/errors/Result.h"
#include "base/time/TimePoint.h"
#include "http/message/HttpMessage.h"
#include "kernel/logging/Log.h"
#include "kernel/registry/Service.h"
#include "kernel/settings/SettingsReader.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

namespace chestnut {

/** Limits that protect one listener against slow, oversized or excess connections. */
struct HttpServerLimits {
    size_t maximumHeader = 16 << 10; /**< bytes */
    size_t maximumBody = 4 << 20; /**< bytes */
    size_t maximumConnections = 4096;
    Duration headerTimeout = std::chrono::seconds(10); /**< also bounds an idle keep-alive connection unless idleTimeout is set */
    Duration idleTimeout {}; /**< of a kept connection before its next request; zero: headerTimeout alone */
    Duration bodyTimeout = std::chrono::seconds(30);
    Duration writeTimeout = std::chrono::seconds(30);
};

/** Writes the response to one request, whole or in chunks. Write errors are CallerGone. */
class HttpResponseWriter {
public:
    virtual ~HttpResponseWriter() = default;

    virtual asio::awaitable<Result<void>> send(HttpResponse) = 0;

    /** Sends the header of a chunked response. */
    virtual asio::awaitable<Result<void>> begin(int status, HttpHeaders) = 0;
    virtual asio::awaitable<Result<void>> write(std::string chunk) = 0;
    virtual asio::awaitable<Result<void>> finish() = 0;

    /** Closes the connection without finishing the response, so that the caller sees that it is incomplete. */
    virtual void abort() = 0;

    /** Sets a callback for when the caller closes the connection during the handler. It runs at most once. */
    virtual void onCallerDisconnect(std::function<void()>) = 0;

    virtual bool hasBegun() const = 0;
};

using HttpHandler = std::function<asio::awaitable<void>(HttpRequest, HttpResponseWriter&)>;

/** Answers a fault found before the handler runs (bad syntax, oversized header or body). */
using HttpFaultAnswer = std::function<HttpResponse(const Error&)>;

/** An HTTP/1.1 listener with keep-alive. */
class HttpServer {
public:
    /** Binds at once. Throws boost::system::system_error when the address cannot be bound. */
    HttpServer(asio::io_context&, Log&, Endpoint, HttpServerLimits, HttpHandler, HttpFaultAnswer);
    ~HttpServer();

    /** The bound endpoint; its port is the chosen one when port 0 was asked for. */
    Endpoint endpoint() const;

    void start();

    /** Stops accepting and closes the connections that wait for a request. The others end after the response in progress. */
    void stopAccepting();

    /** Closes each connection after its next response, and tells the clients so. */
    void closeAfterResponses();

    /** Takes effect with the next request of each connection. */
    void setLimits(HttpServerLimits);

    size_t openConnections() const;

    struct State;

private:
    std::shared_ptr<State> m_state;
};

} // namespace chestnut
