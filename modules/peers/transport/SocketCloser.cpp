#include "peers/transport/SocketCloser.h"

#include <future>
#include <system_error>
#include <thread>

namespace chestnut {

void SocketCloser::close(std::function<void()> closeFunction, Duration maximumWait) const
{
    ++*m_pending;
    auto task = std::make_shared<std::packaged_task<void()>>([pending = m_pending, closeFunction = std::move(closeFunction)] {
        closeFunction();
        --*pending;
    });
    auto isClosed = task->get_future();
    try {
        std::thread([task] { (*task)(); }).detach();
    } catch (const std::system_error&) {
        (*task)();
    }
    isClosed.wait_for(maximumWait);
}

} // namespace chestnut
