#include "http/server/HttpServer.h"

#include "http/server/ResponseWriter.h"
#include "http/server/ServerConnection.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <netinet/tcp.h>

namespace chestnut {

using asio::ip::tcp;
using boost::system::error_code;

namespace {

    constexpr Duration waitCheckPeriod = std::chrono::milliseconds(100);
    constexpr Duration pauseAfterFailedAccept = std::chrono::milliseconds(100);

    /** Counts a connection as open for the lifetime of this object. */
    class OpenConnectionGuard {
    public:
        explicit OpenConnectionGuard(ServerState state)
            : m_state(std::move(state))
        {
            ++m_state->openConnections;
        }
        OpenConnectionGuard(const OpenConnectionGuard&) = delete;
        OpenConnectionGuard& operator=(const OpenConnectionGuard&) = delete;
        ~OpenConnectionGuard() { --m_state->openConnections; }

    private:
        ServerState m_state;
    };

    asio::awaitable<void> closeOverdueConnections(ServerState state)
    {
        while (state->isAccepting || !state->waitingConnections.empty()) {
            error_code error;
            state->waitTimer.expires_after(waitCheckPeriod);
            co_await state->waitTimer.async_wait(asio::redirect_error(asio::use_awaitable, error));
            for (auto* connection : state->waitingConnections) {
                if (isOverdue(*connection, state->limits, ServerConnection::Clock::now()))
                    connection->close();
            }
        }
    }

    /** Runs the handler for one request. Returns false when the connection must be closed. */
    asio::awaitable<bool> handleRequest(ServerConnection& connection, const ServerState& state, ReceivedRequest message)
    {
        HttpRequest request { std::string(viewOf(message.method_string())), std::string(viewOf(message.target())), headersOf(message.base()), std::move(message.body()) };
        ResponseWriter writer(connection.stream, connection.watcher, state, message.keep_alive(), request.method == "HEAD");
        connection.stream.expires_never();
        std::string failure;
        try {
            co_await state->handler(std::move(request), writer);
        } catch (const std::exception& exception) {
            failure = exception.what();
        }
        if (!failure.empty()) {
            state->log.write(EventId::HandlerFailed, { { "reason", failure } });
            if (!writer.hasBegun())
                co_await writer.send(state->errorResponder(makeError(ErrorKind::Internal, "the request handler failed")));
        }
        co_await writer.stopWriting();
        co_return writer.isFinished() && writer.keepsAlive();
    }

    /** Limits the memory that the kernel uses for bytes that a client does not read; what it may buffer by default is megabytes. */
    void limitUnsentBytes(tcp::socket& socket)
    {
        constexpr int unsentBytes = 16 << 10;
        (void)::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_NOTSENT_LOWAT, &unsentBytes, sizeof(unsentBytes));
    }

    asio::awaitable<void> serveConnection(ServerState state, tcp::socket socket, std::unique_ptr<OpenConnectionGuard>)
    {
        ServerConnection connection(std::move(socket), state->limits);
        error_code error;
        connection.stream.socket().set_option(tcp::no_delay(true), error);
        if (state->limits.responseBuffers)
            limitUnsentBytes(connection.stream.socket());
        while (state->isAccepting || connection.hasPartialRequest()) {
            error = {};
            auto request = co_await readRequest(connection, state, error);
            if (!request) {
                if (isInvalidRequest(error))
                    co_await sendErrorResponse(connection, state, error);
                co_return;
            }
            if (!co_await handleRequest(connection, state, std::move(*request)))
                co_return;
        }
    }

    /** Serves a new connection, which is counted from now on. */
    void startConnection(const ServerState& state, tcp::socket socket)
    {
        if (state->openConnections >= state->limits.maximumConnections) {
            state->log.write(EventId::ConnectionRefused, { { "open", state->openConnections } });
            return;
        }
        auto count = std::make_unique<OpenConnectionGuard>(state);
        asio::co_spawn(state->context, serveConnection(state, std::move(socket), std::move(count)), asio::detached);
    }

    /** Waits until the cause may have passed, such as exhausted file descriptors. The connection stays in the queue of the kernel. */
    asio::awaitable<void> pauseAccepting(ServerState state)
    {
        error_code ignored;
        asio::steady_timer timer(state->context, pauseAfterFailedAccept);
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }

    asio::awaitable<void> acceptLoop(ServerState state)
    {
        error_code lastError;
        while (state->isAccepting) {
            error_code error;
            auto socket = co_await state->acceptor.async_accept(asio::redirect_error(asio::use_awaitable, error));
            auto isNewError = std::exchange(lastError, error) != error;
            if (!error)
                startConnection(state, std::move(socket));
            else if (state->isAccepting) {
                if (isNewError)
                    state->log.write(EventId::AcceptFailed, { { "reason", error.message() } });
                co_await pauseAccepting(state);
            }
        }
    }

    /** Accepts the connections that wait in the queue of the kernel. Closing the listener would reset them. */
    void acceptQueued(const ServerState& state)
    {
        error_code error;
        state->acceptor.non_blocking(true, error);
        while (!error) {
            tcp::socket socket(state->context);
            state->acceptor.accept(socket, error);
            if (!error)
                startConnection(state, std::move(socket));
        }
    }

    tcp::acceptor openAcceptor(asio::io_context& context, const Endpoint& endpoint)
    {
        tcp::endpoint address(asio::ip::make_address(endpoint.address), endpoint.port);
        tcp::acceptor acceptor(context);
        acceptor.open(address.protocol());
        acceptor.set_option(tcp::acceptor::reuse_address(true));
        acceptor.bind(address);
        acceptor.listen();
        return acceptor;
    }

} // namespace

HttpServer::HttpServer(asio::io_context& context, Log& log, Endpoint endpoint, HttpServerLimits limits, HttpHandler handler, HttpErrorResponder errorResponder)
    : m_state(std::make_shared<State>(State { context, log, openAcceptor(context, endpoint), limits, std::move(handler), std::move(errorResponder) }))
{
}

HttpServer::~HttpServer()
{
    stopAccepting();
}

Endpoint HttpServer::endpoint() const
{
    auto address = m_state->acceptor.local_endpoint();
    return { address.address().to_string(), address.port() };
}

void HttpServer::start()
{
    m_state->log.write(EventId::ListenerStarted, { { "address", formatEndpoint(endpoint()) } });
    asio::co_spawn(m_state->context, acceptLoop(m_state), asio::detached);
    asio::co_spawn(m_state->context, closeOverdueConnections(m_state), asio::detached);
}

void HttpServer::stopAccepting()
{
    if (!m_state->isAccepting)
        return;
    m_state->isAccepting = false;
    acceptQueued(m_state);
    error_code ignored;
    m_state->acceptor.close(ignored);
    m_state->waitTimer.cancel();
    for (auto* connection : m_state->waitingConnections) {
        if (!connection->hasPartialRequest())
            connection->close();
    }
}

void HttpServer::closeAfterResponses()
{
    m_state->allowsKeepAlive = false;
}

void HttpServer::endResponses()
{
    m_state->allowsKeepAlive = false;
    auto error = makeError(ErrorKind::OutcomeUnknown, "the daemon stopped before the response");
    for (auto* writer : m_state->writers)
        writer->endNow(m_state->errorResponder(error));
}

void HttpServer::setLimits(HttpServerLimits limits)
{
    m_state->limits = limits;
    for (auto* connection : m_state->waitingConnections)
        applyLimits(*connection, limits);
}

size_t HttpServer::openConnections() const
{
    return m_state->openConnections;
}

} // namespace chestnut
