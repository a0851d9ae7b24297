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

/** Parses a byte stream into server-sent events. */
class SseParser {
public:
    /** In bytes; the parser fails when an incomplete event is longer. */
    static constexpr size_t maximumEventBytes = 1 << 20;

    void append(std::string_view bytes);

    /** Returns the next complete event, or nothing until more bytes are appended. Comments and unknown fields are skipped. */
    std::optional<SseEvent> next();

    bool hasFailed() const { return m_hasFailed; }

private:
    std::string m_buffer;
    bool m_hasFailed = false;
};

} // namespace chestnut
