#pragma once

#include "base/time/TimePoint.h"

#include <atomic>
#include <functional>
#include <memory>

namespace chestnut {

/** Closes sockets on threads of their own. nng_close() of nng 1.5.2 does not return if a connection is lost at a certain moment
    of the shutdown, because its reaper waits for an operation that has no end; on the thread of the io_context it would stop the
    daemon. Copies share the number of pending closes. */
class SocketCloser {
public:
    /** Runs the function that closes a socket and waits for it for at most maximumWait. A close that takes longer stays pending
        until it returns or the process ends. If no thread can be started, it runs on the calling thread. */
    void close(std::function<void()> closeFunction, Duration maximumWait) const;

    /** Number of closes that have not returned. */
    size_t pending() const { return *m_pending; }

private:
    std::shared_ptr<std::atomic<size_t>> m_pending = std::make_shared<std::atomic<size_t>>(0);
};

} // namespace chestnut
