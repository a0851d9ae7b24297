#pragma once

#include <functional>
#include <utility>

namespace chestnut {

/** Cancels an HTTP exchange from outside the coroutine that awaits it. */
class AbortHandle {
public:
    /** Cancels the attached exchange and every exchange that is attached later. */
    void abort()
    {
        m_isAborted = true;
        interrupt();
    }

    /** Cancels the attached exchange only; later ones are not affected. */
    void interrupt()
    {
        if (auto callback = std::exchange(m_callback, nullptr))
            callback();
    }

    /** Whether an exchange is attached, which interrupt() would cancel. */
    bool isAttached() const { return static_cast<bool>(m_callback); }

    bool isAborted() const { return m_isAborted; }

    /** Sets a callback that is called before each exchange is sent and may abort it. */
    void onBeforeSend(std::function<void()> callback) { m_beforeSend = std::move(callback); }

    /** Whether an exchange that is about to be sent must not be sent. */
    bool forbidsSend()
    {
        if (m_beforeSend && !m_isAborted)
            m_beforeSend();
        return m_isAborted;
    }

    /** Sets the callback that cancels the exchange in progress. Calls it immediately when the handle is already aborted. */
    void attach(std::function<void()> callback)
    {
        m_callback = std::move(callback);
        if (m_isAborted)
            interrupt();
    }

    void detach() { m_callback = nullptr; }

private:
    std::function<void()> m_callback;
    std::function<void()> m_beforeSend;
    bool m_isAborted = false;
};

} // namespace chestnut
