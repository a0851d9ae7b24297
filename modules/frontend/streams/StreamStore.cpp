#include "frontend/streams/StreamStore.h"

#include <numeric>

namespace chestnut {

std::string StreamRecord::textThrough(uint64_t index) const
{
    std::string text;
    for (uint64_t i = firstIndex; i <= index && i <= lastIndex(); ++i)
        text += tokens[i - firstIndex];
    return text;
}

void StreamStore::add(const std::shared_ptr<StreamRecord>& stream)
{
    if (m_ended.remove(stream) > 0)
        m_endedBytes -= stream->bytes;
    m_byId[stream->streamId] = stream;
}

std::shared_ptr<StreamRecord> StreamStore::find(const std::string& streamId) const
{
    auto found = m_byId.find(streamId);
    return found == m_byId.end() ? nullptr : found->second;
}

void StreamStore::end(const std::shared_ptr<StreamRecord>& stream, TimePoint now)
{
    if (stream->runningSessions > 0 || !find(stream->streamId))
        return;
    constexpr size_t bytesPerToken = 40; // the string object without its text
    stream->endedAt = now;
    stream->bytes = std::accumulate(stream->tokens.begin(), stream->tokens.end(), stream->body.size(), [](size_t sum, const std::string& token) { return sum + token.size() + bytesPerToken; });
    m_ended.remove(stream);
    m_ended.push_back(stream);
    m_endedBytes += stream->bytes;
    expire(now);
}

void StreamStore::expire(TimePoint now)
{
    while (!m_ended.empty() && (m_endedBytes > maximumBytes || now - m_ended.front()->endedAt >= retentionTime)) {
        auto oldest = m_ended.front();
        m_ended.pop_front();
        m_endedBytes -= oldest->bytes;
        erase(oldest);
    }
}

void StreamStore::erase(const std::shared_ptr<StreamRecord>& stream)
{
    std::erase_if(m_byId, [&](const auto& entry) { return entry.second == stream; });
}

} // namespace chestnut
