#include "decisions/streams/StreamPosition.h"

namespace chestnut {

void StreamPosition::recordSent(std::optional<uint64_t> number)
{
    if (!number || (m_last && *number <= *m_last)) {
        m_isOrdered = false;
        return;
    }
    if (m_last && *number != *m_last + 1)
        m_isConsecutive = false;
    m_last = number;
}

EventFit StreamPosition::fitOf(std::optional<uint64_t> number) const
{
    if (!number || !canContinue())
        return EventFit::Mismatch;
    if (*number <= *m_last)
        return EventFit::Repeated;
    return m_isConsecutive && *number != *m_last + 1 ? EventFit::Mismatch : EventFit::Next;
}

} // namespace chestnut
