#pragma once

#include "base/time/TimePoint.h"
#include "http/message/BeastConversions.h"
#include "http/server/ByteBudget.h"
#include "kernel/registry/Service.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <memory>
#include <string>

namespace chestnut {

/* Included only by the source files of this module. */

/** The bytes of a response that its client has not read yet, which are written in the background. Appending waits only when the
    buffer is full or the budget is used up, so that a slow client does not delay the reading of its response elsewhere.

    The stream must exist until waitUntilIdle() has returned. */
class OutputBuffer : public std::enable_shared_from_this<OutputBuffer> {
public:
    /** Bytes of one response; more than the events of a long stream. */
    static constexpr size_t maximumBytes = 256 << 10;

    /** `writeTimeout` is the time in which the client has to take each `bytesPerWrite`. */
    OutputBuffer(beast::tcp_stream&, std::shared_ptr<ByteBudget>, Duration writeTimeout);

    /** Appends bytes and waits until at most as many are buffered as may be. Fails when the client has not read in time or has left. */
    asio::awaitable<boost::system::error_code> append(std::string_view);

    /** Waits until all bytes have been written or writing has failed. */
    asio::awaitable<boost::system::error_code> waitUntilIdle();

private:
    void writeNext();
    void onWritten(const boost::system::error_code&);
    size_t held() const { return m_pending.size() + m_writing.size(); }
    bool isWithinBounds();
    asio::awaitable<void> waitForProgress();

    beast::tcp_stream& m_stream;
    ByteReservation m_reservation;
    Duration m_writeTimeout;
    std::string m_pending;
    std::string m_writing; /**< part of the write in progress */
    bool m_isWriting = false;
    boost::system::error_code m_error;
    asio::steady_timer m_progress; /**< never expires; cancelled after each write */
};

} // namespace chestnut
