#pragma once

#include <algorithm>
#include <cstddef>
#include <memory>
#include <utility>

namespace chestnut {

/** Bounds the memory of all responses together that wait for slow readers. */
class ByteBudget {
public:
    explicit ByteBudget(size_t limit)
        : m_limit(limit)
    {
    }

    size_t limit() const { return m_limit; }
    size_t used() const { return m_used; }

    bool tryTake(size_t bytes)
    {
        if (bytes > m_limit - m_used)
            return false;
        m_used += bytes;
        return true;
    }

    void giveBack(size_t bytes) { m_used -= bytes; }

private:
    size_t m_limit;
    size_t m_used = 0;
};

/** Bytes taken from a budget, which are given back at the end of its lifetime. Without a budget nothing is limited. */
class ByteReservation {
public:
    ByteReservation() = default;
    explicit ByteReservation(std::shared_ptr<ByteBudget> budget)
        : m_budget(std::move(budget))
    {
    }
    ByteReservation(ByteReservation&& other) noexcept
        : m_budget(std::move(other.m_budget))
        , m_bytes(std::exchange(other.m_bytes, 0))
    {
    }
    ByteReservation& operator=(ByteReservation&& other) noexcept
    {
        std::swap(m_budget, other.m_budget);
        std::swap(m_bytes, other.m_bytes);
        return *this;
    }
    ~ByteReservation() { shrinkTo(0); }

    /** Extends the reservation to at least this size; returns false and changes nothing when the budget does not allow it. */
    bool tryGrowTo(size_t bytes)
    {
        if (bytes <= m_bytes || !m_budget)
            return true;
        if (!m_budget->tryTake(bytes - m_bytes))
            return false;
        m_bytes = bytes;
        return true;
    }

    void shrinkTo(size_t bytes)
    {
        if (!m_budget || bytes >= m_bytes)
            return;
        m_budget->giveBack(m_bytes - bytes);
        m_bytes = bytes;
    }

    size_t bytes() const { return m_bytes; }

private:
    std::shared_ptr<ByteBudget> m_budget;
    size_t m_bytes = 0;
};

} // namespace chestnut
