#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace chestnut {

/** Whole events of a stream, unchanged, with the id of the last one. */
struct EventBatch {
    std::string bytes;
    std::string lastId; /**< empty when no event has an id */

    bool operator==(const EventBatch&) const = default;
};

/** Cuts the bytes of a server-sent event stream at the ends of its events, so that a client never gets a part of an event
    whose rest may be lost with its replica. */
class EventSplitter {
public:
    /** Longest unfinished event that is kept. */
    static constexpr size_t longestEvent = 1 << 20;

    void append(std::string_view bytes) { m_buffer.append(bytes); }

    /** The whole events so far; empty when there is none. */
    EventBatch takeEvents();

    /** The bytes of the unfinished event. */
    std::string takeRest();

    bool isOverlong() const { return m_buffer.size() > longestEvent; }

private:
    std::string m_buffer;
};

/** Drops the events up to and including this id, where ids are numbers; a replica that resumes may repeat some. */
std::string withoutEventsUpTo(std::string_view events, uint64_t lastId);

/** The number in an event id. */
std::optional<uint64_t> eventNumber(std::string_view id);

} // namespace chestnut
