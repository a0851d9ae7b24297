#include "http/client/ConnectionPool.h"

#include "base/digest/Digest.h"
#include "http/client/ClientConnection.h"
#include "http/client/ResponseHeaderCheck.h"
#include "http/message/GrowingBody.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <charconv>
#include <map>

namespace chestnut {

namespace http = beast::http;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

    constexpr Duration expiryPeriod = std::chrono::milliseconds(500);
    /** Part of the idle timeout announced by a server after which an idle connection is not reused. */
    constexpr double usableIdleTimeoutFraction = 0.5;
    /** A connection is closed after more than this many interim responses and responses to earlier requests. */
    constexpr int maximumSkippedResponses = 3;
    /** A response to an earlier request may be skipped up to this size. A faulty server may send it without end. */
    constexpr size_t maximumSkippedBytes = 1 << 20;

    struct IdleConnection {
        ClientConnectionPointer connection;
        TimePoint usableUntil;
    };

    /** Whether the connection has carried a request with this id. */
    bool hasCarried(const ClientConnection& connection, const std::string& requestId)
    {
        return !requestId.empty() && std::ranges::find(connection.requestIds, hash64(requestId)) != connection.requestIds.end();
    }

    /** Whether a copy of an earlier response on the connection could end elsewhere than a response to a request with this method. */
    bool hasCarriedOtherFraming(const ClientConnection& connection, bool isHead)
    {
        return isHead ? connection.hasCarriedBodies : connection.hasCarriedHead;
    }

    /** Whether the connection is open and has no unread bytes. */
    bool isReusable(tcp::socket& socket)
    {
        char byte = 0;
        error_code error;
        socket.non_blocking(true, error);
        socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
        return error == asio::error::would_block;
    }

    /** Whether the bytes that were received cannot be the header of a response; an incomplete one is not malformed. */
    bool isMalformed(const error_code& error)
    {
        auto isIncomplete = error == http::error::end_of_stream || error == http::error::partial_message;
        return error.category() == http::make_error_code(http::error::end_of_stream).category() && !isIncomplete;
    }

    /** Reads `timeout=N` of a Keep-Alive field, in seconds. */
    std::optional<int> announcedIdleSeconds(std::string_view keepAlive)
    {
        constexpr std::string_view parameter = "timeout=";
        auto start = keepAlive.find(parameter);
        if (start == std::string_view::npos)
            return std::nullopt;
        auto digits = keepAlive.substr(start + parameter.size());
        int seconds = 0;
        auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
        if (error != std::errc())
            return std::nullopt;
        return seconds;
    }

} // namespace

struct ConnectionPool::State {
    State(asio::io_context& ioContext, TimerService& timerService, ConnectionPoolSettings poolSettings)
        : context(ioContext)
        , timers(timerService)
        , settings(poolSettings)
    {
    }

    /** Returns an idle connection that has not carried a request with the id, the last used one first. */
    ClientConnectionPointer take(const Endpoint& endpoint, const ExchangeOptions& options, bool isHead)
    {
        auto found = idle.find(endpoint);
        if (found == idle.end())
            return nullptr;
        auto& connections = found->second;
        auto now = timers.now();
        auto isRepeated = false;
        ClientConnectionPointer taken;
        for (auto i = connections.size(); i-- > 0 && !taken;) {
            if (hasCarried(*connections[i].connection, options.requestId)) {
                isRepeated = true;
                continue;
            }
            if (options.matchesRequest && hasCarriedOtherFraming(*connections[i].connection, isHead))
                continue;
            auto entry = std::move(connections[i]);
            connections.erase(connections.begin() + static_cast<ptrdiff_t>(i));
            if (now < entry.usableUntil && isReusable(entry.connection->stream.socket()))
                taken = std::move(entry.connection);
        }
        if (isRepeated && options.onRepeatedId)
            options.onRepeatedId();
        return taken;
    }

    void putBack(const Endpoint& endpoint, ClientConnectionPointer connection, std::string_view keepAlive)
    {
        auto& connections = idle[endpoint];
        if (connections.size() >= settings.maximumIdlePerEndpoint || connection->requestIds.size() >= settings.maximumRequestIds)
            return;
        auto idleTime = settings.idleTime;
        if (auto seconds = announcedIdleSeconds(keepAlive))
            idleTime = fromSeconds(*seconds * usableIdleTimeoutFraction);
        connection->stream.expires_never();
        connections.push_back({ std::move(connection), timers.now() + idleTime });
    }

    void expire()
    {
        auto now = timers.now();
        for (auto& [endpoint, connections] : idle)
            std::erase_if(connections, [now](const IdleConnection& entry) { return now >= entry.usableUntil; });
        std::erase_if(idle, [](const auto& entry) { return entry.second.empty(); });
    }

