#pragma once

#include "kernel/settings/SettingsReader.h"
#include "kernel/timers/TimerService.h"
#include "soak/ResponseRewriter.h"

#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <vector>

namespace chestnut::soak {

/** How a link disturbs the data of its connections. */
enum class LinkFault : uint8_t {
    None,
    Delay, /**< each chunk of data is delayed */
    HoldRequests, /**< data for the server is held back until the fault ends */
    HoldResponses, /**< data for the caller is held back until the fault ends */
    ResetNew, /**< new connections are accepted and reset */
};

/** A TCP proxy on a loopback address that forwards to one server and can inject faults. */
class FaultyLink : public std::enable_shared_from_this<FaultyLink> {
public:
    FaultyLink(asio::io_context&, TimerService&, uint16_t port, Endpoint server);

    /** Starts to accept connections; can be called again after stopListening(). */
    void listen();
    /** Refuses new connections, as the address of an ended process does. */
    void stopListening();
    Endpoint endpoint() const { return m_endpoint; }

    void setFault(LinkFault fault, Duration delay = {})
    {
        m_fault = fault;
        m_delay = delay;
    }

    /** Applies from the next response of each connection. */
    void setResponseFault(ResponseFault fault) { m_responseFault = fault; }

    /** Resets all open connections. */
    void resetAll();
    /** Stops forwarding on the open connections without closing them; new ones work. */
    void stallOpenConnections();

private:
    struct Connection;
    using ConnectionPointer = std::shared_ptr<Connection>;

    static asio::awaitable<void> acceptAll(std::shared_ptr<FaultyLink>);
    static asio::awaitable<void> connectToServer(std::shared_ptr<FaultyLink>, ConnectionPointer);
    static asio::awaitable<void> forwardBytes(std::shared_ptr<FaultyLink>, ConnectionPointer, bool carriesRequests);
    asio::awaitable<void> repeatRefusal(Connection&, const std::string& requestBytes);
    bool isHeld(const Connection&, bool carriesRequests) const;

    asio::io_context& m_context;
    TimerService& m_timers;
    asio::ip::tcp::acceptor m_acceptor;
    Endpoint m_endpoint;
    Endpoint m_server;
    LinkFault m_fault = LinkFault::None;
    Duration m_delay {};
    ResponseFault m_responseFault = ResponseFault::None;
    std::vector<std::weak_ptr<Connection>> m_connections;
};

using LinkPointer = std::shared_ptr<FaultyLink>;

} // namespace chestnut::soak
