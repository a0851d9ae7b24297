#include "http/server/ResponseWriter.h"

#include <array>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>
#include <cassert>
#include <cstdio>

namespace chestnut {

namespace http = beast::http;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

    constexpr unsigned httpVersion11 = 11;

    std::string framed(const std::string& chunk)
    {
        std::array<char, 32> size {};
        std::snprintf(size.data(), size.size(), "%zx\r\n", chunk.size());
        return size.data() + chunk + "\r\n";
    }

    Result<void> resultOf(const error_code& error)
    {
        if (error)
            return makeError(ErrorKind::CallerGone, "write response to caller: " + error.message());
        return Result<void>();
    }

} // namespace

ResponseWriter::ResponseWriter(beast::tcp_stream& stream, std::shared_ptr<DisconnectWatcher> watcher, ServerState state, bool requestKeepsAlive, bool isHead)
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

ResponseWriter::~ResponseWriter()
{
    m_state->writers.erase(this);
    m_watcher->disarm();
}

asio::awaitable<Result<void>> ResponseWriter::send(HttpResponse response)
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

asio::awaitable<Result<void>> ResponseWriter::begin(int status, HttpHeaders headers)
{
    if (m_hasBegun)
        co_return abandonBegunResponse();
    m_hasBegun = true;
    http::response<http::empty_body> message(static_cast<http::status>(status), httpVersion11);
    setHeaders(message, headers);
    message.keep_alive(decideKeepAlive());
    message.chunked(true);
    error_code error;
    m_stream.expires_after(m_writeTimeout);
    http::response_serializer<http::empty_body> serializer(message);
    co_await http::async_write_header(m_stream, serializer, asio::redirect_error(asio::use_awaitable, error));
    co_return resultOf(error);
}

asio::awaitable<Result<void>> ResponseWriter::write(std::string chunk)
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

asio::awaitable<Result<void>> ResponseWriter::finish()
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

void ResponseWriter::abort()
{
    error_code ignored;
    m_stream.socket().close(ignored);
}

asio::awaitable<void> ResponseWriter::stopWriting()
{
    if (!m_output)
        co_return;
    if (m_hasBegun && !m_isFinished)
        abort();
    (void)co_await m_output->waitUntilIdle();
}

void ResponseWriter::endNow(HttpResponse response)
{
    error_code ignored;
    m_watcher->disarm();
    auto& socket = m_stream.socket();
    socket.non_blocking(true, ignored);
    if (!std::exchange(m_hasBegun, true))
        http::write(socket, makeMessage(std::move(response)), ignored);
    socket.shutdown(tcp::socket::shutdown_send, ignored);
}

BeastResponse ResponseWriter::makeMessage(HttpResponse response)
{
    BeastResponse message(static_cast<http::status>(response.status), httpVersion11);
    setHeaders(message, response.headers);
    message.keep_alive(decideKeepAlive());
    message.body() = std::move(response.body);
    message.prepare_payload();
    if (m_isHead)
        message.body().clear();
    return message;
}

bool ResponseWriter::decideKeepAlive()
{
    m_keepsAlive = m_requestKeepsAlive && m_state->isAccepting && m_state->allowsKeepAlive;
    return m_keepsAlive;
}

Result<void> ResponseWriter::abandonBegunResponse()
{
    m_isFinished = false;
    abort();
    m_state->log.write(EventId::HandlerFailed, { { "reason", "a second response was started" } });
    return makeError(ErrorKind::Internal, "a response has already begun");
}

} // namespace chestnut
