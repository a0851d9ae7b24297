#pragma once

#include "http/client/AbortHandle.h"
#include "http/client/HttpBodyStream.h"
#include "kernel/settings/SettingsReader.h"
#include "kernel/timers/TimerService.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

namespace chestnut {

/** Settings of a pool of kept connections. */
struct ConnectionPoolSettings {
    size_t maximumIdlePerEndpoint = 24;
    Duration connectTimeout = std::chrono::milliseconds(400);
    /** A server that announces no idle timeout closes connections after a few seconds; a shorter time avoids the race. */
    Duration idleTime = std::chrono::seconds(2);
    size_t maximumHeader = 16 << 10; /**< bytes of a response header */
};

/** How one exchange on a pooled connection is made. */
struct ExchangeOptions {
    Duration timeout = std::chrono::seconds(30); /**< to the end of the response header */
    std::optional<Duration> connectTimeout; /**< absent: that of the pool */
    std::optional<Duration> bodyReadTimeout; /**< of each read of the body; absent: none */
    bool needsFreshConnection = false; /**< never send on a kept connection */
    std::shared_ptr<AbortHandle> abort; /**< may be null */
    /** Tells from its header whether a response answers this request. Others (late answers to earlier requests) are read
        and dropped. Null accepts all. */
    std::function<bool(const HttpHeaders&)> matchesRequest;
};

/** HTTP/1.1 client for requests that may run once: it never sends a request twice. A kept connection is checked for its end
    and for surplus bytes before it is used again. Errors: ConnectFailed when no byte was sent, BackendFailed and DeadlineExceeded when the server may
    have seen the request. */
class ConnectionPool {
public:
    ConnectionPool(asio::io_context&, TimerService&, ConnectionPoolSettings);
    ~ConnectionPool();

    /** Sends a request and returns after the response header. The connection goes back to the pool when the body has been
        read to its end. */
    asio::awaitable<Result<std::unique_ptr<HttpBodyStream>>> open(Endpoint, HttpRequest, ExchangeOptions);

    /** Connections that were opened, for the metrics. */
    uint64_t openedConnections() const;

    struct State;

private:
    std::shared_ptr<State> m_state;
    TimerSubscription m_expiryTimer;
};

} // namespace chestnut
