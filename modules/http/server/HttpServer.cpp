#include "http/server/HttpServer.h"

#include "http/message/BeastConversions.h"
#include "http/message/GrowingBody.h"
#include "http/server/OutputBuffer.h"

#include <algorithm>
#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>
#include <cassert>
#include <cstdio>
#include <netinet/tcp.h>
#include <poll.h>
#include <set>

namespace chestnut {

namespace http = beast::http;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

    struct ServerConnection;
    class ResponseWriter;

    using Clock = std::chrono::steady_clock;

    constexpr Duration waitCheckPeriod = std::chrono::milliseconds(100);
    constexpr Duration pauseAfterFailedAccept = std::chrono::milliseconds(100);

    Duration idleTimeoutOf(const HttpServerLimits& limits)
    {
        return limits.headerTimeout + limits.idleTimeout;
    }

} // namespace

struct HttpServer::State {
    asio::io_context& context;
    Log& log;
    tcp::acceptor acceptor;
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

namespace {

    /** Bytes that a connection buffers beyond a header of maximum size. */
    constexpr size_t readAheadBytes = 64 << 10;

    size_t maximumBufferOf(const HttpServerLimits& limits)
    {
        return limits.maximumHeader + readAheadBytes;
    }

    using ServerState = std::shared_ptr<HttpServer::State>;
    using RequestParser = http::request_parser<GrowingBody>;
    using ReceivedRequest = http::request<GrowingBody>;

    /** Detects that the caller closes the connection while a handler runs. */
    struct DisconnectWatcher : std::enable_shared_from_this<DisconnectWatcher> {
        explicit DisconnectWatcher(tcp::socket& connectionSocket)
            : socket(connectionSocket)
        {
        }

        void arm(std::function<void()> newCallback)
        {
            callback = std::move(newCallback);
            if (isArmed)
                return;
            isArmed = true;
            socket.async_wait(tcp::socket::wait_read, [self = shared_from_this()](const error_code& error) {
                self->isArmed = false;
                if (error || !self->callback)
                    return;
                if (self->isClosed())
                    std::exchange(self->callback, nullptr)();
            });
        }

        /** Also when bytes that were sent before the close have not been read. */
        bool isClosed() const
        {
            pollfd connection { socket.native_handle(), POLLRDHUP, 0 };
            return !socket.is_open() || ::poll(&connection, 1, 0) > 0;
        }

        tcp::socket& socket;
        std::function<void()> callback;
        bool isArmed = false;
    };

    class ResponseWriter final : public HttpResponseWriter {
    public:
        ResponseWriter(beast::tcp_stream& stream, std::shared_ptr<DisconnectWatcher> watcher, ServerState state, bool requestKeepsAlive, bool isHead)
            : m_stream(stream)
            , m_watcher(std::move(watcher))
            , m_state(std::move(state))
            , m_writeTimeout(m_state->limits.writeTimeout)
            , m_requestKeepsAlive(requestKeepsAlive)
            , m_isHead(isHead)
        {
            m_state->writers.insert(this);
            if (m_state->limits.responseBuffers)
                m_output = std::make_shared<OutputBuffer>(m_stream, m_state->limits.responseBuffers, m_writeTimeout);
        }
        ResponseWriter(const ResponseWriter&) = delete;
        ResponseWriter& operator=(const ResponseWriter&) = delete;
        ~ResponseWriter() override
        {
            m_state->writers.erase(this);
            m_watcher->callback = nullptr;
        }

        asio::awaitable<Result<void>> send(HttpResponse response) override
        {
            if (m_hasBegun)
                co_return abandonBegunResponse();
            m_hasBegun = true;
            auto message = makeMessage(std::move(response));
            error_code error;
            m_stream.expires_after(m_writeTimeout);
            http::response_serializer<http::string_body> serializer(message);
            co_await http::async_write(m_stream, serializer, asio::redirect_error(asio::use_awaitable, error));
            m_isFinished = !error;
            co_return resultOf(error);
        }

        asio::awaitable<Result<void>> begin(int status, HttpHeaders headers) override
        {
            if (m_hasBegun)
                co_return abandonBegunResponse();
            m_hasBegun = true;
            http::response<http::empty_body> message(static_cast<http::status>(status), 11);
            setHeaders(message, headers);
            message.keep_alive(decideKeepAlive());
            message.chunked(true);
            error_code error;
            m_stream.expires_after(m_writeTimeout);
            http::response_serializer<http::empty_body> serializer(message);
            co_await http::async_write_header(m_stream, serializer, asio::redirect_error(asio::use_awaitable, error));
            co_return resultOf(error);
        }

