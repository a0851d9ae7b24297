#pragma once

#include "http/client/AbortHandle.h"
#include "http/client/HttpBodyStream.h"
#include "kernel/settings/SettingsReader.h"
#include "kernel/timers/TimerService.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

namespace chestnut {

/** Settings of a pool of keep-alive connections. */
struct ConnectionPoolSettings {
    size_t maximumIdlePerEndpoint = 24;
    Duration connectTimeout = std::chrono::milliseconds(400);
    /** Idle connections are closed after this time unless the server announces its idle timeout. Servers close theirs after a
        few seconds; a shorter time avoids sending a request on a connection that the server is closing. */
    Duration idleTime = std::chrono::seconds(2);
    size_t maximumHeader = 16 << 10; /**< bytes of a response header */
    /** A connection is not reused after this many requests with ids, which it has to remember. They take 8 bytes each. */
    size_t maximumRequestIds = 512;
};

/** Options of one exchange on a pooled connection. */
struct ExchangeOptions {
    Duration timeout = std::chrono::seconds(30); /**< until the end of the response header */
    std::optional<Duration> connectTimeout; /**< default: that of the pool */
    std::optional<Duration> bodyReadTimeout; /**< of each read of the body; default: none */
    /** From the response header to the end of the body, however often bytes arrive; default: none. */
    std::optional<Duration> bodyTimeout;
    /** Asked when the connection is open, as the reason not to send may have arrived meanwhile. Null: always. */
    std::function<bool()> maySend;
    bool needsFreshConnection = false; /**< never reuse an idle connection */
    std::shared_ptr<AbortHandle> abort; /**< may be null */
    /** Identifies the request; empty: nothing does. A server may send a response once more, and that copy has the id of its
        request, so no connection carries an id twice: the copy could not be told from the later response. */
    std::string requestId;
    /** Called when an idle connection is not used because it has carried a request with this id. May be null. */
    std::function<void()> onRepeatedId;
    /** Returns whether a response with these headers belongs to this request. Other responses, such as late ones to earlier
        requests, are read and discarded. Null accepts all. */
    std::function<bool(const HttpHeaders&)> matchesRequest;
    /** Returns what is wrong with a response header, or nothing; asked before matchesRequest. Null finds no faults. */
    std::function<std::optional<std::string>(const HttpHeaders&)> findFault;
};

/** HTTP/1.1 client for requests that must not be executed twice: it never sends a request twice. An idle connection is reused
    only if the server has neither closed it nor sent surplus bytes. Errors: ConnectFailed and Overloaded (see
    ExchangeOptions::maySend) when no byte was sent; when the server may have received the request, ProtocolError for a malformed
    response header, BackendFailed and DeadlineExceeded. */
class ConnectionPool {
public:
    ConnectionPool(asio::io_context&, TimerService&, ConnectionPoolSettings);
    ~ConnectionPool();

    /** Sends a request and returns after the response header. The connection returns to the pool when the body has been read
        to its end. */
    asio::awaitable<Result<std::unique_ptr<HttpBodyStream>>> open(Endpoint, HttpRequest, ExchangeOptions);

    /** Closes the idle connections to an endpoint, so that the next request uses a new one. Idle connections may have stopped
        working without being closed, which only a request without a response shows. */
    void closeIdle(const Endpoint&);

    /** Number of connections opened so far, for the metrics. */
    uint64_t openedConnections() const;

    struct State;

private:
    std::shared_ptr<State> m_state;
    TimerSubscription m_expiryTimer;
};

} // namespace chestnut
