#include "http/client/ClientConnection.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/write.hpp>
#include <netinet/tcp.h>

namespace chestnut {

namespace http = beast::http;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

    /** TCP_USER_TIMEOUT: closes a connection whose data stays unacknowledged for this long. The kernel's own limit is many
        minutes. */
    constexpr int unacknowledgedTimeoutMilliseconds = 3000;

    /** TCP keep-alive: an idle connection is probed in this interval and closed after this many unanswered probes. Otherwise a
        watch of a store would wait indefinitely on a connection that was lost without a packet. */
    constexpr int keepAliveIntervalSeconds = 1;
    constexpr int maximumUnansweredProbes = 2;

    using KeepAliveIdle = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
    using KeepAliveInterval = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
    using KeepAliveCount = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;
    using UserTimeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;

} // namespace

BeastRequest toBeast(const Endpoint& endpoint, HttpRequest request)
{
    BeastRequest message;
    message.method_string(request.method);
    message.target(request.target);
    message.version(11);
    setHeaders(message, request.headers);
    if (message.find(http::field::host) == message.end())
        message.set(http::field::host, formatEndpoint(endpoint));
    message.body() = std::move(request.body);
    message.prepare_payload();
    return message;
}

Error errorAfterSend(const error_code& error, const Endpoint& endpoint, std::string_view step)
{
    auto kind = error == beast::error::timeout ? ErrorKind::DeadlineExceeded : ErrorKind::BackendFailed;
    return makeError(kind, std::string(step) + " " + formatEndpoint(endpoint) + ": " + error.message());
}

asio::awaitable<Result<ClientConnectionPointer>> connect(asio::io_context& context, Endpoint endpoint, Duration timeout)
{
    auto connection = std::make_unique<ClientConnection>(context);
    error_code error;
    tcp::endpoint address(asio::ip::make_address(endpoint.address, error), endpoint.port);
    if (error)
        co_return makeError(ErrorKind::ConnectFailed, "invalid address " + endpoint.address);
    connection->stream.expires_after(timeout);
    co_await connection->stream.async_connect(address, asio::redirect_error(asio::use_awaitable, error));
    if (error)
        co_return makeError(ErrorKind::ConnectFailed, "connect to " + formatEndpoint(endpoint) + ": " + error.message());
    auto& socket = connection->stream.socket();
    // Errors are ignored: without these options, a dead peer is only detected later.
    socket.set_option(tcp::no_delay(true), error);
    socket.set_option(UserTimeout(unacknowledgedTimeoutMilliseconds), error);
    socket.set_option(asio::socket_base::keep_alive(true), error);
    socket.set_option(KeepAliveIdle(keepAliveIntervalSeconds), error);
    socket.set_option(KeepAliveInterval(keepAliveIntervalSeconds), error);
    socket.set_option(KeepAliveCount(maximumUnansweredProbes), error);
    co_return connection;
}

asio::awaitable<Result<void>> sendRequest(ClientConnection& connection, Endpoint endpoint, const BeastRequest& message, Duration timeout)
{
    error_code error;
    connection.stream.expires_after(timeout);
    co_await http::async_write(connection.stream, message, asio::redirect_error(asio::use_awaitable, error));
    if (error)
        co_return errorAfterSend(error, endpoint, "write to");
    co_return Result<void>();
}

} // namespace chestnut
