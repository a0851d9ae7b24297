#include "http/server/OutputBuffer.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

namespace chestnut {

using boost::system::error_code;

namespace {

    constexpr size_t bytesPerWrite = 16 << 10;

} // namespace

OutputBuffer::OutputBuffer(beast::tcp_stream& stream, std::shared_ptr<ByteBudget> budget, Duration writeTimeout)
    : m_stream(stream)
    , m_reservation(std::move(budget))
    , m_writeTimeout(writeTimeout)
    , m_progress(stream.get_executor(), asio::steady_timer::time_point::max())
{
}

asio::awaitable<error_code> OutputBuffer::append(std::string_view bytes)
{
    auto self = shared_from_this();
    if (!self->m_error) {
        self->m_pending.append(bytes);
        self->writeNext();
    }
    while (!self->m_error && !self->isWithinBounds())
        co_await self->waitForProgress();
    co_return self->m_error;
}

asio::awaitable<error_code> OutputBuffer::waitUntilIdle()
{
    auto self = shared_from_this();
    while (self->m_isWriting)
        co_await self->waitForProgress();
    co_return self->m_error;
}

bool OutputBuffer::isWithinBounds()
{
    return held() == 0 || (held() <= maximumBytes && m_reservation.tryGrowTo(held()));
}

asio::awaitable<void> OutputBuffer::waitForProgress()
{
    error_code ignored;
    co_await m_progress.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

void OutputBuffer::writeNext()
{
    if (m_isWriting || m_pending.empty() || m_error)
        return;
    m_isWriting = true;
    m_writing = m_pending.substr(0, bytesPerWrite);
    // The memory of a long buffer is released with its last byte.
    if (m_writing.size() == m_pending.size())
        m_pending = std::string();
    else
        m_pending.erase(0, m_writing.size());
    m_stream.expires_after(m_writeTimeout);
    asio::async_write(m_stream, asio::buffer(m_writing), [self = shared_from_this()](const error_code& error, size_t) { self->onWritten(error); });
}

void OutputBuffer::onWritten(const error_code& error)
{
    m_isWriting = false;
    m_writing = std::string();
    if (error) {
        m_error = error;
        m_pending = std::string();
    }
    m_reservation.shrinkTo(held());
    writeNext();
    m_progress.cancel();
}

} // namespace chestnut
