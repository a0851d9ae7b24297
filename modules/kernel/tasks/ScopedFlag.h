#pragma once

namespace chestnut {

/** Sets a flag for the lifetime of this object, so that a task that ends with an exception does not leave it set. */
class ScopedFlag {
public:
    explicit ScopedFlag(bool& flag)
        : m_flag(flag)
    {
        m_flag = true;
    }
    ~ScopedFlag() { m_flag = false; }
    ScopedFlag(const ScopedFlag&) = delete;
    ScopedFlag& operator=(const ScopedFlag&) = delete;

private:
    bool& m_flag;
};

} // namespace chestnut
