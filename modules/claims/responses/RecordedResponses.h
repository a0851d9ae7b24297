#pragma once

#include "base/digest/Digest.h"
#include "base/time/TimePoint.h"
#include "http/message/HttpMessage.h"

#include <list>
#include <optional>
#include <unordered_map>

namespace chestnut {

/** The response to a completed call. */
struct RecordedResponse {
    Digest id; /**< of account and key */
    Digest content; /**< of the call's body */
    HttpResponse response;
};

/** In-memory cache of the responses to recently completed calls, limited in age and size. */
class RecordedResponses {
public:
    static constexpr Duration lifetime = std::chrono::minutes(10);
    static constexpr size_t maximumBytes = 8 << 20;
    /** Largest response that is stored. It bounds the size of a message between daemons. */
    static constexpr size_t maximumResponseBytes = 1 << 20;

    explicit RecordedResponses(size_t byteLimit = maximumBytes)
        : m_byteLimit(byteLimit)
    {
    }

    /** Evicts the oldest responses to make space. A response above the size limits is not stored. */
    void add(RecordedResponse, TimePoint now);
    std::optional<RecordedResponse> find(const Digest& id, TimePoint now);

    size_t bytes() const { return m_bytes; }

private:
    struct Entry {
        RecordedResponse recorded;
        TimePoint expiry;
        size_t bytes;
    };

    void evictOldest();
    void expire(TimePoint now);

    size_t m_byteLimit;
    size_t m_bytes = 0;
    std::list<Entry> m_entries; // oldest first
    std::unordered_map<Digest, std::list<Entry>::iterator> m_byId;
};

} // namespace chestnut