    asio::io_context& context;
    TimerService& timers;
    ConnectionPoolSettings settings;
    std::map<Endpoint, std::vector<IdleConnection>> idle;
    uint64_t opened = 0;
};

namespace {

    using PoolState = std::shared_ptr<ConnectionPool::State>;
    using SteadyTime = std::chrono::steady_clock::time_point;
    using ResponseParser = http::response_parser<GrowingBody>;

    /** An exchange in progress on one connection. */
    class PooledExchange final : public HttpBodyStream {
    public:
        PooledExchange(PoolState pool, Endpoint endpoint, ClientConnectionPointer connection, ExchangeOptions options, bool isHead)
            : m_pool(std::move(pool))
            , m_endpoint(std::move(endpoint))
            , m_connection(std::move(connection))
            , m_options(std::move(options))
            , m_deadline(std::chrono::steady_clock::now() + m_options.timeout)
            , m_isHead(isHead)
        {
            if (!m_options.abort)
                return;
            m_options.abort->attach([this] {
                error_code ignored;
                m_connection->stream.socket().close(ignored);
            });
        }

        ~PooledExchange() override
        {
            if (m_options.abort)
                m_options.abort->detach();
        }

        asio::awaitable<Result<void>> send(const BeastRequest& message)
        {
            return sendRequest(*m_connection, m_endpoint, message, m_options.timeout);
        }

        asio::awaitable<Result<void>> readHeader()
        {
            for (int skipped = 0; skipped <= maximumSkippedResponses; ++skipped) {
                if (auto header = co_await readNextHeader(); !header)
                    co_return header;
                auto isInterim = status() / 100 == 1;
                if (isInterim)
                    continue;
                if (auto fault = m_options.findFault ? m_options.findFault(m_headers) : std::nullopt)
                    co_return malformedError(*fault);
                if (!m_options.matchesRequest || m_options.matchesRequest(m_headers))
                    co_return Result<void>();
                if (auto body = co_await skipBody(); !body)
                    co_return body;
            }
            co_return makeError(ErrorKind::BackendFailed, "received only interim responses or responses to other requests from " + formatEndpoint(m_endpoint));
        }

        int status() const override { return static_cast<int>(m_parser->get().result_int()); }
        const HttpHeaders& headers() const override { return m_headers; }
        bool endsWithConnection() const override { return m_parser->need_eof(); }
        std::optional<uint64_t> announcedLength() const override { return m_announcedLength; }

        asio::awaitable<Result<std::optional<std::string>>> read() override
        {
            auto& body = m_parser->get().body();
            error_code error;
            while (body.empty() && !m_parser->is_done()) {
                limitBodyRead();
                co_await http::async_read_some(m_connection->stream, m_connection->buffer, *m_parser, asio::redirect_error(asio::use_awaitable, error));
                if (error)
                    co_return errorAfterSend(error, m_endpoint, "read response body from");
            }
            if (body.empty()) {
                release();
                co_return std::optional<std::string>();
            }
            std::string bytes;
            bytes.swap(body);
            co_return std::optional<std::string>(std::move(bytes));
        }

    private:
        void limitBodyRead()
        {
            auto deadline = m_bodyDeadline;
            if (m_options.bodyReadTimeout)
                deadline = std::min(deadline.value_or(SteadyTime::max()), std::chrono::steady_clock::now() + *m_options.bodyReadTimeout);
            if (deadline)
                m_connection->stream.expires_at(*deadline);
        }

        asio::awaitable<Result<void>> readNextHeader()
        {
            m_parser.emplace();
            m_parser->body_limit(boost::none);
            m_parser->skip(m_isHead);
            m_parser->header_limit(static_cast<uint32_t>(m_pool->settings.maximumHeader));
            m_connection->stream.expires_at(m_deadline);
            error_code error;
            co_await http::async_read_header(m_connection->stream, m_connection->buffer, *m_parser, asio::redirect_error(asio::use_awaitable, error));
            if (error)
                co_return isMalformed(error) ? malformedError(error.message()) : errorAfterSend(error, m_endpoint, "read response header from");
            if (auto fault = findHeaderFault(m_parser->get().base()))
                co_return malformedError(*fault);
            m_headers = headersOf(m_parser->get().base());
            m_announcedLength.reset();
            if (auto length = m_parser->content_length(); length && !m_parser->is_done())
                m_announcedLength = *length;
            m_connection->stream.expires_never();
            if (m_options.bodyTimeout)
                m_bodyDeadline = std::chrono::steady_clock::now() + *m_options.bodyTimeout;
            co_return Result<void>();
        }

