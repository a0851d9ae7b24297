#pragma once

#include "base/errors/Result.h"
#include "kernel/settings/SettingsReader.h"
#include "kernel/timers/TimerService.h"
#include "peers/transport/SocketCloser.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace chestnut {

/** Sends and receives requests as byte strings over nng REQ/REP on TCP. nng completes operations on its own threads, from
    which they are posted to the io_context, on which all callbacks run. Each peer has its own socket, so that a paused or
    dead peer does not delay others. A request is sent at most once, because nng's resending is disabled. */
class NngTransport {
public:
    using RequestHandler = std::function<asio::awaitable<std::string>(std::string request)>;

    static constexpr size_t maximumCalls = 256;
    static constexpr size_t maximumCallsPerPeer = 32;
    /** Maximum number of concurrent requests; further ones wait in their connections. */
    static constexpr size_t maximumRequests = 64;
    static constexpr size_t maximumPendingCloses = 8;

    NngTransport(asio::io_context&, TimerService&);
    ~NngTransport();

    /** Opens the listener; port 0 selects a free port. Returns the bound endpoint. Errors: ConnectFailed. */
    Result<Endpoint> listen(const Endpoint&, RequestHandler);

    /** Errors: ConnectFailed when nothing was sent, OutcomeUnknown when no reply arrived in time or the connection was lost,
        Overloaded when too many calls are outstanding. */
    asio::awaitable<Result<std::string>> call(std::string address, std::string request, Duration timeout);

    /** Closes connections that have not been used for idleTime, unless maximumPendingCloses closes are pending: a connection
        whose close does not end keeps its file descriptor. */
    void closeIdle();
    /** Number of sockets that nng has not closed yet. */
    size_t pendingCloses() const { return m_closer.pending(); }
    /** Closes the connection to a peer as soon as its calls in progress have ended. */
    void disconnect(const std::string& address);
    /** Fails all calls in progress and stops receiving requests. */
    void close();

private:
    class PeerSocket;
    class PendingCall;
    class Listener;

    static constexpr Duration idleTime = std::chrono::seconds(20);

    Result<std::shared_ptr<PeerSocket>> socketFor(const std::string& address);
    Result<std::string> concludeCall(const std::string& address, const PendingCall&);
    size_t activeCalls();

    asio::io_context& m_context;
    TimerService& m_timers;
    SocketCloser m_closer;
    std::map<std::string, std::shared_ptr<PeerSocket>> m_sockets;
    std::vector<std::weak_ptr<PendingCall>> m_calls;
    std::unique_ptr<Listener> m_listener;
    bool m_isClosed = false;
};

} // namespace chestnut
