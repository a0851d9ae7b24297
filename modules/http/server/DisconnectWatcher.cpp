#include "http/server/DisconnectWatcher.h"

#include <poll.h>
#include <utility>

namespace chestnut {

using boost::asio::ip::tcp;

DisconnectWatcher::DisconnectWatcher(tcp::socket& socket)
    : m_socket(socket)
{
}

void DisconnectWatcher::arm(std::function<void()> callback)
{
    m_callback = std::move(callback);
    if (m_isWaiting)
        return;
    m_isWaiting = true;
    m_socket.async_wait(tcp::socket::wait_read, [self = shared_from_this()](const boost::system::error_code& error) {
        self->m_isWaiting = false;
        if (error || !self->m_callback)
            return;
        if (self->isClosed())
            std::exchange(self->m_callback, nullptr)();
    });
}

bool DisconnectWatcher::isClosed() const
{
    pollfd connection { m_socket.native_handle(), POLLRDHUP, 0 };
    return !m_socket.is_open() || ::poll(&connection, 1, 0) > 0;
}

} // namespace chestnut
