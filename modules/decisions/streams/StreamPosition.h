#pragma once

#include <cstdint>
#include <optional>

namespace chestnut {

/** How an event of a further run fits the events that the client has received. */
enum class EventFit : uint8_t {
    Next,
    Repeated, /**< the client has received it */
    Mismatch, /**< events between it and the last one are missing, or its position is unknown */
};

/** The position of a client in a stream of events, and where another run of its request may continue. */
class StreamPosition {
public:
    /** Records an event that is sent to the client. `number` is its id, if that is a number. */
    void recordSent(std::optional<uint64_t> number);

    /** Whether the stream can be continued: all events so far had increasing numbers. */
    bool canContinue() const { return m_last && m_isOrdered; }

    /** How the next event of a further run fits. A gap is a mismatch if the numbers so far had none. */
    EventFit fitOf(std::optional<uint64_t> number) const;

    bool operator==(const StreamPosition&) const = default;

private:
    std::optional<uint64_t> m_last;
    bool m_isOrdered = true;
    bool m_isConsecutive = true;
};

} // namespace chestnut