        Error malformedError(const std::string& fault) const
        {
            return makeError(ErrorKind::ProtocolError, "malformed response header from " + formatEndpoint(m_endpoint) + ": " + fault);
        }

        asio::awaitable<Result<void>> skipBody()
        {
            error_code error;
            size_t skipped = 0;
            if (m_announcedLength.value_or(0) > maximumSkippedBytes)
                co_return makeError(ErrorKind::BackendFailed, "a response to another request is too long, from " + formatEndpoint(m_endpoint));
            m_connection->stream.expires_at(m_deadline);
            while (!m_parser->is_done() && !error && skipped <= maximumSkippedBytes) {
                co_await http::async_read_some(m_connection->stream, m_connection->buffer, *m_parser, asio::redirect_error(asio::use_awaitable, error));
                skipped += m_parser->get().body().size();
                m_parser->get().body().clear();
            }
            if (skipped > maximumSkippedBytes)
                co_return makeError(ErrorKind::BackendFailed, "a response to another request does not end, from " + formatEndpoint(m_endpoint));
            if (error)
                co_return errorAfterSend(error, m_endpoint, "read a response to another request from");
            if (!m_parser->keep_alive())
                co_return makeError(ErrorKind::BackendFailed, "connection closed after a response to another request from " + formatEndpoint(m_endpoint));
            co_return Result<void>();
        }

        /** Returns the connection to the pool if it is keep-alive and has no unread bytes. */
        void release()
        {
            if (!m_connection || m_isReleased)
                return;
            m_isReleased = true;
            if (m_options.abort)
                m_options.abort->detach();
            if (m_parser->keep_alive() && m_connection->buffer.size() == 0)
                m_pool->putBack(m_endpoint, std::move(m_connection), m_headers.value("Keep-Alive"));
        }

        PoolState m_pool;
        Endpoint m_endpoint;
        ClientConnectionPointer m_connection;
        ExchangeOptions m_options;
        SteadyTime m_deadline;
        std::optional<SteadyTime> m_bodyDeadline;
        bool m_isHead; /**< the response has no body, whatever its header says */
        std::optional<ResponseParser> m_parser;
        HttpHeaders m_headers;
        std::optional<uint64_t> m_announcedLength;
        bool m_isReleased = false;
    };

} // namespace

ConnectionPool::ConnectionPool(asio::io_context& context, TimerService& timers, ConnectionPoolSettings settings)
    : m_state(std::make_shared<State>(context, timers, settings))
    , m_expiryTimer(timers.every(expiryPeriod, [state = m_state.get()] { state->expire(); }))
{
}

ConnectionPool::~ConnectionPool() = default;

void ConnectionPool::closeIdle(const Endpoint& endpoint)
{
    m_state->idle.erase(endpoint);
}

uint64_t ConnectionPool::openedConnections() const
{
    return m_state->opened;
}

asio::awaitable<Result<std::unique_ptr<HttpBodyStream>>> ConnectionPool::open(Endpoint endpoint, HttpRequest request, ExchangeOptions options)
{
    auto state = m_state;
    if (options.abort && options.abort->forbidsSend())
        co_return makeError(ErrorKind::ConnectFailed, "aborted before the request was sent");
    auto isHead = request.method == "HEAD";
    auto connection = options.needsFreshConnection ? nullptr : state->take(endpoint, options, isHead);
    if (!connection) {
        auto opened = co_await connect(state->context, endpoint, std::min(options.timeout, options.connectTimeout.value_or(state->settings.connectTimeout)));
        if (!opened)
            co_return opened.error();
        if (options.abort && options.abort->forbidsSend())
            co_return makeError(ErrorKind::ConnectFailed, "aborted before the request was sent");
        connection = std::move(*opened);
        ++state->opened;
    }
    if (options.maySend && !options.maySend()) {
        state->putBack(endpoint, std::move(connection), {});
        co_return makeError(ErrorKind::Overloaded, "not sent: the server asked for a pause while the connection was opened");
    }
    if (!options.requestId.empty())
        connection->requestIds.push_back(hash64(options.requestId));
    (isHead ? connection->hasCarriedHead : connection->hasCarriedBodies) = true;
    auto message = toBeast(endpoint, std::move(request));
    auto exchange = std::make_unique<PooledExchange>(state, endpoint, std::move(connection), std::move(options), isHead);
    if (auto sent = co_await exchange->send(message); !sent)
        co_return sent.error();
    if (auto header = co_await exchange->readHeader(); !header)
        co_return header.error();
    co_return std::unique_ptr<HttpBodyStream>(std::move(exchange));
}

} // namespace chestnut
