#include "http/server/ServerConnection.h"

#include "http/server/ResponseWriter.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>

namespace chestnut {

namespace http = beast::http;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

    /** Bytes that a connection buffers beyond a header of maximum size. */
    constexpr size_t readAheadBytes = 64 << 10;
    /** Time in which the rest of an invalid request is discarded. */
    constexpr Duration discardTime = std::chrono::seconds(1);

    size_t maximumBufferOf(const HttpServerLimits& limits)
    {
        return limits.maximumHeader + readAheadBytes;
    }

    Duration idleTimeoutOf(const HttpServerLimits& limits)
    {
        return limits.headerTimeout + limits.idleTimeout;
    }

    ErrorKind kindOfParseError(const error_code& error)
    {
        if (error == http::error::header_limit)
            return ErrorKind::HeaderTooLarge;
        if (error == http::error::body_limit)
            return ErrorKind::BodyTooLarge;
        return ErrorKind::BadRequest;
    }

    /** Lists a connection in waitingConnections for the lifetime of this object. */
    class WaitingConnectionGuard {
    public:
        WaitingConnectionGuard(ServerState state, ServerConnection& connection, RequestParser& parser)
            : m_state(std::move(state))
            , m_connection(&connection)
        {
            m_connection->parser = &parser;
            m_connection->idleSince = ServerConnection::Clock::now();
            m_connection->idleTimeout = idleTimeoutOf(m_state->limits);
            m_connection->headerSince.reset();
            applyLimits(*m_connection, m_state->limits);
            m_state->waitingConnections.insert(m_connection);
        }
        WaitingConnectionGuard(const WaitingConnectionGuard&) = delete;
        WaitingConnectionGuard& operator=(const WaitingConnectionGuard&) = delete;
        ~WaitingConnectionGuard() { m_state->waitingConnections.erase(m_connection); }

    private:
        ServerState m_state;
        ServerConnection* m_connection;
    };

} // namespace

ServerConnection::ServerConnection(tcp::socket socket, const HttpServerLimits& limits)
    : stream(std::move(socket))
    , buffer(maximumBufferOf(limits))
    , watcher(std::make_shared<DisconnectWatcher>(stream.socket()))
{
}

bool ServerConnection::hasPartialRequest() const
{
    error_code error;
    return buffer.size() > 0 || stream.socket().available(error) > 0;
}

void ServerConnection::close()
{
    error_code ignored;
    stream.socket().close(ignored);
}

void applyLimits(ServerConnection& connection, const HttpServerLimits& limits)
{
    connection.parser->header_limit(static_cast<uint32_t>(limits.maximumHeader));
    connection.parser->body_limit(limits.maximumBody);
    // The parser does not limit the sizes of chunk extensions and trailers; the buffer does.
    connection.buffer.max_size(std::max(connection.buffer.max_size(), maximumBufferOf(limits)));
}

bool isOverdue(ServerConnection& connection, const HttpServerLimits& limits, ServerConnection::Clock::time_point now)
{
    if (connection.buffer.size() > 0) {
        connection.headerSince = connection.headerSince.value_or(now);
        return now - *connection.headerSince >= limits.headerTimeout;
    }
    auto timeout = std::max(connection.idleTimeout, idleTimeoutOf(limits));
    return now - connection.idleSince >= timeout && !connection.hasPartialRequest();
}

asio::awaitable<Result<ReceivedRequest>> readRequest(ServerConnection& connection, const ServerState& state, error_code& error)
{
    RequestParser parser;
    connection.stream.expires_never();
    {
        WaitingConnectionGuard guard(state, connection, parser);
        co_await http::async_read_header(connection.stream, connection.buffer, parser, asio::redirect_error(asio::use_awaitable, error));
    }
    if (error)
        co_return makeError(ErrorKind::BadRequest, error.message());
    connection.stream.expires_after(state->limits.bodyTimeout);
    if (beast::iequals(parser.get()[http::field::expect], "100-continue")) {
        constexpr std::string_view interimResponse = "HTTP/1.1 100 Continue\r\n\r\n";
        co_await asio::async_write(connection.stream, asio::buffer(interimResponse), asio::redirect_error(asio::use_awaitable, error));
    }
    if (!error)
        co_await http::async_read(connection.stream, connection.buffer, parser, asio::redirect_error(asio::use_awaitable, error));
    if (error)
        co_return makeError(ErrorKind::BadRequest, error.message());
    co_return parser.release();
}

bool isInvalidRequest(const error_code& error)
{
    return error.category() == http::make_error_code(http::error::end_of_stream).category()
        && error != http::error::end_of_stream && error != http::error::partial_message;
}

asio::awaitable<void> sendErrorResponse(ServerConnection& connection, const ServerState& state, const error_code& error)
{
    ResponseWriter writer(connection.stream, connection.watcher, state, false, false);
    co_await writer.send(state->errorResponder(makeError(kindOfParseError(error), error.message())));
    // Closing a socket with unread input sends a reset, on which the caller may lose the response. So the rest is read.
    error_code ignored;
    connection.stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
    connection.stream.expires_after(discardTime);
    char discarded[1024];
    while (!ignored)
        co_await connection.stream.async_read_some(asio::buffer(discarded), asio::redirect_error(asio::use_awaitable, ignored));
}

} // namespace chestnut
