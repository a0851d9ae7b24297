#include "soak/FaultyLink.h"

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

namespace chestnut::soak {

using asio::ip::tcp;
using boost::system::error_code;

namespace {

    /** How often a held chunk of data checks whether the fault has ended. */
    constexpr Duration holdCheckPeriod = std::chrono::milliseconds(10);

    void closeWithReset(tcp::socket& socket)
    {
        error_code ignored;
        socket.set_option(asio::socket_base::linger(true, 0), ignored);
        socket.close(ignored);
    }

    tcp::endpoint addressOf(const Endpoint& endpoint)
    {
        return { asio::ip::make_address(endpoint.address), endpoint.port };
    }

} // namespace

struct FaultyLink::Connection {
    Connection(asio::io_context& context, tcp::socket callerSocket)
        : caller(std::move(callerSocket))
        , server(context)
    {
    }

    void reset()
    {
        closeWithReset(caller);
        closeWithReset(server);
    }

    /** Ends the data for the caller, which can still read what was sent. */
    void close()
    {
        error_code ignored;
        caller.shutdown(tcp::socket::shutdown_send, ignored);
        server.close(ignored);
    }

    bool isOpen() const { return caller.is_open(); }

    tcp::socket caller;
    tcp::socket server;
    bool isStalled = false;
    ResponseRewriter rewriter;
};

FaultyLink::FaultyLink(asio::io_context& context, TimerService& timers, uint16_t port, Endpoint server)
    : m_context(context)
    , m_timers(timers)
    , m_acceptor(context)
    , m_endpoint { "127.0.0.1", port }
    , m_server(std::move(server))
{
}

void FaultyLink::listen()
{
    if (m_acceptor.is_open())
        return;
    auto address = addressOf(m_endpoint);
    m_acceptor.open(address.protocol());
    m_acceptor.set_option(tcp::acceptor::reuse_address(true));
    m_acceptor.bind(address);
    m_acceptor.listen();
    asio::co_spawn(m_context, acceptAll(shared_from_this()), asio::detached);
}

void FaultyLink::stopListening()
{
    error_code ignored;
    m_acceptor.close(ignored);
}

void FaultyLink::resetAll()
{
    for (const auto& weak : m_connections) {
        if (auto connection = weak.lock())
            connection->reset();
    }
    m_connections.clear();
}

void FaultyLink::stallOpenConnections()
{
    for (const auto& weak : m_connections) {
        if (auto connection = weak.lock())
            connection->isStalled = true;
    }
}

asio::awaitable<void> FaultyLink::acceptAll(std::shared_ptr<FaultyLink> self)
{
    while (true) {
        error_code error;
        auto socket = co_await self->m_acceptor.async_accept(asio::redirect_error(asio::use_awaitable, error));
        if (error == asio::error::operation_aborted)
            co_return;
        if (error)
            continue;
        if (self->m_fault == LinkFault::ResetNew) {
            closeWithReset(socket);
            continue;
        }
        auto connection = std::make_shared<Connection>(self->m_context, std::move(socket));
        std::erase_if(self->m_connections, [](const auto& weak) { return weak.expired(); });
        self->m_connections.push_back(connection);
        asio::co_spawn(self->m_context, connectToServer(self, connection), asio::detached);
    }
}

asio::awaitable<void> FaultyLink::connectToServer(std::shared_ptr<FaultyLink> self, ConnectionPointer connection)
{
    error_code error;
    co_await connection->server.async_connect(addressOf(self->m_server), asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        connection->reset();
        co_return;
    }
    connection->caller.set_option(tcp::no_delay(true), error);
    connection->server.set_option(tcp::no_delay(true), error);
    asio::co_spawn(self->m_context, forwardBytes(self, connection, true), asio::detached);
    asio::co_spawn(self->m_context, forwardBytes(self, connection, false), asio::detached);
}

bool FaultyLink::isHeld(const Connection& connection, bool carriesRequests) const
{
    auto held = carriesRequests ? LinkFault::HoldRequests : LinkFault::HoldResponses;
    return connection.isOpen() && (connection.isStalled || m_fault == held);
}

asio::awaitable<void> FaultyLink::repeatRefusal(Connection& connection, const std::string& requestBytes)
{
    std::string refusal;
    if (m_responseFault == ResponseFault::RepeatedRefusal)
        refusal = connection.rewriter.takeRefusal();
    else if (m_responseFault == ResponseFault::CopiedRefusal)
        refusal = connection.rewriter.takeCopy(requestBytes);
    error_code ignored;
    if (!refusal.empty())
        co_await asio::async_write(connection.caller, asio::buffer(refusal), asio::redirect_error(asio::use_awaitable, ignored));
}

asio::awaitable<void> FaultyLink::forwardBytes(std::shared_ptr<FaultyLink> self, ConnectionPointer connection, bool carriesRequests)
{
    auto& from = carriesRequests ? connection->caller : connection->server;
    auto& to = carriesRequests ? connection->server : connection->caller;
    std::array<char, 16 << 10> buffer {};
    error_code error;
    while (true) {
        auto size = co_await from.async_read_some(asio::buffer(buffer), asio::redirect_error(asio::use_awaitable, error));
        auto isCutOff = error && !carriesRequests && connection->rewriter.isRewriting();
        auto isReset = isCutOff || (error && error != asio::error::eof);
        if (self->m_fault == LinkFault::Delay && !isReset)
            co_await self->m_timers.sleep(self->m_delay);
        while (self->isHeld(*connection, carriesRequests))
            co_await self->m_timers.sleep(holdCheckPeriod);
        if (isReset) {
            connection->reset();
            co_return;
        }
        if (error) {
            to.shutdown(tcp::socket::shutdown_send, error);
            co_return;
        }
        std::string bytes(buffer.data(), size);
        if (carriesRequests)
            co_await self->repeatRefusal(*connection, bytes);
        else
            bytes = connection->rewriter.rewrite(bytes, self->m_responseFault);
        co_await asio::async_write(to, asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            connection->reset();
            co_return;
        }
        if (auto end = connection->rewriter.end(); end != ConnectionEnd::None) {
            end == ConnectionEnd::Reset ? connection->reset() : connection->close();
            co_return;
        }
    }
}

} // namespace chestnut::soak
