#include "http/client/HttpClient.h"

#include "http/client/ClientConnection.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <map>

namespace chestnut {

namespace http = beast::http;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

    constexpr size_t maximumIdlePerEndpoint = 4;
    class BodyStream final : public HttpBodyStream {
    public:
        BodyStream(ClientConnectionPointer connection, Endpoint endpoint, Duration readTimeout)
            : m_connection(std::move(connection))
            , m_endpoint(std::move(endpoint))
            , m_readTimeout(readTimeout)
        {
            m_parser.body_limit(boost::none);
        }

        asio::awaitable<Result<void>> readHeader()
        {
            error_code error;
            m_connection->stream.expires_after(m_readTimeout);
            co_await http::async_read_header(m_connection->stream, m_connection->buffer, m_parser, asio::redirect_error(asio::use_awaitable, error));
            if (error)
                co_return errorAfterSend(error, m_endpoint, "read response header from");
            m_headers = headersOf(m_parser.get().base());
            co_return Result<void>();
        }

        int status() const override { return static_cast<int>(m_parser.get().result_int()); }
        const HttpHeaders& headers() const override { return m_headers; }

        asio::awaitable<Result<std::optional<std::string>>> read() override
        {
            error_code error;
            while (m_parser.get().body().empty() && !m_parser.is_done()) {
                m_connection->stream.expires_after(m_readTimeout);
                co_await http::async_read_some(m_connection->stream, m_connection->buffer, m_parser, asio::redirect_error(asio::use_awaitable, error));
                if (error && error != http::error::need_buffer)
                    co_return errorAfterSend(error, m_endpoint, "read response body from");
            }
            auto& body = m_parser.get().body();
            if (body.empty())
                co_return std::optional<std::string>();
            std::string bytes;
            bytes.swap(body);
            co_return std::optional<std::string>(std::move(bytes));
        }

    private:
        ClientConnectionPointer m_connection;
        Endpoint m_endpoint;
        Duration m_readTimeout;
        http::response_parser<http::string_body> m_parser;
        HttpHeaders m_headers;
    };

} // namespace

struct HttpClient::Pool {
    std::map<Endpoint, std::vector<ClientConnectionPointer>> idle;

    ClientConnectionPointer take(const Endpoint& endpoint)
    {
        auto found = idle.find(endpoint);
        if (found == idle.end() || found->second.empty())
            return nullptr;
        auto connection = std::move(found->second.back());
        found->second.pop_back();
        return connection;
    }

    void give(const Endpoint& endpoint, ClientConnectionPointer connection)
    {
        auto& connections = idle[endpoint];
        if (connections.size() < maximumIdlePerEndpoint)
            connections.push_back(std::move(connection));
    }
};

HttpClient::HttpClient(asio::io_context& context)
    : m_context(context)
    , m_pool(std::make_shared<Pool>())
{
}

HttpClient::~HttpClient() = default;

namespace {

    asio::awaitable<Result<HttpResponse>> exchangeOn(ClientConnection& connection, Endpoint endpoint, const BeastRequest& message, HttpTimeouts timeouts, size_t maximumBody, bool& canReuse)
    {
        if (auto sent = co_await sendRequest(connection, endpoint, message, timeouts.read); !sent)
            co_return sent.error();
        http::response_parser<http::string_body> parser;
        parser.body_limit(maximumBody);
        if (message.method() == http::verb::head)
            parser.skip(true);
        error_code error;
        connection.stream.expires_after(timeouts.read);
        co_await http::async_read(connection.stream, connection.buffer, parser, asio::redirect_error(asio::use_awaitable, error));
        if (error)
            co_return errorAfterSend(error, endpoint, "read response from");
        canReuse = parser.keep_alive();
        connection.stream.expires_never();
        auto response = parser.release();
        co_return HttpResponse { static_cast<int>(response.result_int()), headersOf(response.base()), std::move(response.body()) };
    }

} // namespace

asio::awaitable<Result<HttpResponse>> HttpClient::exchange(Endpoint endpoint, HttpRequest request, HttpTimeouts timeouts, size_t maximumBody)
{
    auto pool = m_pool;
    auto& context = m_context;
    bool isRepeatable = request.method == "GET" || request.method == "HEAD";
    auto message = toBeast(endpoint, std::move(request));
    bool canReuse = false;
    if (auto idle = isRepeatable ? pool->take(endpoint) : nullptr) {
        auto response = co_await exchangeOn(*idle, endpoint, message, timeouts, maximumBody, canReuse);
        if (response && canReuse)
            pool->give(endpoint, std::move(idle));
        // The server may have closed the idle connection; only a failure on a fresh connection counts.
        if (response || response.error().kind == ErrorKind::DeadlineExceeded)
            co_return response;
    }
    auto connection = co_await connect(context, endpoint, timeouts.connect);
    if (!connection)
        co_return connection.error();
    auto response = co_await exchangeOn(**connection, endpoint, message, timeouts, maximumBody, canReuse);
    if (response && canReuse)
        pool->give(endpoint, std::move(*connection));
    co_return response;
}

asio::awaitable<Result<std::unique_ptr<HttpBodyStream>>> HttpClient::open(Endpoint endpoint, HttpRequest request, HttpTimeouts timeouts)
{
    auto connection = co_await connect(m_context, endpoint, timeouts.connect);
    if (!connection)
        co_return connection.error();
    auto message = toBeast(endpoint, std::move(request));
    if (auto sent = co_await sendRequest(**connection, endpoint, message, timeouts.read); !sent)
        co_return sent.error();
    auto stream = std::make_unique<BodyStream>(std::move(*connection), endpoint, timeouts.read);
    if (auto header = co_await stream->readHeader(); !header)
        co_return header.error();
    co_return std::unique_ptr<HttpBodyStream>(std::move(stream));
}

asio::awaitable<Result<std::string>> readWholeBody(HttpBodyStream& stream, size_t maximumBody)
{
    std::string body;
    while (true) {
        auto bytes = co_await stream.read();
        if (!bytes)
            co_return bytes.error();
        if (!*bytes)
            co_return body;
        if (body.size() + (*bytes)->size() > maximumBody)
            co_return makeError(ErrorKind::ProtocolError, "response body longer than " + std::to_string(maximumBody) + " bytes");
        body += **bytes;
    }
}

} // namespace chestnut
