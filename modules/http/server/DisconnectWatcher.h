#pragma once

#include "http/message/BeastConversions.h"

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>

namespace chestnut {

/* Included only by the source files of this module. */

/** Detects that the caller closes the connection while a handler runs. */
class DisconnectWatcher : public std::enable_shared_from_this<DisconnectWatcher> {
public:
    explicit DisconnectWatcher(boost::asio::ip::tcp::socket&);

    /** Calls the callback, at most once, when the caller closes the connection; it replaces an earlier one. */
    void arm(std::function<void()> callback);
    void disarm() { m_callback = nullptr; }

    /** Whether the caller has closed the connection, also when bytes that were sent before have not been read. */
    bool isClosed() const;

private:
    boost::asio::ip::tcp::socket& m_socket;
    std::function<void()> m_callback;
    bool m_isWaiting = false;
};

} // namespace chestnut
