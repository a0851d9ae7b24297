#include "http/client/HttpClient.h"

namespace chestnut {

namespace {

    /** Servers close idle connections after some seconds, so the pool checks whether one is still open before it reuses it. */
    constexpr ConnectionPoolSettings poolSettings { 4, std::chrono::milliseconds(500), std::chrono::seconds(10), 64 << 10 };

    ExchangeOptions optionsFor(const HttpTimeouts& timeouts, bool mayReuse)
    {
        ExchangeOptions options;
        options.timeout = timeouts.read;
        options.connectTimeout = timeouts.connect;
        options.bodyReadTimeout = timeouts.read;
        options.needsFreshConnection = !mayReuse;
        return options;
    }

} // namespace

HttpClient::HttpClient(asio::io_context& context, TimerService& timers)
    : m_pool(context, timers, poolSettings)
{
}

asio::awaitable<Result<HttpResponse>> HttpClient::exchangeOnce(Endpoint endpoint, HttpRequest request, HttpTimeouts timeouts, size_t maximumBody, bool mayReuse)
{
    auto options = optionsFor(timeouts, mayReuse);
    options.bodyTimeout = timeouts.body;
    auto stream = co_await m_pool.open(std::move(endpoint), std::move(request), std::move(options));
    if (!stream)
        co_return stream.error();
    auto body = co_await readWholeBody(**stream, maximumBody);
    if (!body)
        co_return body.error();
    co_return HttpResponse { (*stream)->status(), (*stream)->headers(), std::move(*body) };
}

asio::awaitable<Result<HttpResponse>> HttpClient::exchange(Endpoint endpoint, HttpRequest request, HttpTimeouts timeouts, size_t maximumBody)
{
    auto isSafeMethod = request.method == "GET" || request.method == "HEAD";
    if (isSafeMethod) {
        auto response = co_await exchangeOnce(endpoint, request, timeouts, maximumBody, true);
        // The server may just have closed the idle connection, or written to it, so a failure is retried once on a new one.
        if (response || (response.error().kind != ErrorKind::BackendFailed && response.error().kind != ErrorKind::ProtocolError))
            co_return response;
    }
    co_return co_await exchangeOnNewConnection(std::move(endpoint), std::move(request), timeouts, maximumBody);
}

asio::awaitable<Result<HttpResponse>> HttpClient::exchangeOnNewConnection(Endpoint endpoint, HttpRequest request, HttpTimeouts timeouts, size_t maximumBody)
{
    return exchangeOnce(std::move(endpoint), std::move(request), timeouts, maximumBody, false);
}

asio::awaitable<Result<std::unique_ptr<HttpBodyStream>>> HttpClient::open(Endpoint endpoint, HttpRequest request, HttpTimeouts timeouts)
{
    return m_pool.open(std::move(endpoint), std::move(request), optionsFor(timeouts, false));
}

} // namespace chestnut
