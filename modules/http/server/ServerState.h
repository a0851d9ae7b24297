#pragma once

#include "http/server/HttpServer.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <set>

namespace chestnut {

/* Included only by the source files of this module. */

struct ServerConnection;
class ResponseWriter;

/** What the listener, its connections and their response writers share. */
struct HttpServer::State {
    asio::io_context& context;
    Log& log;
    asio::ip::tcp::acceptor acceptor;
    HttpServerLimits limits;
    HttpHandler handler;
    HttpErrorResponder errorResponder;
    std::set<ServerConnection*> waitingConnections; /**< connections without a complete request header */
    std::set<ResponseWriter*> writers; /**< of the requests that are being handled */
    asio::steady_timer waitTimer { context };
    size_t openConnections = 0;
    bool isAccepting = true;
    bool allowsKeepAlive = true;
};

using ServerState = std::shared_ptr<HttpServer::State>;

} // namespace chestnut
