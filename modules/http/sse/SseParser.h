#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace chestnut {

/** One server-sent event. */
struct SseEvent {
    std::string id;
    std::string data;

    bool operator==(const SseEvent&) const = default;
};

std::string formatSse(const SseEvent&);

/** Splits a byte stream into server-sent events. */
class SseParser {
public:
    /** Longest unfinished event that is kept; a longer one makes the parser fail. */
    static constexpr size_t longestEvent = 1 << 20;

    void append(std::string_view bytes);

    /** The next whole event, or nothing until more bytes arrive. Comments and unknown fields are skipped. */
    std::optional<SseEvent> next();

    bool hasFailed() const { return m_hasFailed; }

private:
    std::string m_buffer;
    bool m_hasFailed = false;
};

} // namespace chestnut
