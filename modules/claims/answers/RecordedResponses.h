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

/** The responses to the latest completed calls, within limits of time and bytes. */
class RecordedResponses {
public:
    static constexpr Duration lifetime = std::chrono::minutes(10);
    static constexpr size_t maximumBytes = 8 << 20;
    /** One response at most, which bounds a message between daemons. */
    static constexpr size_t maximumAnswerBytes = 1 << 20;

    explicit RecordedResponses(size_t byteLimit = maximumBytes)
        : m_byteLimit(byteLimit)
    {
    }

    /** Drops the oldest responses for it; a response above a limit is not kept. */
    void add(RecordedResponse, TimePoint now);
    std::optional<RecordedResponse> find(const Digest& id, TimePoint now);

    size_t bytes() const { return m_bytes; }

private:
    struct Kept {
        RecordedResponse answer;
        TimePoint end;
        size_t bytes;
    };

    void dropOldest();
    void expire(TimePoint now);

    size_t m_byteLimit;
    size_t m_bytes = 0;
    std::list<Kept> m_kept; // oldest first
    std::unordered_map<Digest, std::list<Kept>::iterator> m_byId;
};

} // namespace chestnut