        asio::awaitable<Result<void>> write(std::string chunk) override
        {
            assert(m_hasBegun && !m_isFinished);
            // A chunk of length zero would end the body.
            if (chunk.empty() || m_isHead)
                co_return Result<void>();
            if (m_output) {
                auto written = co_await m_output->append(framed(chunk));
                co_return resultOf(written);
            }
            error_code error;
            m_stream.expires_after(m_writeTimeout);
            co_await asio::async_write(m_stream, http::make_chunk(asio::buffer(chunk)), asio::redirect_error(asio::use_awaitable, error));
            co_return resultOf(error);
        }

        asio::awaitable<Result<void>> finish() override
        {
            error_code error;
            if (m_isHead) {
                m_isFinished = true;
                co_return Result<void>();
            }
            if (m_output) {
                (void)co_await m_output->append("0\r\n\r\n");
                error = co_await m_output->waitUntilIdle();
            } else {
                m_stream.expires_after(m_writeTimeout);
                co_await asio::async_write(m_stream, http::make_chunk_last(), asio::redirect_error(asio::use_awaitable, error));
            }
            m_isFinished = !error;
            co_return resultOf(error);
        }

        void abort() override
        {
            error_code ignored;
            m_stream.socket().close(ignored);
        }

        /** Ends the write in progress of a response that is not finished. The connection must not be closed before. */
        asio::awaitable<void> stopWriting()
        {
            if (!m_output)
                co_return;
            if (m_hasBegun && !m_isFinished)
                abort();
            (void)co_await m_output->waitUntilIdle();
        }

        /** Ends the response without waiting, with this one if none has begun. */
        void endNow(HttpResponse response)
        {
            error_code ignored;
            m_watcher->callback = nullptr;
            auto& socket = m_stream.socket();
            socket.non_blocking(true, ignored);
            if (!std::exchange(m_hasBegun, true))
                http::write(socket, makeMessage(std::move(response)), ignored);
            socket.shutdown(tcp::socket::shutdown_send, ignored);
        }

        void onCallerDisconnect(std::function<void()> callback) override { m_watcher->arm(std::move(callback)); }
        bool isCallerDisconnected() const override { return m_watcher->isClosed(); }
        bool hasBegun() const override { return m_hasBegun; }
        bool isFinished() const { return m_isFinished; }

        /** Whether the response has announced that the connection stays open for another request. */
        bool keepsAlive() const { return m_keepsAlive; }

    private:
        BeastResponse makeMessage(HttpResponse response)
        {
            BeastResponse message(static_cast<http::status>(response.status), 11);
            setHeaders(message, response.headers);
            message.keep_alive(decideKeepAlive());
            message.body() = std::move(response.body);
            message.prepare_payload();
            if (m_isHead)
                message.body().clear();
            return message;
        }

        bool decideKeepAlive()
        {
            m_keepsAlive = m_requestKeepsAlive && m_state->isAccepting && m_state->allowsKeepAlive;
            return m_keepsAlive;
        }

        /** A second header would become a part of the first response, so the connection is closed instead. */
        Result<void> abandonBegunResponse()
        {
            m_isFinished = false;
            abort();
            m_state->log.write(EventId::HandlerFailed, { { "reason", "a second response was started" } });
            return makeError(ErrorKind::Internal, "a response has already begun");
        }

        static std::string framed(const std::string& chunk)
        {
            std::array<char, 32> size {};
            std::snprintf(size.data(), size.size(), "%zx\r\n", chunk.size());
            return size.data() + chunk + "\r\n";
        }

        static Result<void> resultOf(const error_code& error)
        {
            if (error)
                return makeError(ErrorKind::CallerGone, "write response to caller: " + error.message());
            return Result<void>();
        }

        beast::tcp_stream& m_stream;
        std::shared_ptr<DisconnectWatcher> m_watcher;
        ServerState m_state;
        Duration m_writeTimeout;
        std::shared_ptr<OutputBuffer> m_output; /**< null: chunks are written at once */
        bool m_requestKeepsAlive;
        bool m_keepsAlive = false;
        bool m_isHead;
        bool m_hasBegun = false;
        bool m_isFinished = false;
    };

