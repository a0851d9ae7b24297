#pragma once

#include "http/client/ConnectionPool.h"

namespace chestnut {

/** Time limits of one HTTP exchange. */
struct HttpTimeouts {
    Duration connect = std::chrono::milliseconds(500);
    /** From the end of the request to the end of the response header, and for each read of the body. */
    Duration read = std::chrono::seconds(30);
    /** Of a whole response, from its header to the end of its body, however often bytes arrive. */
    Duration body = std::chrono::seconds(60);
};

/** HTTP/1.1 client for whole responses and streams, with its own connection pool. Errors distinguish whether the server may
    have received the request: ConnectFailed when no byte was sent, BackendFailed and DeadlineExceeded otherwise. */
class HttpClient {
public:
    HttpClient(asio::io_context&, TimerService&);

    /** Sends a request and reads the whole response, at most maximumBody bytes. Reuses idle connections for GET and HEAD
        only: if one fails, the server may have received the request, so that only these methods can be retried. */
    asio::awaitable<Result<HttpResponse>> exchange(Endpoint, HttpRequest, HttpTimeouts, size_t maximumBody = 8 << 20);

    /** As exchange(), on a new connection and without a retry. */
    asio::awaitable<Result<HttpResponse>> exchangeOnNewConnection(Endpoint, HttpRequest, HttpTimeouts, size_t maximumBody = 8 << 20);

    /** Sends a request on a new connection and returns after the response header. */
    asio::awaitable<Result<std::unique_ptr<HttpBodyStream>>> open(Endpoint, HttpRequest, HttpTimeouts);

private:
    asio::awaitable<Result<HttpResponse>> exchangeOnce(Endpoint, HttpRequest, HttpTimeouts, size_t maximumBody, bool mayReuse);

    ConnectionPool m_pool;
};

} // namespace chestnut
