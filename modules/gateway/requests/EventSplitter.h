#pragma once

#include "decisions/streams/StreamPosition.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace chestnut {

/** Complete events of a stream, unchanged, with the id of the last one. */
struct EventBatch {
    std::string bytes;
    std::string lastId; /**< empty when no event has an id */

    bool operator==(const EventBatch&) const = default;
};

/** Splits the bytes of a server-sent event stream at event boundaries, so that a client never receives a partial event
    when a replica fails. */
class EventSplitter {
public:
    /** Maximum buffered size of an incomplete event in bytes, with the comments and blank lines before it. */
    static constexpr size_t maximumEventBytes = 1 << 20;

    void append(std::string_view bytes) { m_buffer.append(bytes); }

    /** Removes and returns the complete events, with the comments and blank lines before each; empty when there are none. */
    EventBatch takeEvents();

    /** Removes and returns the bytes of the incomplete event, or the comments and blank lines after the last event. */
    std::string takeRemainder();

    /** Whether the remaining bytes are part of an event or an incomplete comment. */
    bool isInsideEvent() const { return m_buffer.find_first_not_of("\r\n", m_commentBytes) != std::string::npos; }

    bool isOverlong() const { return m_buffer.size() > maximumEventBytes; }

private:
    std::string m_buffer;
    size_t m_commentBytes = 0; /**< at the start of the buffer, complete comments and blank lines */
};

/** One event within the bytes of a batch. */
struct StreamEvent {
    std::string_view text;
    std::string_view id; /**< empty when it has none */
    bool isComment = false; /**< it has comments and blank lines only */

    bool operator==(const StreamEvent&) const = default;
};

/** Splits complete events. Line ends after the last one become a comment. */
std::vector<StreamEvent> eventsOf(std::string_view batch);

/** Parses a numeric event id. */
std::optional<uint64_t> eventNumber(std::string_view id);

/** Removes the events that the client has received, and all from the first one on that does not continue its stream.
    Returns false if there is such an event. `lastEventId` becomes the id of the last event that is kept. */
bool keepContinuation(EventBatch&, StreamPosition&, bool isContinuation, std::string& lastEventId);

} // namespace chestnut