    ErrorKind kindOfParseError(const error_code& error)
    {
        if (error == http::error::header_limit)
            return ErrorKind::HeaderTooLarge;
        if (error == http::error::body_limit)
            return ErrorKind::BodyTooLarge;
        return ErrorKind::BadRequest;
    }

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

    struct ServerConnection {
        ServerConnection(tcp::socket socket, const HttpServerLimits& limits)
            : stream(std::move(socket))
            , buffer(maximumBufferOf(limits))
            , watcher(std::make_shared<DisconnectWatcher>(stream.socket()))
        {
        }
        ServerConnection(const ServerConnection&) = delete;
        ServerConnection& operator=(const ServerConnection&) = delete;
        ~ServerConnection() { watcher->callback = nullptr; }

        /** Whether bytes of a request were received, including those that the server has not read yet. */
        bool hasPartialRequest() const
        {
            error_code error;
            return buffer.size() > 0 || stream.socket().available(error) > 0;
        }
        void close()
        {
            error_code ignored;
            stream.socket().close(ignored);
        }

        beast::tcp_stream stream;
        beast::flat_buffer buffer;
        RequestParser* parser = nullptr; /**< of the header that the connection waits for */
        Clock::time_point idleSince;
        Duration idleTimeout {}; /**< as configured at idleSince */
        std::optional<Clock::time_point> headerSince; /**< since when a part of a request header has been buffered */
        std::shared_ptr<DisconnectWatcher> watcher;
    };

    /** Sets the limits of a request of which no complete header has been read. */
    void applyLimits(ServerConnection& connection, const HttpServerLimits& limits)
    {
        connection.parser->header_limit(static_cast<uint32_t>(limits.maximumHeader));
        connection.parser->body_limit(limits.maximumBody);
        // The parser does not limit the sizes of chunk extensions and trailers; the buffer does.
        connection.buffer.max_size(std::max(connection.buffer.max_size(), maximumBufferOf(limits)));
    }

    /** Lists a connection in waitingConnections for the lifetime of this object. */
    class WaitingConnectionGuard {
    public:
        WaitingConnectionGuard(ServerState state, ServerConnection& connection, RequestParser& parser)
            : m_state(std::move(state))
            , m_connection(&connection)
        {
            m_connection->parser = &parser;
            m_connection->idleSince = Clock::now();
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

    /** Sends the response to an invalid request and discards the rest of its bytes. */
    asio::awaitable<void> sendErrorResponse(ServerConnection& connection, const ServerState& state, const error_code& error)
    {
        ResponseWriter writer(connection.stream, connection.watcher, state, false, false);
        co_await writer.send(state->errorResponder(makeError(kindOfParseError(error), error.message())));
        // Closing a socket with unread input sends a reset, on which the caller may lose the response. So the rest is read.
        error_code ignored;
        connection.stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
        connection.stream.expires_after(std::chrono::seconds(1));
        char discarded[1024];
        while (!ignored)
            co_await connection.stream.async_read_some(asio::buffer(discarded), asio::redirect_error(asio::use_awaitable, ignored));
    }

    /** Whether a connection has waited too long for a request header. Bytes that have arrived keep an idle one open, and its idle
        time does not become shorter while it waits, as its client may rely on it. */
    bool isOverdue(ServerConnection& connection, const HttpServerLimits& limits, Clock::time_point now)
    {
        if (connection.buffer.size() > 0) {
            connection.headerSince = connection.headerSince.value_or(now);
            return now - *connection.headerSince >= limits.headerTimeout;
        }
        auto timeout = std::max(connection.idleTimeout, idleTimeoutOf(limits));
        return now - connection.idleSince >= timeout && !connection.hasPartialRequest();
    }

    asio::awaitable<void> closeOverdueConnections(ServerState state)
    {
        while (state->isAccepting || !state->waitingConnections.empty()) {
            error_code error;
            state->waitTimer.expires_after(waitCheckPeriod);
            co_await state->waitTimer.async_wait(asio::redirect_error(asio::use_awaitable, error));
            for (auto* connection : state->waitingConnections) {
                if (isOverdue(*connection, state->limits, Clock::now()))
                    connection->close();
            }
        }
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
