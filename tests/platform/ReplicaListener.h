#pragma once

#include "kernel/timers/AsioTimerService.h"
#include "platform/HttpReplicaClient.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <string>

namespace chestnut::test {

/** The listener of a replica whose bytes a test writes, and a client. */
struct ReplicaListener {
    std::string address() const { return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()); }

    asio::io_context context;
    asio::ip::tcp::acceptor acceptor { context, asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0) };
    AsioTimerService timers { context };
    MemoryLog log;
    ConnectionPool pool { context, timers, {} };
    platform::HttpReplicaClient client { pool, timers, log };
};

} // namespace chestnut::test
