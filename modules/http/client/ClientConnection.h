#pragma once

#include "http/message/BeastConversions.h"
#include "kernel/registry/Service.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <memory>
#include <vector>

namespace chestnut {

/* Included only by the source files of this module. */

/** An open connection to a server, with the bytes that were received and not yet parsed. */
struct ClientConnection {
    explicit ClientConnection(asio::io_context& context)
        : stream(context)
    {
    }

    beast::tcp_stream stream;
    beast::flat_buffer buffer { 64 << 10 };
    std::vector<uint64_t> requestIds; /**< hashes of the ids of the requests that it has carried */
    bool hasCarriedHead = false;
    bool hasCarriedBodies = false; /**< responses to requests with another method than HEAD */
};

using ClientConnectionPointer = std::unique_ptr<ClientConnection>;

/** Converts a request for Beast. The Host header is the endpoint unless the request has one. */
BeastRequest toBeast(const Endpoint&, HttpRequest);

/** Converts an error of an exchange whose request may have reached the server. */
Error errorAfterSend(const boost::system::error_code&, const Endpoint&, std::string_view step);

/** Opens a connection; all errors are ConnectFailed. */
asio::awaitable<Result<ClientConnectionPointer>> connect(asio::io_context&, Endpoint, Duration timeout);

asio::awaitable<Result<void>> sendRequest(ClientConnection&, Endpoint, const BeastRequest&, Duration timeout);

} // namespace chestnut
