#include "claims/responses/RecordedResponses.h"

#include <algorithm>

namespace chestnut {

namespace {

    /** Approximate memory of an entry without its body and headers. */
    constexpr size_t overheadBytes = 200;

    size_t sizeOf(const HttpResponse& response)
    {
        size_t bytes = overheadBytes + response.body.size();
        for (const auto& [name, value] : response.headers.fields())
            bytes += name.size() + value.size();
        return bytes;
    }

} // namespace

void RecordedResponses::add(RecordedResponse recorded, TimePoint now)
{
    expire(now);
    auto bytes = sizeOf(recorded.response);
    if (bytes > std::min(m_byteLimit, maximumResponseBytes) || m_byId.contains(recorded.id))
        return;
    while (m_bytes + bytes > m_byteLimit)
        evictOldest();
    auto id = recorded.id;
    m_entries.push_back({ std::move(recorded), now + lifetime, bytes });
    m_byId[id] = std::prev(m_entries.end());
    m_bytes += bytes;
}

std::optional<RecordedResponse> RecordedResponses::find(const Digest& id, TimePoint now)
{
    expire(now);
    auto found = m_byId.find(id);
    if (found == m_byId.end())
        return std::nullopt;
    return found->second->recorded;
}

void RecordedResponses::evictOldest()
{
    m_bytes -= m_entries.front().bytes;
    m_byId.erase(m_entries.front().recorded.id);
    m_entries.pop_front();
}

void RecordedResponses::expire(TimePoint now)
{
    while (!m_entries.empty() && m_entries.front().expiry <= now)
        evictOldest();
}

} // namespace chestnut
