#include "claims/answers/RecordedResponses.h"

#include <algorithm>

namespace chestnut {

namespace {

    /** Approximate memory of an entry besides its texts. */
    constexpr size_t overheadBytes = 200;

    size_t sizeOf(const HttpResponse& response)
    {
        size_t bytes = overheadBytes + response.body.size();
        for (const auto& [name, value] : response.headers.fields())
            bytes += name.size() + value.size();
        return bytes;
    }

} // namespace

void RecordedResponses::add(RecordedResponse answer, TimePoint now)
{
    expire(now);
    auto bytes = sizeOf(answer.response);
    if (bytes > std::min(m_byteLimit, maximumAnswerBytes) || m_byId.contains(answer.id))
        return;
    while (m_bytes + bytes > m_byteLimit)
        dropOldest();
    auto id = answer.id;
    m_kept.push_back({ std::move(answer), now + lifetime, bytes });
    m_byId[id] = std::prev(m_kept.end());
    m_bytes += bytes;
}

std::optional<RecordedResponse> RecordedResponses::find(const Digest& id, TimePoint now)
{
    expire(now);
    auto found = m_byId.find(id);
    if (found == m_byId.end())
        return std::nullopt;
    return found->second->answer;
}

void RecordedResponses::dropOldest()
{
    m_bytes -= m_kept.front().bytes;
    m_byId.erase(m_kept.front().answer.id);
    m_kept.pop_front();
}

void RecordedResponses::expire(TimePoint now)
{
    while (!m_kept.empty() && m_kept.front().end <= now)
        dropOldest();
}

} // namespace chestnut
