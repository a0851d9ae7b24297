#pragma once

#include "http/message/BeastConversions.h"
#include "http/message/GrowingBody.h"
#include "http/server/DisconnectWatcher.h"
#include "http/server/ServerState.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <chrono>

namespace chestnut {

/* Included only by the source files of this module. */

using RequestParser = beast::http::request_parser<GrowingBody>;
using ReceivedRequest = beast::http::request<GrowingBody>;

/** A connection of a caller, with the bytes that were received and not yet parsed. */
struct ServerConnection {
    using Clock = std::chrono::steady_clock;

    ServerConnection(asio::ip::tcp::socket, const HttpServerLimits&);
    ServerConnection(const ServerConnection&) = delete;
    ServerConnection& operator=(const ServerConnection&) = delete;
    ~ServerConnection() { watcher->disarm(); }

    /** Whether bytes of a request were received, including those that the server has not read yet. */
    bool hasPartialRequest() const;
    void close();

    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    RequestParser* parser = nullptr; /**< of the header that the connection waits for */
    Clock::time_point idleSince;
    Duration idleTimeout {}; /**< as configured at idleSince */
    std::optional<Clock::time_point> headerSince; /**< since when a part of a request header has been buffered */
    std::shared_ptr<DisconnectWatcher> watcher;
};

/** Sets the limits of a request of which no complete header has been read. */
void applyLimits(ServerConnection&, const HttpServerLimits&);

/** Whether a connection has waited too long for a request header. Bytes that have arrived keep an idle one open, and its idle time does not
    become shorter while it waits, as its client may rely on it. */
bool isOverdue(ServerConnection&, const HttpServerLimits&, ServerConnection::Clock::time_point now);

/** Reads the next request; fails with BadRequest and sets `error`. */
asio::awaitable<Result<ReceivedRequest>> readRequest(ServerConnection&, const ServerState&, boost::system::error_code& error);

/** Whether the error of readRequest() shows that the bytes are no request. An incomplete request is not invalid. */
bool isInvalidRequest(const boost::system::error_code&);

/** Sends the response to an invalid request and discards the rest of its bytes. */
asio::awaitable<void> sendErrorResponse(ServerConnection&, const ServerState&, const boost::system::error_code&);

} // namespace chestnut
