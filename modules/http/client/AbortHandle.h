#pragma once

#include <functional>
#include <utility>

namespace chestnut {

/** Ends the exchange that is attached to it, from outside of the coroutine that waits for it. */
class AbortHandle {
public:
    /** Ends the attached exchange and every one that is attached later. */
    void abort()
    {
        m_isAborted = true;
        interrupt();
    }

    /** Ends the attached exchange only; later ones are not affected. */
    void interrupt()
    {
        if (auto callback = std::exchange(m_callback, nullptr))
            callback();
    }

    bool isAborted() const { return m_isAborted; }

    /** Replaces the attached exchange. Runs the callback at once when the handle is already aborted. */
    void attach(std::function<void()> callback)
    {
        m_callback = std::move(callback);
        if (m_isAborted)
            interrupt();
    }

    void detach() { m_callback = nullptr; }

private:
    std::function<void()> m_callback;
    bool m_isAborted = false;
};

} // namespace chestnut
